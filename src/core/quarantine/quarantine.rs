use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    wire::peers::{Clearance, CrashId, CrashReport},
};

/// How many crashes isolate a content, if it is blamed for one of them alone.
pub const MAX_CRASHES: u32 = 3;
/// How many crashes isolate a content in any case.
pub const MAX_SHARED_CRASHES: u32 = 5;
/// How long members may take to tell what else ran at an endpoint that crashed.
pub const CRASH_REPORT_WAIT_MS: u64 = 500;
/// How long a crash is held against what ran there.
pub const BLAME_DURATION_MS: u64 = 3_600_000;
/// A run that started this soon after a crash was sent to what had crashed.
const SAME_CRASH_MS: u64 = 100;
/// The most crashes that are remembered.
const MAX_REMEMBERED: usize = 256;

/// How a content may run now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Permit {
    /// Like any other.
    Unrestricted,
    /// As a trial, on an endpoint other than these, where suspects run.
    Trial {
        /// Endpoints on which suspects run.
        avoid: BTreeSet<Name>,
    },
    /// Not before the trial of the same content has ended.
    Wait,
    /// Not at all.
    Isolated,
}

/// How a run at an endpoint ended, as far as crashes are concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// With a whole answer: what ran does not crash endpoints.
    Complete,
    /// In any other way.
    Incomplete,
}

/// Finds the contents that crash endpoints, and isolates them.
///
/// Each crash is blamed on all contents that ran there, or, if some of them
/// were suspects already, on these alone. A suspect runs as a trial: one at a
/// time on this daemon, on an endpoint where no other suspect of this daemon
/// runs. A trial that ends well clears it. [`MAX_CRASHES`] isolate it if it is
/// blamed for one alone; if suspects of several daemons met each time, more
/// trials tell them apart, up to [`MAX_SHARED_CRASHES`].
///
/// One content, wherever its callers send it, takes down at most
/// `in_flight + (MAX_SHARED_CRASHES - 1) + (daemons - 1)` endpoints in
/// [`BLAME_DURATION_MS`], where `in_flight` counts those on which it ran when its first
/// crash became known.
///
/// # Examples
///
/// ```
/// use chicoryreach::{core::quarantine::{Permit, Quarantine}, wire::peers::CrashReport};
///
/// let mut quarantine = Quarantine::default();
/// for second in 0..3 {
///     let now_ms = 1_000 * second;
///     quarantine.on_start(&"sampler-1".into(), &"content".into(), now_ms);
///     let crash = quarantine.on_crash(now_ms, &"sampler-1".into(), 1, now_ms);
///     assert_eq!(crash.fingerprints, ["content".into()]);
/// }
/// assert_eq!(quarantine.permit(2_500, &"content".into()), Permit::Isolated);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: Vec<Crash>,
    /// What is held against each content that is not cleared.
    blame: BTreeMap<Arc<str>, Blame>,
    /// Of which crashes each content is cleared.
    cleared: BTreeMap<Arc<str>, BTreeSet<CrashId>>,
    /// What runs at each endpoint, and how often.
    running: BTreeMap<Name, BTreeMap<Arc<str>, u32>>,
    /// The last crash that was seen here, by endpoint.
    seen: BTreeMap<Name, Seen>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Blame {
    crashes: u32,
    /// When the last of these crashes became known.
    last_at_ms: u64,
    /// Whether nothing else is blamed for one of them.
    is_alone: bool,
}

#[derive(Clone, Debug)]
struct Crash {
    id: CrashId,
    at_ms: u64,
    fingerprints: BTreeSet<Arc<str>>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: u64,
    at_ms: u64,
}

impl Quarantine {
    /// Returns how a content may run now.
    #[must_use]
    pub fn permit(&self, now_ms: u64, fingerprint: &Arc<str>) -> Permit {
        if !guard::is_on(Guard::Quarantine) {
            return Permit::Unrestricted;
        }
        let blame = self.blame.get(fingerprint).copied().unwrap_or_default();
        if blame.crashes == 0 || now_ms >= blame.last_at_ms + BLAME_DURATION_MS {
            return Permit::Unrestricted;
        }
        let is_settled = now_ms >= blame.last_at_ms + CRASH_REPORT_WAIT_MS;
        match blame.crashes {
            MAX_SHARED_CRASHES.. => Permit::Isolated,
            MAX_CRASHES.. if !is_settled => Permit::Wait,
            MAX_CRASHES.. if blame.is_alone => Permit::Isolated,
            _ if self.runs_somewhere(fingerprint) => Permit::Wait,
            _ => Permit::Trial {
                avoid: self.endpoints_of_suspects(),
            },
        }
    }

    /// Notes that a content starts to run at an endpoint.
    pub fn on_start(&mut self, endpoint: &Name, fingerprint: &Arc<str>, now_ms: u64) {
        self.expire(now_ms);
        let running = self.running.entry(endpoint.clone()).or_default();
        *running.entry(fingerprint.clone()).or_default() += 1;
    }

