//! Guards against streams that are joined from two software versions after all VMs were
//! killed at once: nobody knows any more which version began a stream.

use std::{collections::BTreeMap, time::Duration};

use rstest::rstest;
use rustix::process::Signal;
use standins::fleet::{Sampler, SamplerSettings};

use crate::{
    fleet::{Fleet, SAMPLER_SETTINGS},
    process_serve::streams_keep_their_software::{Received, read_stream, release_one},
};

const STREAMS: usize = 24;
const VMS: usize = 3;
const SLOW_STREAMS: SamplerSettings = SamplerSettings {
    events: 60,
    event_ms: 15,
    ..SAMPLER_SETTINGS
};
/// How long callers come back after the first answer of a VM that was started again.
const TRIES: u32 = 12;
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// What happens between the kill and the callers' return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Meanwhile {
    /// Both versions serve.
    Nothing,
    /// The version that began most streams has left.
    OldVersionLeaves,
    /// The VMs are killed once more as soon as they have started.
    SecondKill,
    /// The store turns one VM away.
    StoreRefusesOne,
}

async fn kill_and_restart_all(fleet: &mut Fleet) {
    for vm in 0..VMS {
        fleet.signal(vm, Signal::KILL);
    }
    for vm in 0..VMS {
        fleet.restart(vm).await;
    }
}

/// Takes a stream up again until it goes on, or the caller gives up.
async fn take_up(
    fleet: &Fleet,
    software: &BTreeMap<String, String>,
    number: usize,
    events: u64,
) -> Received {
    let first_id = format!("first-{number}");
    let mut received = Received::default();
    for retry in 0..TRIES {
        let vm =
            fleet.vms[(number + usize::try_from(retry).expect("few")) % VMS].addresses["callers"];
        let id = format!("again-{number}-{retry}");
        let resumed = Some((first_id.as_str(), events));
        received = read_stream(software, vm, &id, resumed, 3).await;
        if received.events > 0 {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    received
}

/// The streams that callers began, and what they got when they took them up again.
struct Outcome {
    first: Vec<Received>,
    again: Vec<Received>,
}

async fn play(meanwhile: Meanwhile) -> Outcome {
    let mut fleet = Fleet::start(VMS, SLOW_STREAMS).await;
    let software = release_one(&fleet).await;
    let reads = (0..STREAMS).map(|number| {
        let (software, vm) = (&software, fleet.vms[number % VMS].addresses["callers"]);
        async move { read_stream(software, vm, &format!("first-{number}"), None, 3).await }
    });
    let first = futures_util::future::join_all(reads).await;
    assert!(first.iter().all(|first| first.events >= 3), "{first:?}");
    match meanwhile {
        Meanwhile::Nothing => {}
        Meanwhile::OldVersionLeaves => {
            for sampler in fleet.model_samplers.iter().filter(|s| s.software() == "v1") {
                fleet.store.writer().remove("servers", &sampler.id);
            }
        }
        Meanwhile::SecondKill => kill_and_restart_all(&mut fleet).await,
        Meanwhile::StoreRefusesOne => fleet.store.refuse_vms([0]),
    }
    kill_and_restart_all(&mut fleet).await;
    let (fleet, software) = (&fleet, &software);
    let again = first
        .iter()
        .enumerate()
        .map(|(number, first)| take_up(fleet, software, number, first.events));
    let again = futures_util::future::join_all(again).await;
    // The samplers go on until here.
    assert!(fleet.model_samplers.iter().map(Sampler::all_runs).count() > 0);
    Outcome { first, again }
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_stream_is_joined_from_two_versions(
    #[values(
        Meanwhile::Nothing,
        Meanwhile::OldVersionLeaves,
        Meanwhile::SecondKill,
        Meanwhile::StoreRefusesOne
    )]
    meanwhile: Meanwhile,
) {
    let outcome = play(meanwhile).await;
    let pairs = outcome.first.iter().zip(&outcome.again);
    let joined =
        pairs.filter(|(first, again)| again.events > 0 && first.software != again.software);
    assert_eq!(joined.count(), 0, "{meanwhile:?}: {:?}", outcome.again);
}

/// The version of two of the three samplers still serves: half of its streams, at least,
/// have to go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_of_the_streams_go_on_where_their_version_serves() {
    let outcome = play(Meanwhile::Nothing).await;
    let pairs = outcome.first.iter().zip(&outcome.again);
    let of_v1 = pairs.filter(|(first, _)| first.software.as_deref() == Some("v1"));
    let went_on: Vec<bool> = of_v1.map(|(_, again)| again.events > 0).collect();
    let count = went_on.iter().filter(|went_on| **went_on).count();
    assert!(
        count * 2 >= went_on.len(),
        "{count} of {} went on",
        went_on.len()
    );
}
