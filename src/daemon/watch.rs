//! Endpoints as they report themselves, and the platform's list of VMs.

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

const TIMEOUT_MS: u64 = 1_000;
const LOOK_MS: u64 = 100;
const PLACE_EVERY: u64 = 10;
/// The mean time between two reads of the list, by whichever daemon.
const LIST_MS: u64 = 500;

/// Polls the endpoints that this daemon uses or watches, each when it is due.
pub(crate) async fn run_endpoint_polls(daemon: Arc<Daemon>) {
    let mut stop = daemon.stop_tasks.subscribe();
    let mut turn = 0;
    while !*stop.borrow_and_update() {
        let now_ms = now_ms();
        if turn % PLACE_EVERY == 0 {
            place(&daemon, now_ms);
        }
        turn += 1;
        for target in lock(&daemon.endpoints).take_due_polls(now_ms) {
            tokio::spawn(poll(daemon.clone(), target));
        }
        tokio::select! {
            () = sleep_until(now_ms + LOOK_MS) => {}
            _ = stop.changed() => {}
        }
    }
}

fn place(daemon: &Daemon, now_ms: u64) {
    let daemons = lock(&daemon.membership)
        .alive()
        .filter(|record| record.data_centre == daemon.own_record.data_centre)
        .map(|record| record.vm.clone())
        .collect();
    let placement = Placement {
        me: daemon.own_record.vm.clone(),
        data_centre: daemon.own_record.data_centre.clone(),
        daemons,
    };
    let held: BTreeSet<Name> = lock(&daemon.rollouts)
        .iter()
        .filter(|(_, task)| task.lease.fence().is_some())
        .map(|(service, _)| service.clone())
        .collect();
    let mut endpoints = lock(&daemon.endpoints);
    endpoints.set_placement(now_ms, placement);
    endpoints.set_held_services(&held);
}

async fn poll(daemon: Arc<Daemon>, target: PollTarget) {
    let load: Result<Load, _> = daemon
        .control_http
        .get_json(target.address, "/load", TIMEOUT_MS)
        .await;
    lock(&daemon.endpoints).on_report(now_ms(), &target.service, &target.endpoint, load.ok());
}

/// Reads the platform's list of VMs in turn with the other daemons; what is
/// new in it goes from daemon to daemon.
///
/// The list is long: were every daemon to read it each second, it would take
/// the whole budget of bytes several times over.
pub(crate) async fn run_list_reads(daemon: Arc<Daemon>) {
    let mut stop = daemon.stop_tasks.subscribe();
    while !*stop.borrow_and_update() {
        read_list(&daemon).await;
        let members = lock(&daemon.membership).count_reachable(now_ms()) as u64;
        let mean_ms = members * LIST_MS;
        let wait_ms = lock(&daemon.rng).random_range(mean_ms / 2..=mean_ms * 3 / 2);
        tokio::select! {
            () = sleep_until(now_ms() + wait_ms) => {}
            _ = stop.changed() => {}
        }
    }
}

async fn read_list(daemon: &Arc<Daemon>) {
    daemon.metrics.platform_reads.inc();
    let Ok(listed) = daemon.platform.listed_vms().await else {
        return;
    };
    let leaving = listed
        .iter()
        .filter(|vm| vm.leaving)
        .map(|vm| vm.vm.clone())
        .collect();
    let vms = listed.into_iter().map(|vm| vm.vm).collect();
    peers::handle(daemon, MembershipEvent::PlatformListRead { vms, leaving });
}
