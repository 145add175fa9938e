//! Polls the load reports of endpoints and the platform's list of VMs.

use std::{collections::BTreeSet, sync::Arc};

use rand::Rng;

use super::{
    clock::{now_ms, sleep_until},
    peers,
    state::{Daemon, lock},
};
use crate::{
    core::{
        Name,
        endpoint::{Placement, PollTarget},
        membership::MembershipEvent,
    },
    wire::engine::Load,
};

const POLL_TIMEOUT_MS: u64 = 1_000;
const DUE_CHECK_INTERVAL_MS: u64 = 100;
const CHECKS_PER_PLACEMENT_UPDATE: u64 = 10;
/// The mean time between two reads of the list, counted over all daemons, in
/// milliseconds.
const MEAN_VM_LIST_INTERVAL_MS: u64 = 500;

/// Polls the endpoints that this daemon uses or watches, each when its poll is
/// due.
pub(crate) async fn run_endpoint_polls(daemon: Arc<Daemon>) {
    let mut stop = daemon.stop_tasks.subscribe();
    let mut check_count = 0;
    while !*stop.borrow_and_update() {
        let now_ms = now_ms();
        if check_count % CHECKS_PER_PLACEMENT_UPDATE == 0 {
            update_placement(&daemon, now_ms);
        }
        check_count += 1;
        for target in lock(&daemon.endpoints).take_due_polls(now_ms) {
            tokio::spawn(poll_endpoint(daemon.clone(), target));
        }
        tokio::select! {
            () = sleep_until(now_ms + DUE_CHECK_INTERVAL_MS) => {}
            _ = stop.changed() => {}
        }
    }
}

/// Updates the endpoint table with the daemons of this data centre and with the
/// services for whose weights rollout this daemon holds the lease.
fn update_placement(daemon: &Daemon, now_ms: u64) {
    let daemons = lock(&daemon.membership)
        .members_taking_work()
        .filter(|record| record.data_centre == daemon.own_record.data_centre)
        .map(|record| record.vm.clone())
        .collect();
    let placement = Placement {
        me: daemon.own_record.vm.clone(),
        data_centre: daemon.own_record.data_centre.clone(),
        daemons,
    };
    let held_services: BTreeSet<Name> = lock(&daemon.weights_rollouts)
        .iter()
        .filter(|(_, task)| task.lease.fence().is_some())
        .map(|(service, _)| service.clone())
        .collect();
    let mut endpoints = lock(&daemon.endpoints);
    endpoints.set_placement(now_ms, placement);
    endpoints.set_held_services(&held_services);
}

async fn poll_endpoint(daemon: Arc<Daemon>, target: PollTarget) {
    let load: Result<Load, _> = daemon
        .control_http
        .get_json(target.address, "/load", POLL_TIMEOUT_MS)
        .await;
    lock(&daemon.endpoints).on_report(now_ms(), &target.service, &target.endpoint, load.ok());
}

/// Reads the platform's list of VMs at random times.
///
/// The reads are shared among the daemons, and changes spread by gossip. The
/// list is long: if every daemon read it each second, the reads would exceed the
/// byte budget several times over.
pub(crate) async fn run_vm_list_reads(daemon: Arc<Daemon>) {
    let mut stop = daemon.stop_tasks.subscribe();
    while !*stop.borrow_and_update() {
        read_vm_list(&daemon).await;
        let members = lock(&daemon.membership).count_reachable(now_ms()) as u64;
        let mean_ms = members * MEAN_VM_LIST_INTERVAL_MS;
        let wait_ms = lock(&daemon.rng).random_range(mean_ms / 2..=mean_ms * 3 / 2);
        tokio::select! {
            () = sleep_until(now_ms() + wait_ms) => {}
            _ = stop.changed() => {}
        }
    }
}

async fn read_vm_list(daemon: &Arc<Daemon>) {
    daemon.metrics.platform_reads.inc();
    let Ok(listed_vms) = daemon.platform.listed_vms().await else {
        return;
    };
    let leaving = listed_vms
        .iter()
        .filter(|vm| vm.leaving)
        .map(|vm| vm.vm.clone())
        .collect();
    let vms = listed_vms.into_iter().map(|vm| vm.vm).collect();
    peers::handle(daemon, MembershipEvent::PlatformListRead { vms, leaving });
}
