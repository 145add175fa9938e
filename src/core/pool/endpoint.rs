use std::{collections::BTreeMap, net::SocketAddr};

use strum::{Display, EnumString};

use super::{Load, Slowdowns};
use crate::core::{Name, rate_limit::NamedLimit, streams::StreamOrigin};

/// Whether an endpoint accepts new work, as it reports itself.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointStage {
    /// It accepts new work.
    Ready,
    /// It accepts no new work, as it is about to leave.
    Leaving,
}

/// An endpoint as it describes itself in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint's id, which stays the same over restarts.
    pub id: Name,
    /// When it started, in milliseconds since the Unix epoch. An endpoint that
    /// restarts under the same id has lost its earlier state.
    pub started_unix_ms: u64,
    /// The service that it belongs to.
    pub service: Name,
    /// The version of its software. Streams of two versions do not fit together.
    pub software: Name,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: Name,
    /// The number of requests that it can run at once.
    pub slots: u32,
    /// Whether it accepts new work.
    pub stage: EndpointStage,
    /// Whether the platform may reclaim it.
    pub is_spot: bool,
    /// When it leaves, as it reports itself once it accepts no new work.
    pub leaves_ms: Option<u64>,
    /// The weights version loaded for each of its models.
    pub weights: BTreeMap<Name, u64>,
}

impl EndpointRecord {
    /// Returns the service and software version of the streams that begin there.
    #[must_use]
    pub fn origin(&self) -> StreamOrigin {
        StreamOrigin {
            service: self.service.clone(),
            software: self.software.clone(),
        }
    }
}

/// The weight of a new measurement in the moving average of the pace.
const NEW_PACE_WEIGHT: f64 = 0.15;
/// How long an endpoint is avoided after its first failure, in milliseconds;
/// doubled with each further failure up to [`MAX_PENALTY_MS`].
const FIRST_PENALTY_MS: u64 = 500;
const MAX_PENALTY_MS: u64 = 8_000;
/// How long an endpoint counts as stalled after a run waited too long to start
/// there, in milliseconds: about what remains of loading weights at that point.
const STALLED_DURATION_MS: u64 = 700;

/// For how long an answer shows that open connections to its endpoint work, in
/// milliseconds.
const ANSWER_TRUST_MS: u64 = 1_000;

/// How long an endpoint may send nothing during a run before it is checked, in
/// milliseconds: longer than loading weights takes. With both checks and a
/// heartbeat, all VMs know of a crash within three seconds.
pub const SILENCE_MS: u64 = 1_000;

/// An endpoint and what this VM has observed of it.
#[derive(Clone, Debug)]
pub struct PoolEndpoint {
    /// The endpoint as it describes itself.
    pub record: EndpointRecord,
    /// Whether its answers have said that it leaves, which its description may not.
    has_announced_leaving: bool,
    /// The endpoint's load.
    pub load: Load,
    /// The average time for a unit of work while its machine is as fast as usual, if any
    /// was measured: milliseconds per event for samples, and multiples of the route's
    /// latency objective for other requests.
    pub pace: Option<f64>,
    /// When the pace was last measured.
    pub pace_measured_ms: Option<u64>,
    /// How slow its machine is, apart from its pace.
    pub slowdowns: Slowdowns,
    /// Until when it is avoided after a failure.
    pub penalty_until_ms: u64,
    /// Until when runs sent there are expected to wait before they start.
    pub stalled_until_ms: u64,
    /// When it is removed, if the platform no longer lists it.
    pub remove_at_ms: Option<u64>,
    /// The earliest start of a run after which it has sent nothing yet.
    pub unheard_since_ms: Option<u64>,
    /// When it last sent something on a connection of this VM.
    answered_ms: Option<u64>,
    /// When it was last checked for being silent.
    pub(super) silence_checked_ms: u64,
    /// The number of orders that it has accepted since its start, if known.
    pub orders_accepted: Option<u64>,
    /// The request limit that its answers name.
    pub named_limit: NamedLimit,
    consecutive_failures: u32,
}

impl PoolEndpoint {
    pub(crate) const fn new(record: EndpointRecord) -> Self {
        Self {
            record,
            has_announced_leaving: false,
            load: Load::DEFAULT,
            pace: None,
            pace_measured_ms: None,
            slowdowns: Slowdowns::new(),
            penalty_until_ms: 0,
            stalled_until_ms: 0,
            remove_at_ms: None,
            unheard_since_ms: None,
            answered_ms: None,
            silence_checked_ms: 0,
            orders_accepted: None,
            named_limit: NamedLimit::UNKNOWN,
            consecutive_failures: 0,
        }
    }

