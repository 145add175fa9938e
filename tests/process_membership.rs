//! Membership with real daemons that are killed, paused and restarted, and an
//! endpoint that leaves.

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
const REQUEST_TIMEOUT_MS: u64 = 2_000;

async fn fetch_status(cluster: &Cluster, number: usize) -> Option<Status> {
    let address = cluster.records[number].control_address;
    let answer = cluster
        .http
        .get_json(address, "/operator/status", REQUEST_TIMEOUT_MS);
    answer.await.ok()
}

async fn wait_for_state(cluster: &Cluster, observer: usize, vm: &str, state: &str) {
    eventually(&format!("{vm} is {state}"), async || {
        let status = fetch_status(cluster, observer).await?;
        let found = status.vms.iter().find(|found| &*found.vm == vm)?;
        (&*found.state == state).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_daemon_is_unreachable_until_restarted() {
    let mut cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    for observer in 0..2 {
        wait_for_state(&cluster, observer, "vm-2", "alive").await;
    }
    cluster.kill(2);
    for observer in 0..2 {
        wait_for_state(&cluster, observer, "vm-2", "unreachable").await;
    }
    cluster.restart(2).await;
    for observer in 0..2 {
        wait_for_state(&cluster, observer, "vm-2", "alive").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_daemon_is_alive_again_after_resuming() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    wait_for_state(&cluster, 0, "vm-2", "alive").await;
    cluster.signal(2, Signal::STOP);
    wait_for_state(&cluster, 0, "vm-2", "unreachable").await;
    cluster.signal(2, Signal::CONT);
    wait_for_state(&cluster, 0, "vm-2", "alive").await;
    wait_for_state(&cluster, 2, "vm-0", "alive").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_listed_as_leaving_is_leaving_at_all_daemons() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    cluster.world.platform.set_vms(vec![ListedVm {
        vm: "sampler-1".into(),
        leaving: true,
    }]);
    for observer in 0..SIZE.daemons {
        eventually("sampler-1 is leaving", async || {
            let status = fetch_status(&cluster, observer).await?;
            let mut endpoints = status.endpoints.iter();
            let sampler = endpoints.find(|found| &*found.endpoint == "sampler-1")?;
            (&*sampler.state == "leaving").then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hangup_signal_does_not_end_a_daemon() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    for number in 0..3 {
        cluster.signal(number, Signal::HUP);
    }
    for number in 0..3 {
        let answered = eventually("the daemon answers after a hangup", async || {
            fetch_status(&cluster, number).await.map(|_| ())
        });
        answered.await;
    }
}
