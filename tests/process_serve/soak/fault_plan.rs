//! Which faults come when, by a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// How long faults come, in milliseconds.
pub const FAULTS_MS: u64 = 7_000;
const FAULTS: std::ops::RangeInclusive<usize> = 2..=5;
/// Longer than a lease, and than a VM is silent before it counts as lost.
const LONGEST_MS: u64 = 4_500;

/// One fault of a VM, or of the store for all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Kill,
    Terminate,
    Hangup,
    Pause,
    /// The way to the store is slow.
    StoreDelayed,
    /// The store hears the VM, which does not hear the store.
    StoreDeaf,
    StoreSilent,
    StoreReset,
    CallersReset,
    CallersDelayed,
    TurnedAway,
    AllTurnedAway,
    AnswersLost,
    HistoryLost,
}

const KINDS: [Kind; 14] = [
    Kind::Kill,
    Kind::Terminate,
    Kind::Hangup,
    Kind::Pause,
    Kind::StoreDelayed,
    Kind::StoreDeaf,
    Kind::StoreSilent,
    Kind::StoreReset,
    Kind::CallersReset,
    Kind::CallersDelayed,
    Kind::TurnedAway,
    Kind::AllTurnedAway,
    Kind::AnswersLost,
    Kind::HistoryLost,
];

/// A fault and its time.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    pub kind: Kind,
    pub vm: usize,
    pub after: Duration,
    pub lasts: Duration,
}

/// Returns the faults of a seed, in order; they may overlap.
pub fn plan(seed: u64, vms: usize) -> Vec<Planned> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(FAULTS);
    let mut faults: Vec<Planned> = (0..count)
        .map(|_| Planned {
            kind: KINDS[rng.random_range(0..KINDS.len())],
            vm: rng.random_range(0..vms),
            after: Duration::from_millis(rng.random_range(0..FAULTS_MS)),
            lasts: Duration::from_millis(rng.random_range(300..LONGEST_MS)),
        })
        .collect();
    faults.sort_by_key(|fault| fault.after);
    faults
}