    /// Notes that a content no longer runs at an endpoint, and returns what to
    /// tell the other members if this clears it.
    pub fn on_end(
        &mut self,
        endpoint: &Name,
        fingerprint: &Arc<str>,
        end: RunEnd,
    ) -> Option<Clearance> {
        if let Some(running) = self.running.get_mut(endpoint)
            && let Some(count) = running.get_mut(fingerprint)
        {
            *count -= 1;
            if *count == 0 {
                running.remove(fingerprint);
            }
            if running.is_empty() {
                self.running.remove(endpoint);
            }
        }
        if end != RunEnd::Complete || !self.blame.contains_key(fingerprint) {
            return None;
        }
        let crashes = self.crashes.iter();
        let held = crashes.filter(|crash| crash.fingerprints.contains(fingerprint));
        let clearance = Clearance {
            fingerprint: fingerprint.clone(),
            crashes: held.map(|crash| crash.id.clone()).collect(),
        };
        self.on_clearance(clearance.clone());
        Some(clearance)
    }

    /// Takes a clearance: the content is no longer blamed for these crashes.
    pub fn on_clearance(&mut self, clearance: Clearance) {
        let cleared = self.cleared.entry(clearance.fingerprint).or_default();
        cleared.extend(clearance.crashes);
        self.assign_blame();
    }

    /// Notes that this daemon saw an endpoint crash under a run that it
    /// started at `started_ms`, and returns what to tell the other members.
    ///
    /// `incarnation` is the last that the endpoint reported. A run that was
    /// started after an earlier crash met a later incarnation, though the
    /// endpoint has not reported it.
    pub fn on_crash(
        &mut self,
        now_ms: u64,
        endpoint: &Name,
        incarnation: u64,
        started_ms: u64,
    ) -> CrashReport {
        let incarnation = match self.seen.get(endpoint) {
            Some(seen) if started_ms >= seen.at_ms + SAME_CRASH_MS => {
                incarnation.max(seen.incarnation + 1)
            }
            Some(seen) => seen.incarnation,
            None => incarnation,
        };
        let is_new = self
            .seen
            .get(endpoint)
            .is_none_or(|seen| seen.incarnation != incarnation);
        if is_new {
            let seen = Seen {
                incarnation,
                at_ms: now_ms,
            };
            self.seen.insert(endpoint.clone(), seen);
        }
        let fingerprints = self.running.get(endpoint).into_iter().flatten();
        let report = CrashReport {
            endpoint: endpoint.clone(),
            incarnation,
            fingerprints: fingerprints
                .map(|(fingerprint, _)| fingerprint.clone())
                .collect(),
        };
        self.on_report(now_ms, report.clone());
        report
    }

    /// Takes a report of a crash. Reports of the same crash by several members
    /// are parts of one.
    pub fn on_report(&mut self, now_ms: u64, report: CrashReport) {
        self.expire(now_ms);
        let id = CrashId {
            endpoint: report.endpoint,
            incarnation: report.incarnation,
        };
        let known = self.crashes.iter_mut().find(|crash| crash.id == id);
        if let Some(crash) = known {
            crash.fingerprints.extend(report.fingerprints);
        } else {
            self.crashes.push(Crash {
                id,
                at_ms: now_ms,
                fingerprints: report.fingerprints.into_iter().collect(),
            });
            let excess = self.crashes.len().saturating_sub(MAX_REMEMBERED);
            self.crashes.drain(..excess);
        }
        self.assign_blame();
    }

    fn expire(&mut self, now_ms: u64) {
        let before = self.crashes.len();
        self.crashes
            .retain(|crash| now_ms < crash.at_ms + BLAME_DURATION_MS);
        if self.crashes.len() < before {
            let crashes = &self.crashes;
            let is_known = |id: &CrashId| crashes.iter().any(|crash| crash.id == *id);
            self.cleared.retain(|_, cleared| {
                cleared.retain(is_known);
                !cleared.is_empty()
            });
            self.assign_blame();
        }
    }

    /// Goes through all crashes in the order in which they became known.
    fn assign_blame(&mut self) {
        self.blame.clear();
        for crash in &self.crashes {
            let is_cleared = |fingerprint: &&Arc<str>| {
                let cleared = self.cleared.get(*fingerprint);
                cleared.is_some_and(|cleared| cleared.contains(&crash.id))
            };
            let ran = crash.fingerprints.iter();
            let ran: Vec<&Arc<str>> = ran.filter(|ran| !is_cleared(ran)).collect();
            let has_suspect = guard::is_on(Guard::BlameIntersection)
                && ran.iter().any(|ran| self.blame.contains_key(*ran));
            let is_blamed = |ran: &&Arc<str>| !has_suspect || self.blame.contains_key(*ran);
            let blamed: Vec<&Arc<str>> = ran.into_iter().filter(is_blamed).collect();
            for fingerprint in &blamed {
                let blame = self.blame.entry((*fingerprint).clone()).or_default();
                blame.crashes += 1;
                blame.last_at_ms = crash.at_ms;
                blame.is_alone |= blamed.len() == 1;
            }
        }
    }

    fn runs_somewhere(&self, fingerprint: &Arc<str>) -> bool {
        let mut running = self.running.values();
        running.any(|running| running.contains_key(fingerprint))
    }

    fn endpoints_of_suspects(&self) -> BTreeSet<Name> {
        let has_suspect = |running: &BTreeMap<Arc<str>, u32>| {
            running.keys().any(|ran| self.blame.contains_key(ran))
        };
        let running = self.running.iter();
        running
            .filter(|(_, running)| has_suspect(running))
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }
}
