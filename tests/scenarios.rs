//! Failure stories in virtual time: one JSON file under `tests/scenarios` each.
//!
//! A story names the mechanism that it guards. It has to pass for every seed
//! with the mechanism on, and to fail for one seed at least with it off.

mod sim;
mod worlds;

use std::{fs, path::PathBuf};

use chicoryreach::core::guard::{self, Guard};
use rstest::rstest;
use serde::Deserialize;
use serde_json::Value;

/// The head of a story; `body` is read by its world.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Story {
    /// What happens, in a sentence or two.
    #[serde(rename = "story")]
    text: String,
    /// The promise that is kept.
    promise: String,
    /// The mechanism that keeps it.
    guards: String,
    /// The fakes that the story is played with.
    world: String,
    /// How many seeds it is played with.
    seeds: u64,
    /// What exists and what happens when.
    body: Value,
}

impl Story {
    /// Plays the story and returns every promise that was broken.
    fn play(&self, off: Option<Guard>, seed: u64) -> Vec<String> {
        guard::turn_off(off);
        let broken = worlds::play(&self.world, &self.body, seed);
        guard::turn_off(None);
        broken
    }
}

#[rstest]
fn story(#[files("tests/scenarios/**/*.json")] path: PathBuf) {
    let text = fs::read_to_string(&path).expect("the story can be read");
    let story: Story = serde_json::from_str(&text).expect("the story is valid");
    let guarded: Guard = story.guards.parse().expect("the mechanism is known");
    for seed in 0..story.seeds {
        let broken = story.play(None, seed);
        assert!(
            broken.is_empty(),
            "{}\n{}: seed {seed}: {broken:?}",
            story.text,
            story.promise
        );
    }
    let mut off = (0..story.seeds).map(|seed| story.play(Some(guarded), seed));
    let red = off.find(|broken| !broken.is_empty());
    let red = red.expect("the story passes without the mechanism that it guards");
    println!("without {guarded}: {}", red[0]);
}
