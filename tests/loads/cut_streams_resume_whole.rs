//! Guards against lost, duplicated or mixed events in the text of a resumed sample.
//!
//! A stream breaks off at any byte and resumes at another sampler after the
//! last complete event, possibly with other weights.

use chicoryreach::core::{
    batch::{Event, EventParser, SampleText, SavedText, TextError},
    streams::StreamOrigin,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const VERSION_FIELD: &str = "x-weight-versions";
const EVENT_COUNT: u64 = 12;

fn origin() -> StreamOrigin {
    StreamOrigin {
        service: "demand-lm".into(),
        software: "v1".into(),
    }
}

fn complete_text() -> String {
    let data: Vec<String> = (1..=EVENT_COUNT)
        .map(|id| format!("data of {id}"))
        .collect();
    data.join("\n")
}

/// Returns the stream of a sampler that starts at event `first`; the weights
/// change at event 7.
fn encode_stream(first: u64) -> Vec<u8> {
    let event = |id: u64| {
        let version_line = if id == 7 {
            format!("{VERSION_FIELD}: 5\n")
        } else {
            String::new()
        };
        format!("{version_line}id: {id}\ndata: data of {id}\n\n")
    };
    (first..=EVENT_COUNT)
        .map(event)
        .collect::<String>()
        .into_bytes()
}

#[rstest]
fn a_stream_cut_at_any_byte_gives_the_complete_text(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..200 {
        let mut text = SampleText::new(4, false);
        loop {
            let next = text.last_event().unwrap_or(0) + 1;
            let bytes = encode_stream(next);
            let cut_at = rng.random_range(0..=bytes.len());
            let version = if next > 7 { 5 } else { 4 };
            text.on_run_start(Some(version), &origin())
                .expect("the version is allowed");
            let mut parser = EventParser::new(VERSION_FIELD);
            for chunk in bytes[..cut_at].chunks(rng.random_range(1..40)) {
                for event in parser.push(chunk) {
                    text.on_event(&event).expect("it is the next event");
                }
            }
            if cut_at == bytes.len() {
                assert!(!parser.is_inside_event());
                break;
            }
        }
        assert_eq!(&*text.text(), complete_text());
        assert_eq!(text.weights_versions(), [4, 5]);
    }
}

fn event(id: u64) -> Event {
    Event {
        id: Some(id),
        data: "x".into(),
        weights_version: None,
    }
}

#[test]
fn a_duplicate_or_skipped_event_is_rejected() {
    let mut text = SampleText::new(0, false);
    text.on_run_start(Some(1), &origin())
        .expect("any version is allowed");
    text.on_event(&event(1)).expect("it is the first event");
    assert_eq!(
        text.on_event(&event(1)),
        Err(TextError::OutOfOrder(2, Some(1)))
    );
    assert_eq!(
        text.on_event(&event(3)),
        Err(TextError::OutOfOrder(2, Some(3)))
    );
}

#[test]
fn weights_that_are_too_old_or_mixed_are_rejected() {
    let mut text = SampleText::new(3, true);
    assert_eq!(
        text.on_run_start(Some(2), &origin()),
        Err(TextError::TooOld(2, 3))
    );
    assert_eq!(
        text.on_run_start(None, &origin()),
        Err(TextError::NoVersion)
    );
    text.on_run_start(Some(3), &origin())
        .expect("the version is allowed");
    text.on_event(&event(1)).expect("it is the first event");
    assert_eq!(
        text.on_run_start(Some(4), &origin()),
        Err(TextError::Mixed(4, 3))
    );
}

#[test]
fn a_saved_text_is_restored_only_if_its_versions_are_allowed() {
    let saved = SavedText {
        text: "a\nb".into(),
        last_event: 2,
        origin: Some(origin()),
        weights_versions: vec![3, 4],
        is_complete: false,
    };
    let mut text = SampleText::restore(&saved, 3, false).expect("its versions are allowed");
    text.on_run_start(Some(4), &origin())
        .expect("the version is allowed");
    text.on_event(&event(3)).expect("it is the next event");
    assert_eq!(
        (&*text.text(), text.weights_versions()),
        ("a\nb\nx", &[3, 4][..])
    );
    assert!(SampleText::restore(&saved, 4, false).is_none());
    assert!(SampleText::restore(&saved, 3, true).is_none());
}

#[test]
fn a_resumed_run_without_events_needs_no_weights_version() {
    let mut text = SampleText::new(0, false);
    assert_eq!(
        text.on_run_start(None, &origin()),
        Err(TextError::NoVersion)
    );
    text.on_run_start(Some(1), &origin())
        .expect("any version is allowed");
    text.on_event(&event(1)).expect("it is the first event");
    // The sampler has nothing left to generate, so it reports no version.
    text.on_run_start(None, &origin())
        .expect("the text already has events");
    assert_eq!(text.on_event(&event(2)), Err(TextError::NoVersion));
    assert_eq!(text.weights_versions(), [1]);
}

/// Guards against an event, or a text, that grows for as long as a sampler sends. A
/// trainer reads results of up to 1 MB.
#[test]
fn events_and_texts_are_bounded_by_what_a_trainer_can_read() {
    const MAX_RESULT_BYTES: usize = 1_000_000;
    const EVENT_BYTES: usize = 1_000;
    let mut parser = EventParser::new(VERSION_FIELD);
    assert!(parser.push(b"id: 1\ndata: ").is_empty());
    let pushes = (0..2_000).take_while(|_| {
        parser.push(&[b'x'; 1_024]);
        !parser.is_event_too_long()
    });
    assert!(pushes.count() * 1_024 < MAX_RESULT_BYTES);
    // Each of these bytes takes two in JSON.
    for (data, json_bytes) in [("x", 1), ("\"", 2)] {
        let mut text = SampleText::new(1, false);
        text.on_run_start(Some(1), &origin())
            .expect("it is the first");
        let error = (1..=2_000).find_map(|id| {
            let event = Event {
                id: Some(id),
                data: data.repeat(EVENT_BYTES).into(),
                weights_version: None,
            };
            text.on_event(&event).err()
        });
        assert_eq!(error, Some(TextError::TooLong));
        assert!(text.text().len() * json_bytes < MAX_RESULT_BYTES);
    }
}

/// Guards against a sample that is generated again and again since its text, which its
/// endpoint may send, is longer than a row of the store.
#[test]
fn texts_longer_than_a_row_are_kept() {
    const EVENTS: u64 = 195;
    const EVENT_BYTES: usize = 2_400;
    let mut text = SampleText::new(1, false);
    text.on_run_start(Some(1), &origin())
        .expect("it is the first");
    for id in 1..=EVENTS {
        let event = Event {
            id: Some(id),
            data: "x".repeat(EVENT_BYTES).into(),
            weights_version: None,
        };
        text.on_event(&event).expect("a trainer can read it");
    }
    assert_eq!(text.last_event(), Some(EVENTS));
}

/// Guards against a VM that is kept busy by a sampler whose small events do not end: a
/// sample has no more events than its trainer allows tokens.
#[test]
fn a_sample_has_no_more_events_than_tokens() {
    let mut sample = super::support::sample(1, 1, 400);
    assert!(sample.allows_event(u64::MAX));
    sample.max_tokens = Some(400);
    assert!(sample.allows_event(400));
    assert!(!sample.allows_event(401));
}
