//! What all cases share: a deployment of real `serve` processes, a record, a raw
//! HTTP client and a raw HTTP server for samplers.

pub mod deployment;
pub mod http;
pub mod record;

use std::{env, process::ExitCode, time::Duration};

/// A script may take 120 seconds; a case that takes this long could not run.
const MAX_DURATION: Duration = Duration::from_secs(110);

/// Runs a case; returns 2 if it does not end in time.
pub async fn bounded<F>(case: F) -> ExitCode
where
    F: Future<Output = ExitCode>,
{
    match tokio::time::timeout(MAX_DURATION, case).await {
        Ok(code) => code,
        Err(_) => ExitCode::from(2),
    }
}

/// Whether the disruption of the case takes place.
#[must_use]
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The seed of what a case draws at random.
#[must_use]
pub fn seed() -> u64 {
    env::var("SEED")
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(1)
}

/// A small generator of pseudo-random numbers, so that a seed repeats a case.
#[derive(Debug)]
pub struct Random(u64);

impl Random {
    /// Starts from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number from 0 up to 1.
    pub fn share(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}
