//! Real daemons that are killed, frozen and restarted, and an endpoint that leaves.

mod cluster;

use chicoryreach::wire::{operators::Status, platform::ListedVm};
use cluster::{Cluster, eventually};
use rustix::process::Signal;
use standins::{engine::EngineSettings, world::WorldSize};

const SIZE: WorldSize = WorldSize {
    daemons: 3,
    engines: 2,
    services: 1,
    data_centres: 2,
};
const TIMEOUT_MS: u64 = 2_000;

async fn status(cluster: &Cluster, number: usize) -> Option<Status> {
    let address = cluster.records[number].control_address;
    let answer = cluster
        .http
        .get_json(address, "/operator/status", TIMEOUT_MS);
    answer.await.ok()
}

async fn wait_for_state(cluster: &Cluster, seen_by: usize, vm: &str, wanted: &str) {
    eventually(&format!("{vm} is {wanted}"), async || {
        let status = status(cluster, seen_by).await?;
        let seen = status.vms.iter().find(|seen| &*seen.vm == vm)?;
        (&*seen.state == wanted).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_is_unreachable_until_it_is_back() {
    let mut cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    for seen_by in 0..2 {
        wait_for_state(&cluster, seen_by, "vm-2", "alive").await;
    }
    cluster.kill(2);
    for seen_by in 0..2 {
        wait_for_state(&cluster, seen_by, "vm-2", "unreachable").await;
    }
    cluster.restart(2).await;
    for seen_by in 0..2 {
        wait_for_state(&cluster, seen_by, "vm-2", "alive").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_daemon_comes_back_by_itself() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    wait_for_state(&cluster, 0, "vm-2", "alive").await;
    cluster.signal(2, Signal::STOP);
    wait_for_state(&cluster, 0, "vm-2", "unreachable").await;
    cluster.signal(2, Signal::CONT);
    wait_for_state(&cluster, 0, "vm-2", "alive").await;
    wait_for_state(&cluster, 2, "vm-0", "alive").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_listed_endpoint_is_leaving_everywhere() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    cluster.world.platform.set_vms(vec![ListedVm {
        vm: "sampler-1".into(),
        leaving: true,
    }]);
    for seen_by in 0..SIZE.daemons {
        eventually("sampler-1 is leaving", async || {
            let status = status(&cluster, seen_by).await?;
            let mut endpoints = status.endpoints.iter();
            let sampler = endpoints.find(|seen| &*seen.endpoint == "sampler-1")?;
            (&*sampler.state == "leaving").then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hangup_does_not_end_a_daemon() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    for number in 0..3 {
        cluster.signal(number, Signal::HUP);
    }
    for number in 0..3 {
        let answered = eventually("the daemon answers after a hangup", async || {
            status(&cluster, number).await.map(|_| ())
        });
        answered.await;
    }
}
