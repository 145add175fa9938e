//! Guards against streams that are joined from two software versions, and against
//! streams that are given up although their version is known somewhere.

use std::collections::BTreeSet;

use chicoryreach::core::{
    Name,
    batch::{Event, SampleText, SavedText, TextError},
    rendezvous,
    streams::{BegunStreams, BegunStreamsRow, OriginRegistry, StreamOrigin, StreamOrigins},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use rstest::rstest;
use serde::Serialize;

use super::support::SERVICE;

/// The VMs that are told of a stream, and those that are asked, as in `serve`.
const TOLD_VMS: usize = 2;
const ASKED_VMS: usize = 4;

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: SERVICE.into(),
        software: software.into(),
    }
}

/// Guards against streams that nobody knows any more after a third of all VMs was lost
/// at the same moment, at each size, and against more entries than a VM can keep.
#[rstest]
#[case(13, 40.0)]
#[case(68, 250.0)]
#[case(360, 1_300.0)]
fn streams_are_known_after_a_third_of_all_vms_is_lost(#[case] vms: usize, #[case] per_s: f64) {
    const LASTS_MS: u64 = 8_000;
    const END_MS: u64 = 20_000;
    let mut rng = SmallRng::seed_from_u64(1);
    let names: Vec<Name> = (0..vms).map(|vm| format!("vm-{vm}").into()).collect();
    let mut origins = vec![StreamOrigins::default(); vms];
    let mut streams: Vec<(u64, Name, StreamOrigin, usize)> = Vec::new();
    let mut messages = 0_u32;
    for now_ms in 0..END_MS {
        let mut due = per_s / 1_000.0;
        while due > 0.0 {
            if rng.random_bool(due.min(1.0)) {
                let (id, first): (Name, usize) = (
                    format!("stream-{}", streams.len()).into(),
                    rng.random_range(0..vms),
                );
                let origin = origin(if rng.random_bool(0.5) { "v1" } else { "v2" });
                let told = rendezvous::choose(&names, &id, TOLD_VMS);
                let told = told
                    .iter()
                    .filter_map(|vm| names.iter().position(|n| n == vm));
                let keepers: BTreeSet<usize> = told.chain([first]).collect();
                messages += u32::try_from(keepers.len() - 1).expect("few");
                for keeper in keepers {
                    let kept = origin.clone();
                    origins[keeper].insert(now_ms, id.clone(), kept, now_ms + LASTS_MS);
                }
                streams.push((now_ms, id, origin, first));
            }
            due -= 1.0;
        }
    }
    let mut lost: Vec<usize> = (0..vms).collect();
    lost.shuffle(&mut rng);
    let lost: BTreeSet<usize> = lost.into_iter().take(vms * 35 / 100).collect();
    let up: Vec<usize> = (0..vms).filter(|vm| !lost.contains(vm)).collect();
    let (mut resumed, mut known) = (0_u32, 0_u32);
    for (begun_ms, id, origin, first) in &streams {
        if begun_ms + LASTS_MS <= END_MS || !lost.contains(first) {
            continue;
        }
        resumed += 1;
        let at = up[rng.random_range(0..up.len())];
        let asked = rendezvous::choose(&names, id, ASKED_VMS);
        let asked = asked
            .iter()
            .filter_map(|vm| names.iter().position(|n| n == vm));
        let mut asked = asked.chain([at]).filter(|vm| !lost.contains(vm));
        let found = asked.find_map(|vm| origins[vm].get(END_MS, id).cloned());
        assert!(found.is_none() || found.as_ref() == Some(origin));
        known += u32::from(found.is_some());
    }
    let share = f64::from(known) / f64::from(resumed);
    let most = origins.iter().map(StreamOrigins::len).max().unwrap_or(0);
    #[expect(clippy::cast_precision_loss, reason = "a count")]
    let per_vm_and_s = f64::from(messages) / vms as f64 / 20.0;
    println!("{vms} VMs: {share:.2} known, {per_vm_and_s:.1} messages, {most} entries");
    assert!(share >= 0.5, "{share}");
    assert!(most < 1_000, "{most}");
}

/// A saved text as a build before software versions were known wrote it.
#[derive(Serialize)]
struct OldSavedText {
    text: Name,
    last_event: u64,
    weights_versions: Vec<u64>,
    is_complete: bool,
}

