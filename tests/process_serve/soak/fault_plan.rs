//! The faults of a seed and their times.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use standins::fleet::{LinkState, WhenDown};

/// The time within which faults start, in milliseconds.
pub const FAULT_WINDOW_MS: u64 = 7_000;
const FAULT_COUNT: std::ops::RangeInclusive<usize> = 2..=5;
/// The longest duration of a fault, in milliseconds: longer than a lease, and
/// than the silence after which a VM counts as lost.
const MAX_FAULT_MS: u64 = 4_500;

/// The longest time for which a sampler still serves after it has said that it leaves,
/// in milliseconds; the users promise two seconds.
const MAX_LEAVE_MS: u64 = 4_000;
/// By how many bits a seed is rotated for the manner of its crashes.
const MANNER_SEED_BITS: u32 = 17;

/// By how many bits a seed is rotated for its cuts.
const CUT_SEED_BITS: u32 = 41;
const CUT_STATES: [LinkState; 3] = [LinkState::Silent, LinkState::Reset, LinkState::HalfOpen];

/// A fault of one VM, or of the store for all VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    Kill,
    Terminate,
    Hangup,
    Pause,
    /// The connections between the VM and the store are slow.
    StoreDelayed,
    /// The store gets the VM's requests, but its answers are held back.
    StoreAnswersHeld,
    /// Requests to the store and its answers are held back.
    StoreTrafficHeld,
    StoreReset,
    CallersReset,
    CallersDelayed,
    /// The store refuses one VM.
    StoreRefusesVm,
    /// The store refuses all VMs.
    StoreRefusesAll,
    AnswersLost,
    HistoryLost,
}

const FAULT_KINDS: [FaultKind; 14] = [
    FaultKind::Kill,
    FaultKind::Terminate,
    FaultKind::Hangup,
    FaultKind::Pause,
    FaultKind::StoreDelayed,
    FaultKind::StoreAnswersHeld,
    FaultKind::StoreTrafficHeld,
    FaultKind::StoreReset,
    FaultKind::CallersReset,
    FaultKind::CallersDelayed,
    FaultKind::StoreRefusesVm,
    FaultKind::StoreRefusesAll,
    FaultKind::AnswersLost,
    FaultKind::HistoryLost,
];

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    pub kind: FaultKind,
    pub vm: usize,
    pub starts_after: Duration,
    pub duration: Duration,
}

/// A crash of a sampler by itself.
#[derive(Clone, Copy, Debug)]
pub struct PlannedCrash {
    pub sampler: usize,
    pub starts_after: Duration,
    pub downtime: Duration,
    /// What callers notice of this crash and the later ones of the sampler.
    pub when_down: WhenDown,
    /// How long before, if it is no crash, the sampler says that it leaves.
    pub leaves_after: Option<Duration>,
}

/// A cut between some VMs and all samplers.
#[derive(Clone, Debug)]
pub struct PlannedCut {
    pub vms: Vec<usize>,
    pub state: LinkState,
    pub starts_after: Duration,
    pub duration: Duration,
}

/// Returns the cuts of a seed; there may be none. They may come one after the other, with
/// short pauses, but they do not overlap.
pub fn plan_cuts(seed: u64, vms: usize) -> Vec<PlannedCut> {
    // Its own generator, so that the faults of a seed stay what they were.
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(CUT_SEED_BITS));
    let mut starts_after = Duration::ZERO;
    (0..rng.random_range(0..=3))
        .map(|_| {
            let cut = PlannedCut {
                vms: (0..vms).filter(|_| rng.random_bool(0.6)).collect(),
                state: CUT_STATES[rng.random_range(0..CUT_STATES.len())],
                starts_after: starts_after + Duration::from_millis(rng.random_range(200..1_500)),
                duration: Duration::from_millis(rng.random_range(300..MAX_FAULT_MS)),
            };
            starts_after = cut.starts_after + cut.duration;
            cut
        })
        .collect()
}

/// Returns the crashes of samplers of a seed; there may be none.
pub fn plan_crashes(seed: u64) -> Vec<PlannedCrash> {
    // Its own generator, so that the faults of a seed stay what they were.
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut manner_rng = SmallRng::seed_from_u64(seed.rotate_left(MANNER_SEED_BITS));
    (0..rng.random_range(0..=3))
        .map(|_| PlannedCrash {
            sampler: rng.random_range(0..6),
            starts_after: Duration::from_millis(rng.random_range(0..FAULT_WINDOW_MS)),
            downtime: Duration::from_millis(rng.random_range(200..2_000)),
            when_down: match manner_rng.random_range(0..4) {
                0 => WhenDown::Hangs,
                1 => WhenDown::Unreachable,
                _ => WhenDown::Refuses,
            },
            leaves_after: manner_rng
                .random_bool(0.3)
                .then(|| Duration::from_millis(manner_rng.random_range(2_000..MAX_LEAVE_MS))),
        })
        .collect()
}

/// Returns the faults of a seed, in order; they may overlap.
pub fn plan_faults(seed: u64, vms: usize) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(FAULT_COUNT);
    let mut faults: Vec<PlannedFault> = (0..count)
        .map(|_| PlannedFault {
            kind: FAULT_KINDS[rng.random_range(0..FAULT_KINDS.len())],
            vm: rng.random_range(0..vms),
            starts_after: Duration::from_millis(rng.random_range(0..FAULT_WINDOW_MS)),
            duration: Duration::from_millis(rng.random_range(300..MAX_FAULT_MS)),
        })
        .collect();
    faults.sort_by_key(|fault| fault.starts_after);
    faults
}
