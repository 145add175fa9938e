//! Switches by which a test turns one mechanism off.
//!
//! A proof of a mechanism is worth something only if it fails without it.
//! With the feature `unguarded`, which only tests enable, a thread can turn a
//! mechanism off; without the feature [`is_on`] is constantly true.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The mechanisms that scenarios guard.
#[derive(
    Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub enum Guard {
    /// A lease holder stops at its own deadline.
    LeaseDeadline,
    /// Writes and orders carry the fencing number, and old ones are refused.
    Fencing,
    /// A patch is checked against the version it was written for.
    PatchVersion,
    /// A patch that is sent again gets its first answer.
    PatchId,
    /// An older configuration never replaces a newer one.
    ConfigMonotonic,
    /// A daemon without a fresh configuration refuses new work.
    ConfigFreshness,
    /// Chunks of an attempt that was dropped are ignored.
    AttemptId,
    /// Chunks are taken only at the offset that is due.
    ChunkOffset,
    /// An attempt that brings nothing for too long is dropped.
    StallDeadline,
    /// A run that no caller waits for is cancelled only after a while.
    CallerGoneGrace,
    /// A request id runs once.
    RequestDeduplication,
    /// A ticket of another incarnation is never run unsettled.
    TicketIncarnation,
    /// A ticket lapses before the ids that ran under it are forgotten.
    TicketLifetime,
    /// An id that another VM was told never ran here is sealed.
    SettleSeal,
    /// A non-idempotent request is never sent a second time.
    AtMostOnce,
    /// Once sent, a request is no longer called "not run".
    NotRunOnlyBeforeSend,
    /// A slot takes one sample.
    SlotOnce,
    /// The manifest is appended by compare-and-set.
    ManifestCompareAndSet,
    /// A lost answer of the store is settled by reading.
    SettleByReading,
    /// Freshness is checked when a sample is handed over.
    FreshnessAtHandOver,
    /// A sample leaves its slot by a commit, before the hand-over passes it.
    DropCommitted,
    /// Samples leave their slots only where the trainer is known not to hold them.
    DropAtHandOverOnly,
    /// A step that is finished is not opened again.
    StepOnce,
    /// A new holder serves nothing before its first commit took effect.
    ClaimBeforeServing,
    /// What was not committed when the lease lapsed is kept for the next term.
    KeepUncommitted,
    /// Committed samples whose payload cannot be read are made again.
    RemakeUnreadable,
    /// A step may be opened again with later weights.
    ReopenWithLaterWeights,
    /// Versions are taken from the engine's chunks.
    VersionsFromChunks,
    /// Contents that crash endpoints are isolated.
    Quarantine,
    /// A crash is blamed on earlier suspects alone, where one ran there.
    BlameIntersection,
    /// Endpoints that leave get no new work.
    EndpointLeaving,
    /// A VM that leaves waits until callers have dropped its address.
    DrainWaitsForCallers,
    /// A shutdown waits for what runs.
    DrainWaitsForRequests,
    /// A suspicion can be refuted before a member is held dead.
    Suspicion,
    /// Members that cannot be reached are not forgotten.
    KeepUnreachable,
    /// Members are reachable only while their data centre was heard of lately.
    ReachEvidence,
    /// Views that still differ are compared and repaired.
    AntiEntropy,
    /// The record of a later incarnation goes before that of an earlier one.
    Incarnation,
    /// Retries are limited to a share of first tries.
    RetryBudget,
    /// An endpoint is the better of two drawn, not the best of all.
    TwoChoices,
    /// Requests wait or are refused beyond a limit learned from latency.
    AdmissionLimit,
    /// Callers leave a share of the endpoints to trainers.
    BackgroundShare,
    /// Work that cannot meet its deadline is refused at once.
    DeadlineAdmission,
    /// Weights are swapped in waves.
    WeightWaves,
    /// What an engine reports is compared with what it was ordered.
    OrderReconciliation,
}

#[cfg(feature = "unguarded")]
mod switch {
    use std::cell::Cell;

    use super::Guard;

    thread_local! {
        static OFF: Cell<Option<Guard>> = const { Cell::new(None) };
    }

    /// Turns one mechanism off on this thread, or all on again.
    pub fn turn_off(guard: Option<Guard>) {
        OFF.set(guard);
    }

    /// Returns whether the mechanism is on for this thread.
    #[must_use]
    pub fn is_on(guard: Guard) -> bool {
        OFF.get() != Some(guard)
    }
}

#[cfg(feature = "unguarded")]
pub use switch::{is_on, turn_off};

/// Returns whether the mechanism is on: always, in a build that ships.
#[cfg(not(feature = "unguarded"))]
#[must_use]
pub const fn is_on(_guard: Guard) -> bool {
    true
}
