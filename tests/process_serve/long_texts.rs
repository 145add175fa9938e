//! Guards against samples that are never listed since their texts are longer than a row
//! of the store.

use std::time::Duration;

use rstest::rstest;
use rustix::process::Signal;
use serde_json::{Value, json};
use standins::fleet::{ROW_BYTES, SamplerSettings, StoreServer};

use crate::fleet::{Fleet, SAMPLER_SETTINGS};

const EVENTS: u64 = 24;
/// The texts take up to a quarter of the smallest VMs' memory together.
const SAMPLES: usize = 16;

fn samplers(padding_bytes: usize, event_ms: u64) -> SamplerSettings {
    SamplerSettings {
        events: EVENTS,
        event_ms,
        padding_bytes,
        ..SAMPLER_SETTINGS
    }
}

fn assert_whole(results: &[Value], padding_bytes: usize) {
    for result in results {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["state"], "done", "{id}");
        let padding = "x".repeat(padding_bytes);
        let data = (1..=EVENTS).map(|n| format!("{id} event {n}{padding}"));
        let text = data.collect::<Vec<String>>().join("\n");
        assert!(result["text"] == json!(text), "the text of {id} differs");
    }
}

fn text_objects(store: &StoreServer) -> usize {
    store.with_store(|store| {
        let names = store.objects.keys();
        names.filter(|name| name.starts_with("text-")).count()
    })
}

/// Texts just below, about at, just above and far above the size of a row.
#[rstest]
#[case::below(2_400, false)]
#[case::just_below(2_690, false)]
#[case::just_above(2_720, true)]
#[case::as_long_as_a_trainer_can_read(38_000, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_texts_are_listed_whole(#[case] padding_bytes: usize, #[case] needs_objects: bool) {
    let fleet = Fleet::start(1, samplers(padding_bytes, 5)).await;
    fleet.submit_batch(0, "b1", SAMPLES, 1).await;
    let results = fleet.read_all_results(0, "b1", SAMPLES).await;
    assert_eq!(results.len(), SAMPLES);
    assert_whole(&results, padding_bytes);
    assert_eq!(text_objects(&fleet.store) >= SAMPLES, needs_objects);
}

/// Guards against texts that begin anew, or are joined wrongly, when another VM takes
/// their share over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_text_goes_on_at_another_vm() {
    const PADDING_BYTES: usize = 6_000;
    let mut fleet = Fleet::start(3, samplers(PADDING_BYTES, 150)).await;
    fleet.submit_batch(0, "b1", SAMPLES, 1).await;
    // By then more than a row of each text is saved.
    let saves_rows = tokio::time::Instant::now() + Duration::from_secs(20);
    while text_objects(&fleet.store) < SAMPLES / 2 {
        assert!(
            tokio::time::Instant::now() < saves_rows,
            "no text longer than a row is saved"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let owners = (0..3).filter(|vm| fleet.vms[*vm].log_text().contains("share claimed"));
    for owner in owners.collect::<Vec<usize>>() {
        fleet.signal(owner, Signal::KILL);
        fleet.restart(owner).await;
    }
    let results = fleet.read_all_results(0, "b1", SAMPLES).await;
    assert_whole(&results, PADDING_BYTES);
    let runs = fleet
        .model_samplers
        .iter()
        .flat_map(standins::fleet::Sampler::all_runs);
    let goes_on_after_a_row = runs
        .filter_map(|run| run.after_event)
        .filter(|after| usize::try_from(*after).expect("few") * PADDING_BYTES > ROW_BYTES);
    assert!(goes_on_after_a_row.count() >= SAMPLES / 2);
}
