//! Checks the answers and samples that callers and trainers receive, without
//! use of the code under test.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use chicoryreach::wire::{
    callers::VersionSpan,
    trainers::{Sample, Slot},
};

use crate::text;

/// Counts of answers and samples, and the promises that they broke.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The number of requests that received a whole answer.
    pub answered: u64,
    /// The number of refusals, by kind.
    pub refusals: BTreeMap<String, u64>,
    /// The number of delivered samples.
    pub delivered: u64,
    /// The number of delivered samples, by the versions that they were behind.
    pub staleness: BTreeMap<u64, u64>,
    /// The number of slots that received no sample.
    pub lost: u64,
    /// The number of slots or requests that were served more than once.
    pub doubled: u64,
    /// A message for each broken promise.
    pub broken_promises: Vec<String>,
}

impl Verdict {
    /// Checks a generated text against the weights versions that it names.
    pub fn check_text(
        &mut self,
        prompt: &str,
        seed: u64,
        max_tokens: u32,
        text: &str,
        weights: &[VersionSpan],
    ) {
        let tokens = expected_tokens(prompt, seed, weights);
        let token_count = text::token_count(prompt, seed, max_tokens) as usize;
        if tokens.len() != token_count {
            self.broken_promises.push(format!(
                "an answer has {} of {token_count} tokens",
                tokens.len()
            ));
        } else if tokens.concat() != text {
            self.broken_promises.push(format!(
                "an answer to '{prompt}' is not what its versions produce"
            ));
        }
    }

    /// Checks a sample delivered to a trainer with weights version
    /// `trainer_version`: it must be the first of its slot, and at most `bound`
    /// versions behind.
    pub fn check_sample(
        &mut self,
        delivered_slots: &mut BTreeSet<Slot>,
        sample: &Sample,
        trainer_version: u64,
        bound: u64,
        max_tokens: u32,
    ) {
        self.delivered += 1;
        if !delivered_slots.insert(sample.slot) {
            self.doubled += 1;
            self.broken_promises
                .push(format!("slot {:?} was delivered twice", sample.slot));
        }
        let oldest = sample
            .weights
            .iter()
            .map(|span| span.weights_version)
            .min()
            .unwrap_or_default();
        let behind = trainer_version.saturating_sub(oldest);
        *self.staleness.entry(behind).or_default() += 1;
        if behind > bound {
            self.broken_promises.push(format!(
                "slot {:?} is {behind} versions behind, {bound} are agreed",
                sample.slot
            ));
        }
        self.check_text(
            &sample.prompt,
            sample.seed,
            max_tokens,
            &sample.tokens.concat(),
            &sample.weights,
        );
    }

    /// Returns a percentile of the staleness, in versions, or zero without
    /// samples.
    #[must_use]
    pub fn staleness_percentile(&self, percent: u64) -> u64 {
        let rank = (self.delivered * percent).div_ceil(100);
        let mut count = 0;
        for (behind, samples) in &self.staleness {
            count += samples;
            if count >= rank {
                return *behind;
            }
        }
        0
    }
}

fn expected_tokens(prompt: &str, seed: u64, weights: &[VersionSpan]) -> Vec<std::sync::Arc<str>> {
    let tokens = weights.iter().flat_map(|span| {
        (span.from_token..span.to_token)
            .map(|index| text::token(prompt, seed, index, span.weights_version))
    });
    tokens.collect()
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "requests answered    {}", self.answered)?;
        for (kind, count) in &self.refusals {
            writeln!(f, "refused {kind:<20} {count}")?;
        }
        writeln!(f, "samples delivered    {}", self.delivered)?;
        writeln!(
            f,
            "staleness p50, p99   {}, {} versions",
            self.staleness_percentile(50),
            self.staleness_percentile(99)
        )?;
        writeln!(f, "doubled              {}", self.doubled)?;
        writeln!(f, "lost                 {}", self.lost)?;
        for message in self.broken_promises.iter().take(10) {
            writeln!(f, "BROKEN: {message}")?;
        }
        Ok(())
    }
}