/// Guards against a text of an older build that goes on at whichever version runs now.
#[rstest]
#[case(false, false)]
#[case(true, true)]
fn a_text_of_an_older_build_goes_on_only_if_it_is_complete(
    #[case] is_complete: bool,
    #[case] is_restored: bool,
) {
    let old = OldSavedText {
        text: "a".into(),
        last_event: 1,
        weights_versions: vec![2],
        is_complete,
    };
    let bytes = rmp_serde::to_vec_named(&old).expect("it is encoded");
    let saved: SavedText = rmp_serde::from_slice(&bytes).expect("it is decoded");
    assert_eq!(SampleText::restore(&saved, 1, false).is_some(), is_restored);
}

/// Guards against a restored text that another version adds to, and against a text
/// without events that is held to the version of its first, failed run.
#[test]
fn a_text_accepts_runs_of_its_own_software_only() {
    let mut text = SampleText::new(1, false);
    text.on_run_start(Some(1), &origin("v1"))
        .expect("it is the first");
    text.on_run_start(Some(1), &origin("v2"))
        .expect("it has no events");
    let event = Event {
        id: Some(1),
        data: "a".into(),
        weights_version: None,
    };
    text.on_event(&event).expect("it is the next event");
    let saved = text.saved(false).expect("it has events");
    let mut restored = SampleText::restore(&saved, 1, false).expect("it may go on");
    assert_eq!(restored.origin(), Some(&origin("v2")));
    let other = restored.on_run_start(Some(1), &origin("v1"));
    assert!(
        matches!(other, Err(TextError::OtherSoftware(..))),
        "{other:?}"
    );
    restored
        .on_run_start(Some(1), &origin("v2"))
        .expect("it is its own");
}

/// Guards against a stream of unknown origin that goes on at the only version that is
/// listed now, although another one was listed when it may have begun, on this route or
/// on one that has taken over its paths.
#[test]
fn an_unknown_stream_goes_on_only_where_one_origin_was_registered_all_the_time() {
    const HOUR_MS: u64 = 3_600_000;
    let (v1, v2) = (origin("v1"), origin("v2"));
    let mut registry = OriginRegistry::default();
    assert_eq!(registry.only_origin("host", "/chats/1"), None);
    assert!(registry.register("host", "/chats/", &v1));
    assert!(!registry.register("host", "/chats/", &v1));
    assert_eq!(registry.only_origin("host", "/chats/1"), Some(&v1));
    assert_eq!(registry.only_origin("other", "/chats/1"), None);
    registry.register("host", "/chats/new/", &v2);
    assert_eq!(registry.only_origin("host", "/chats/new/1"), None);
    assert_eq!(registry.only_origin("host", "/chats/1"), Some(&v1));
    registry.register("host", "/chats/", &v2);
    assert_eq!(registry.only_origin("host", "/chats/1"), None);
    // The endpoints of the first version leave; its streams may still come back.
    let listed = BTreeSet::from([v2.clone()]);
    assert!(registry.on_listed(HOUR_MS, &listed));
    assert!(!registry.on_listed(HOUR_MS + 60_000, &listed));
    assert_eq!(registry.only_origin("host", "/chats/1"), None);
    assert!(registry.on_listed(2 * HOUR_MS, &listed));
    assert_eq!(registry.only_origin("host", "/chats/1"), Some(&v2));
}

/// Guards against an origin that is forgotten although its endpoints were only unlisted
/// for a while.
#[test]
fn an_origin_that_is_listed_again_stays_registered() {
    const HOUR_MS: u64 = 3_600_000;
    let v1 = origin("v1");
    let mut registry = OriginRegistry::default();
    registry.register("host", "/chats/", &v1);
    registry.on_listed(0, &BTreeSet::new());
    registry.on_listed(1_000, &BTreeSet::from([v1.clone()]));
    registry.on_listed(HOUR_MS, &BTreeSet::new());
    assert_eq!(registry.only_origin("host", "/chats/1"), Some(&v1));
}

/// Guards against a row of streams that is too long for the store, or names another
/// origin.
#[test]
fn a_row_keeps_the_streams_that_last_longest() {
    let mut begun = BegunStreams::default();
    for number in 0..100_u64 {
        let software = if number % 2 == 0 { "v1" } else { "v2" };
        begun.insert(&format!("s{number}"), origin(software), 1_000 + number);
    }
    let row = begun
        .to_row(0, 50_000, 10)
        .expect("streams are in progress");
    assert_eq!(row.expires_platform_ms, 51_099);
    assert_eq!(row.origin_of("s99"), Some(&origin("v2")));
    assert_eq!(row.origin_of("s90"), Some(&origin("v1")));
    assert_eq!(row.origin_of("s89"), None);
    let bytes = rmp_serde::to_vec(&row).expect("it is encoded");
    assert!(bytes.len() < 10 * BegunStreamsRow::BYTES_PER_STREAM + 100);
}
