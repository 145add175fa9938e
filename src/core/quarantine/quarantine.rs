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

/// The number of crashes that quarantines a content if it is the only one blamed
/// for at least one of them.
pub const MAX_CRASHES: u32 = 3;
/// The number of crashes that quarantines a content in any case.
pub const MAX_SHARED_CRASHES: u32 = 5;
/// How long to wait for the other members' reports of what else ran at an
/// endpoint that crashed.
pub const CRASH_REPORT_WAIT_MS: u64 = 500;
/// How long a content is blamed for a crash.
pub const BLAME_DURATION_MS: u64 = 3_600_000;
/// A run that started within this time after a crash is assumed to have been sent
/// to the incarnation that crashed.
const SAME_CRASH_WINDOW_MS: u64 = 100;
/// The maximum number of crashes that are kept.
const MAX_KEPT_CRASHES: usize = 256;

/// Whether and how a content may run now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The content may run without restrictions.
    Unrestricted,
    /// The content may run as a trial, on an endpoint that is not in `avoid`.
    Trial {
        /// The endpoints on which suspects run.
        avoid: BTreeSet<Name>,
    },
    /// The content must wait until reports of its last crash have arrived or its
    /// running trial has ended.
    Wait,
    /// The content must not run.
    Quarantined,
}

/// How a run at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The run ended with a complete response, which shows that its content does
    /// not crash endpoints.
    Complete,
    /// The run ended in any other way.
    Incomplete,
}

/// Detects request contents that crash endpoints, and quarantines them.
///
/// A content is identified by its fingerprint. Each crash is blamed on all
/// contents that ran at the endpoint or, if some of them were already suspects,
/// on these only. A suspect runs as a trial: one at a time on this daemon, on an
/// endpoint where no other suspect of this daemon runs. A trial that completes
/// clears the suspect. [`MAX_CRASHES`] quarantine a suspect that is the only one
/// blamed for at least one of them. If suspects of several daemons ran at the
/// same endpoint in every crash, further trials distinguish them, up to
/// [`MAX_SHARED_CRASHES`].
///
/// A single content crashes at most
/// `in_flight + (MAX_SHARED_CRASHES - 1) + (daemons - 1)` endpoints within
/// [`BLAME_DURATION_MS`], regardless of the daemons to which its callers send
/// it. `in_flight` is the number of endpoints on which it ran when its first
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
/// assert_eq!(quarantine.permit(2_500, &"content".into()), Permit::Quarantined);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: Vec<Crash>,
    /// The crashes for which each suspect is blamed.
    blame: BTreeMap<Arc<str>, Blame>,
    /// The crashes of which each content has been cleared.
    cleared: BTreeMap<Arc<str>, BTreeSet<CrashId>>,
    /// The number of runs of each content at each endpoint.
    running: BTreeMap<Name, BTreeMap<Arc<str>, u32>>,
    /// The last crash of each endpoint that this daemon observed itself.
    observed: BTreeMap<Name, ObservedCrash>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Blame {
    crashes: u32,
    /// The time at which the last of these crashes became known.
    last_at_ms: u64,
    /// Whether no other content is blamed for at least one of them.
    is_sole_suspect: bool,
}

#[derive(Clone, Debug)]
struct Crash {
    id: CrashId,
    at_ms: u64,
    fingerprints: BTreeSet<Arc<str>>,
}

#[derive(Clone, Copy, Debug)]
struct ObservedCrash {
    incarnation: u64,
    at_ms: u64,
}

impl Quarantine {
    /// Returns whether and how a content may run now.
    #[must_use]
    pub fn permit(&self, now_ms: u64, fingerprint: &Arc<str>) -> Permit {
        if !guard::is_on(Guard::Quarantine) {
            return Permit::Unrestricted;
        }
        let blame = self.blame.get(fingerprint).copied().unwrap_or_default();
        if blame.crashes == 0 || now_ms >= blame.last_at_ms + BLAME_DURATION_MS {
            return Permit::Unrestricted;
        }
        let has_waited_for_reports = now_ms >= blame.last_at_ms + CRASH_REPORT_WAIT_MS;
        match blame.crashes {
            MAX_SHARED_CRASHES.. => Permit::Quarantined,
            MAX_CRASHES.. if !has_waited_for_reports => Permit::Wait,
            MAX_CRASHES.. if blame.is_sole_suspect => Permit::Quarantined,
            _ if self.is_running(fingerprint) => Permit::Wait,
            _ => Permit::Trial {
                avoid: self.endpoints_of_suspects(),
            },
        }
    }

    /// Records that a run of a content starts at an endpoint.
    pub fn on_start(&mut self, endpoint: &Name, fingerprint: &Arc<str>, now_ms: u64) {
        self.expire(now_ms);
        let running = self.running.entry(endpoint.clone()).or_default();
        *running.entry(fingerprint.clone()).or_default() += 1;
    }

    /// Records that a run of a content ended at an endpoint.
    ///
    /// If this clears the content, returns the clearance to send to the other
    /// members.
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
        let involved = crashes.filter(|crash| crash.fingerprints.contains(fingerprint));
        let clearance = Clearance {
            fingerprint: fingerprint.clone(),
            crashes: involved.map(|crash| crash.id.clone()).collect(),
        };
        self.on_clearance(clearance.clone());
        Some(clearance)
    }

    /// Applies a clearance: its content is no longer blamed for its crashes.
    pub fn on_clearance(&mut self, clearance: Clearance) {
        let cleared = self.cleared.entry(clearance.fingerprint).or_default();
        cleared.extend(clearance.crashes);
        self.assign_blame();
    }

    /// Records that an endpoint crashed during a run that this daemon started at
    /// `started_ms`, and returns the report to send to the other members.
    ///
    /// `incarnation` is the last one that the endpoint reported. A run that
    /// started after an earlier crash ran on a later incarnation, even if the
    /// endpoint has not reported it yet.
    pub fn on_crash(
        &mut self,
        now_ms: u64,
        endpoint: &Name,
        incarnation: u64,
        started_ms: u64,
    ) -> CrashReport {
        let incarnation = match self.observed.get(endpoint) {
            Some(observed) if started_ms >= observed.at_ms + SAME_CRASH_WINDOW_MS => {
                incarnation.max(observed.incarnation + 1)
            }
            Some(observed) => observed.incarnation,
            None => incarnation,
        };
        let is_new = self
            .observed
            .get(endpoint)
            .is_none_or(|observed| observed.incarnation != incarnation);
        if is_new {
            let observed = ObservedCrash {
                incarnation,
                at_ms: now_ms,
            };
            self.observed.insert(endpoint.clone(), observed);
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

    /// Records a report of a crash.
    ///
    /// Reports of the same crash by several members are merged.
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
            let excess = self.crashes.len().saturating_sub(MAX_KEPT_CRASHES);
            self.crashes.drain(..excess);
        }
        self.assign_blame();
    }

    /// Removes the crashes that are older than [`BLAME_DURATION_MS`].
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

    /// Recomputes the blame from all crashes, in the order in which they became
    /// known.
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
                blame.is_sole_suspect |= blamed.len() == 1;
            }
        }
    }

    fn is_running(&self, fingerprint: &Arc<str>) -> bool {
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