    /// Records that one of its answers says that it is about to leave; returns whether
    /// this was unknown.
    ///
    /// It accepts no new work from now on, whatever the platform's list says, until it
    /// starts again.
    pub fn on_leaving_announced(&mut self) -> bool {
        self.has_announced_leaving = true;
        let was_ready = self.record.stage == EndpointStage::Ready;
        self.record.stage = EndpointStage::Leaving;
        was_ready
    }

    /// Replaces the description of the same incarnation by a newer one.
    pub(super) fn update_record(&mut self, newer: EndpointRecord) {
        self.record = newer;
        if self.has_announced_leaving {
            self.record.stage = EndpointStage::Leaving;
        }
    }

    /// Records that a run starts there.
    pub fn on_run_start(&mut self, now_ms: u64) {
        self.load.in_flight += 1;
        self.unheard_since_ms.get_or_insert(now_ms);
    }

    /// Records that a run ended there; nothing more is expected if the run was
    /// answered or is known to have ended.
    pub const fn on_run_end(&mut self, is_known_end: bool) {
        self.load.in_flight = self.load.in_flight.saturating_sub(1);
        if is_known_end && self.load.in_flight == 0 {
            self.unheard_since_ms = None;
        }
    }

    /// Records that it has sent something, or accepted a connection.
    pub fn on_heard(&mut self, now_ms: u64) {
        self.unheard_since_ms = (self.load.in_flight > 0).then_some(now_ms);
    }

    /// Records that it has sent something on a connection of this VM.
    pub const fn on_answered(&mut self, now_ms: u64) {
        self.answered_ms = Some(now_ms);
    }

    /// Returns whether its open connections to this VM have lately been seen to work.
    #[must_use]
    pub fn has_answered_lately(&self, now_ms: u64) -> bool {
        self.answered_ms
            .is_some_and(|answered_ms| now_ms < answered_ms + ANSWER_TRUST_MS)
    }

    /// Returns whether it has sent nothing during a run for [`SILENCE_MS`].
    #[must_use]
    pub fn is_silent(&self, now_ms: u64) -> bool {
        let silent_from_ms = self.unheard_since_ms.map(|since_ms| since_ms + SILENCE_MS);
        silent_from_ms.is_some_and(|from_ms| from_ms <= now_ms)
    }

    /// Records that it counts as gone: nothing more is expected from runs that have
    /// ended.
    pub const fn on_found_gone(&mut self) {
        if self.load.in_flight == 0 {
            self.unheard_since_ms = None;
        }
    }

    /// Records how long a unit of work took, in the unit of [`Self::pace`].
    pub fn on_pace(&mut self, pace: f64) {
        let average = self.pace.unwrap_or(pace);
        self.pace = Some(average + NEW_PACE_WEIGHT * (pace - average));
    }

    /// Records how long a unit of work took that was measured from `from_ms` on, in the
    /// unit of [`Self::pace`]. What its machine was slower than usual meanwhile is taken
    /// out, as far as reports tell of it.
    pub fn on_measured_pace(&mut self, from_ms: u64, now_ms: u64, pace: f64) {
        self.on_pace(pace * self.slowdowns.mean_speed(from_ms, now_ms));
        self.pace_measured_ms = Some(now_ms);
    }

    /// Records a successful response, which ends the penalty for failures.
    pub const fn on_success(&mut self) {
        self.consecutive_failures = 0;
        self.penalty_until_ms = 0;
    }

    /// Records that it refused a request because it had no free slot.
    pub fn on_refusal(&mut self, now_ms: u64) {
        self.load.on_refusal(now_ms, self.record.slots);
    }

    /// Records that a run waited too long to start: the endpoint is loading
    /// weights, or other VMs have filled its slots.
    pub const fn on_stalled(&mut self, now_ms: u64) {
        self.stalled_until_ms = now_ms + STALLED_DURATION_MS;
    }

    /// Records a broken or missing response; the endpoint is avoided for a time
    /// that doubles with each failure in a row.
    pub fn on_failure(&mut self, now_ms: u64) {
        let penalty_ms = FIRST_PENALTY_MS << self.consecutive_failures.min(4);
        self.consecutive_failures += 1;
        self.penalty_until_ms = now_ms + penalty_ms.min(MAX_PENALTY_MS);
    }

    /// Records that it could not be reached over a path that is cut, which says nothing of
    /// the endpoint itself: it is avoided briefly, however often that happens.
    pub fn on_unreached(&mut self, now_ms: u64) {
        self.penalty_until_ms = self.penalty_until_ms.max(now_ms + FIRST_PENALTY_MS);
    }

    /// Returns the weights version loaded for a model, or 0 if the endpoint does
    /// not serve it.
    #[must_use]
    pub fn weights_version(&self, model: &str) -> u64 {
        self.record.weights.get(model).copied().unwrap_or(0)
    }
}
