//! Switches with which a test turns a protective mechanism off.
//!
//! A test of a mechanism is meaningful only if it fails without the mechanism.
//! With the feature `unguarded`, which only tests enable, a thread can turn one
//! mechanism off. Without the feature, [`is_on`] always returns true.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A mechanism that a scenario tests by turning it off.
#[derive(
    Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub enum Guard {
    /// A lease holder stops at its own deadline.
    LeaseDeadline,
    /// Writes and orders carry the fencing number, and outdated ones are rejected.
    Fencing,
    /// A patch is applied only to the version against which it was written.
    PatchVersion,
    /// A patch that is sent again gets its first answer.
    PatchId,
    /// An older configuration never replaces a newer one.
    ConfigMonotonic,
    /// A daemon without a fresh configuration refuses new work.
    ConfigFreshness,
    /// Chunks of an abandoned attempt are ignored.
    AttemptId,
    /// A chunk is accepted only at the expected offset.
    ChunkOffset,
    /// An attempt that makes no progress for too long is abandoned.
    StallDeadline,
    /// A run without a waiting caller is cancelled only after a grace period.
    CallerGoneGrace,
    /// A request runs only once under its id.
    RequestDeduplication,
    /// A request with a ticket of another incarnation never runs before it is
    /// determined whether it ran there.
    TicketIncarnation,
    /// A ticket expires before the ids of the requests that ran with it are
    /// forgotten.
    TicketLifetime,
    /// A request id is sealed when another VM is told that the request never ran
    /// here.
    SettleSeal,
    /// A non-idempotent request is never sent a second time.
    AtMostOnce,
    /// A request is no longer reported as "not run" once it was sent.
    NotRunOnlyBeforeSend,
    /// A slot accepts only one sample.
    SlotOnce,
    /// The manifest is appended to by compare-and-set.
    ManifestCompareAndSet,
    /// If the store's response is lost, the outcome is determined by reading.
    SettleByReading,
    /// The freshness of a sample is checked when it is handed over.
    FreshnessAtHandOver,
    /// A sample is dropped from its slot by a commit, before the hand-over
    /// position passes it.
    DropCommitted,
    /// Samples are dropped from their slots only if the trainer is known not to
    /// hold them.
    DropAtHandOverOnly,
    /// A finished step is not opened again.
    StepOnce,
    /// A new holder serves nothing before its first commit took effect.
    ClaimBeforeServing,
    /// Samples that were not committed when the lease expired are kept for the
    /// next term.
    KeepUncommitted,
    /// Committed samples whose payload cannot be read are generated again.
    RemakeUnreadable,
    /// A step may be opened again with later weights.
    ReopenWithLaterWeights,
    /// Weights versions are taken from the engine's chunks.
    VersionsFromChunks,
    /// Contents that crash endpoints are quarantined.
    Quarantine,
    /// A crash is blamed only on earlier suspects, if one ran at the endpoint.
    BlameIntersection,
    /// Leaving endpoints receive no new work.
    EndpointLeaving,
    /// A leaving VM waits until callers no longer use its address.
    DrainWaitsForCallers,
    /// A shutdown waits for running requests.
    DrainWaitsForRequests,
    /// A suspicion can be refuted before the member counts as unreachable.
    Suspicion,
    /// Endpoints of other data centres are kept in reserve.
    SpareEndpoints,
    /// Every endpoint is used by equally many daemons.
    EqualSubsets,
    /// Unreachable members are not forgotten.
    KeepUnreachable,
    /// Members count as reachable only if their data centre was heard from recently.
    ReachEvidence,
    /// Members' views that still differ after gossip are compared and repaired.
    AntiEntropy,
    /// The record of a later incarnation overrides that of an earlier one.
    Incarnation,
    /// Retries are limited to a share of first attempts.
    RetryBudget,
    /// A request is sent to the cheaper of two endpoints drawn at random, not to
    /// the cheapest of all.
    TwoChoices,
    /// Requests beyond a limit learned from latency wait or are refused.
    AdmissionLimit,
    /// Callers leave a share of the endpoints' slots to trainers.
    BackgroundShare,
    /// Work that cannot meet its deadline is refused at once.
    DeadlineAdmission,
    /// Weights are swapped in waves.
    WeightWaves,
    /// The state that an engine reports is compared with its orders.
    OrderReconciliation,
}

#[cfg(feature = "unguarded")]
mod switch {
    use std::cell::Cell;

    use super::Guard;

    thread_local! {
        static TURNED_OFF: Cell<Option<Guard>> = const { Cell::new(None) };
    }

    /// Turns one mechanism off on this thread; `None` turns all on.
    pub fn turn_off(guard: Option<Guard>) {
        TURNED_OFF.set(guard);
    }

    /// Returns whether the mechanism is on on this thread.
    #[must_use]
    pub fn is_on(guard: Guard) -> bool {
        TURNED_OFF.get() != Some(guard)
    }
}

#[cfg(feature = "unguarded")]
pub use switch::{is_on, turn_off};

/// Returns whether the mechanism is on, which it always is without the feature
/// `unguarded`.
#[cfg(not(feature = "unguarded"))]
#[must_use]
pub const fn is_on(_guard: Guard) -> bool {
    true
}
