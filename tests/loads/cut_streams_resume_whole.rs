//! Streams break off at any byte, go on elsewhere after the last whole event,
//! and change weights on the way.

use chicoryreach::core::batch::{Event, EventParser, SampleText, SavedText, TextError};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const FIELD: &str = "x-weight-versions";
const EVENTS: u64 = 12;

fn whole_text() -> String {
    let data: Vec<String> = (1..=EVENTS).map(|id| format!("data of {id}")).collect();
    data.join("\n")
}

/// What a sampler sends from an event on; the weights change at event 7.
fn stream(from: u64) -> Vec<u8> {
    let event = |id: u64| {
        let change = if id == 7 {
            format!("{FIELD}: 5\n")
        } else {
            String::new()
        };
        format!("{change}id: {id}\ndata: data of {id}\n\n")
    };
    (from..=EVENTS).map(event).collect::<String>().into_bytes()
}

#[rstest]
fn the_text_is_whole_wherever_it_was_cut(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..200 {
        let mut text = SampleText::new(4, false);
        loop {
            let next = text.last_event().unwrap_or(0) + 1;
            let bytes = stream(next);
            let cut = rng.random_range(0..=bytes.len());
            let version = if next > 7 { 5 } else { 4 };
            text.on_run_start(Some(version))
                .expect("the version will do");
            let mut parser = EventParser::new(FIELD);
            for piece in bytes[..cut].chunks(rng.random_range(1..40)) {
                for event in parser.push(piece) {
                    text.on_event(&event).expect("the next event");
                }
            }
            if cut == bytes.len() {
                assert!(!parser.is_inside_event());
                break;
            }
        }
        assert_eq!(&*text.text(), whole_text());
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
fn an_event_that_is_doubled_or_missing_is_not_taken() {
    let mut text = SampleText::new(0, false);
    text.on_run_start(Some(1)).expect("any version");
    text.on_event(&event(1)).expect("the first");
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
fn weights_that_are_too_old_or_mixed_are_refused() {
    let mut text = SampleText::new(3, true);
    assert_eq!(text.on_run_start(Some(2)), Err(TextError::TooOld(2, 3)));
    assert_eq!(text.on_run_start(None), Err(TextError::NoVersion));
    text.on_run_start(Some(3)).expect("the version will do");
    text.on_event(&event(1)).expect("the first");
    assert_eq!(text.on_run_start(Some(4)), Err(TextError::Mixed(4, 3)));
}

#[test]
fn a_kept_text_goes_on_only_where_its_versions_fit() {
    let saved = SavedText {
        text: "a\nb".into(),
        last_event: 2,
        weights_versions: vec![3, 4],
        is_complete: false,
    };
    let mut text = SampleText::restore(&saved, 3, false).expect("its versions fit");
    text.on_run_start(Some(4)).expect("the version will do");
    text.on_event(&event(3)).expect("the next event");
    assert_eq!(
        (&*text.text(), text.weights_versions()),
        ("a\nb\nx", &[3, 4][..])
    );
    assert!(SampleText::restore(&saved, 4, false).is_none());
    assert!(SampleText::restore(&saved, 3, true).is_none());
}

#[test]
fn a_run_that_goes_on_after_the_last_event_may_end_without_any() {
    let mut text = SampleText::new(0, false);
    assert_eq!(text.on_run_start(None), Err(TextError::NoVersion));
    text.on_run_start(Some(1)).expect("any version");
    text.on_event(&event(1)).expect("the first");
    // The sampler has nothing to generate, and so names no weights.
    text.on_run_start(None)
        .expect("there is a text to go on with");
    assert_eq!(text.on_event(&event(2)), Err(TextError::NoVersion));
    assert_eq!(text.weights_versions(), [1]);
}
