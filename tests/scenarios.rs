//! Failure scenarios in simulated time, one JSON file under `tests/scenarios` each.
//!
//! A scenario names the mechanism that it tests. Its promise must hold for every
//! seed with the mechanism on, and be broken for at least one seed with it off.

mod sim;
mod worlds;

use std::{fs, path::PathBuf};

use chicoryreach::core::guard::{self, Guard};
use rstest::rstest;
use serde::Deserialize;
use serde_json::Value;

/// A scenario file; `body` is parsed by the scenario's world.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Scenario {
    /// What happens, in one or two sentences.
    #[serde(rename = "story")]
    description: String,
    /// The promise that must hold.
    promise: String,
    /// The mechanism without which the promise is broken.
    #[serde(rename = "guards")]
    mechanism: String,
    /// The simulated environment in which the scenario is played.
    world: String,
    /// The number of seeds for which the scenario is played, counted from 0.
    seeds: u64,
    /// The parameters of the world and its timed events.
    body: Value,
}

impl Scenario {
    /// Plays the scenario with one mechanism turned off, or with all on, and returns
    /// the violations of its promise.
    fn play(&self, turned_off: Option<Guard>, seed: u64) -> Vec<String> {
        guard::turn_off(turned_off);
        let violations = worlds::play(&self.world, &self.body, seed);
        guard::turn_off(None);
        violations
    }
}

#[rstest]
fn promise_holds_with_mechanism_and_breaks_without_it(
    #[files("tests/scenarios/**/*.json")] path: PathBuf,
) {
    let text = fs::read_to_string(&path).expect("the scenario file is readable");
    let scenario: Scenario = serde_json::from_str(&text).expect("the scenario is valid");
    let mechanism: Guard = scenario.mechanism.parse().expect("the mechanism exists");
    for seed in 0..scenario.seeds {
        let violations = scenario.play(None, seed);
        assert!(
            violations.is_empty(),
            "{}\n{}: seed {seed}: {violations:?}",
            scenario.description,
            scenario.promise
        );
    }
    let mut unprotected = (0..scenario.seeds).map(|seed| scenario.play(Some(mechanism), seed));
    let violations = unprotected.find(|violations| !violations.is_empty());
    let violations = violations.expect("the scenario passes without the mechanism that it tests");
    println!("without {mechanism}: {}", violations[0]);
}
