use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{
    LateRetryPolicy, QuarantineRow,
    late_retries::LateRetries,
    unanswered::{UnansweredRun, UnansweredRuns},
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
pub const BLAME_DURATION_MS: u64 = 24 * 3_600_000;
/// A run that started within this time after a crash is assumed to have been sent
/// to the incarnation that crashed.
const SAME_CRASH_WINDOW_MS: u64 = 100;
/// The maximum number of crashes that are kept.
const MAX_KEPT_CRASHES: usize = 512;
/// For how long the completion of a run counts in favour of its content, in
/// milliseconds.
const COMPLETION_KEEP_MS: u64 = 10_000;

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
    /// The content may run once more on an endpoint that is not in `avoid`, if this
    /// VM claims the late retry with this number.
    Claim {
        /// The endpoints on which suspects run.
        avoid: BTreeSet<Name>,
        /// The number of the late retry, from 1.
        number: u32,
    },
    /// The content must not run before this time.
    Held {
        /// When another late retry may be claimed, or when the content is no longer
        /// blamed.
        until_ms: u64,
    },
}

/// How a run at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The run ended with a complete response, which shows that its content does
    /// not crash endpoints.
    Complete,
    /// The run ended in any other way.
    Incomplete,
    /// The run ended without an answer, and its endpoint may have crashed.
    Unanswered {
        /// The endpoint's incarnation to which it was sent.
        incarnation: u64,
        /// When it started.
        started_ms: u64,
    },
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
/// With [`LateRetryPolicy::Claimed`], a content that has crashed [`MAX_CRASHES`]
/// endpoints is held instead, and all VMs together run it at most
/// [`MAX_LATE_RETRIES`](super::MAX_LATE_RETRIES) more times until it completes.
/// A content that has completed on this VM within the last ten seconds is not
/// held.
///
/// Otherwise, a single content crashes at most
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
    late_retry_policy: LateRetryPolicy,
    late_retries: LateRetries,
    unanswered: UnansweredRuns,
    /// When a run of each content last completed on this daemon.
    completed_ms: BTreeMap<Arc<str>, u64>,
    completions_pruned_ms: u64,
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
    /// Creates a quarantine without crashes.
    #[must_use]
    pub fn new(late_retry_policy: LateRetryPolicy) -> Self {
        Self {
            late_retry_policy,
            ..Self::default()
        }
    }

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
        if blame.crashes >= MAX_CRASHES
            && self.late_retry_policy == LateRetryPolicy::Claimed
            && !self.has_completed_since(fingerprint, now_ms.saturating_sub(COMPLETION_KEEP_MS))
        {
            return self.late_permit(now_ms, fingerprint, blame);
        }
        let has_waited_for_reports = now_ms >= blame.last_at_ms + CRASH_REPORT_WAIT_MS;
        let has_claims = self.late_retry_policy == LateRetryPolicy::Claimed;
        match blame.crashes {
            _ if has_claims && self.is_running(fingerprint) => Permit::Wait,
            _ if has_claims => Permit::Trial {
                avoid: self.endpoints_of_suspects(),
            },
            MAX_SHARED_CRASHES.. => Permit::Quarantined,
            MAX_CRASHES.. if !has_waited_for_reports => Permit::Wait,
            MAX_CRASHES.. if blame.is_sole_suspect => Permit::Quarantined,
            _ if self.is_running(fingerprint) => Permit::Wait,
            _ => Permit::Trial {
                avoid: self.endpoints_of_suspects(),
            },
        }
    }

    /// Returns whether a content that has crashed [`MAX_CRASHES`] endpoints may run
    /// again.
    fn late_permit(&self, now_ms: u64, fingerprint: &Arc<str>, blame: Blame) -> Permit {
        match self.late_retries.next(fingerprint, blame.last_at_ms) {
            Some(next) if now_ms >= next.ready_at_ms => Permit::Claim {
                avoid: self.endpoints_of_suspects(),
                number: next.number,
            },
            Some(next) => Permit::Held {
                until_ms: next.ready_at_ms,
            },
            None => Permit::Held {
                until_ms: blame.last_at_ms + BLAME_DURATION_MS,
            },
        }
    }

    /// Records that a VM has claimed a late retry of a content.
    pub fn on_claim(&mut self, at_ms: u64, fingerprint: &Arc<str>, number: u32) {
        self.late_retries.on_claim(at_ms, fingerprint, number);
    }

    /// Returns the number of crashes for which a content is blamed.
    #[must_use]
    pub fn crash_count(&self, fingerprint: &Arc<str>) -> u32 {
        let blame = self.blame.get(fingerprint);
        blame.map_or(0, |blame| blame.crashes)
    }

    /// Returns the number of contents that have crashed [`MAX_CRASHES`] endpoints.
    #[must_use]
    pub fn quarantined_count(&self) -> usize {
        let blame = self.blame.values();
        blame.filter(|blame| blame.crashes >= MAX_CRASHES).count()
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
        now_ms: u64,
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
        match end {
            RunEnd::Complete => self.record_completion(now_ms, fingerprint),
            RunEnd::Incomplete => return None,
            RunEnd::Unanswered {
                incarnation,
                started_ms,
            } => {
                if !self.has_completed_since(fingerprint, started_ms) {
                    self.unanswered.push(UnansweredRun {
                        endpoint: endpoint.clone(),
                        incarnation,
                        fingerprint: fingerprint.clone(),
                        ended_ms: now_ms,
                    });
                }
                return None;
            }
        }
        if !self.blame.contains_key(fingerprint) {
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
        self.add_clearance(clearance);
        self.assign_blame();
    }

    fn add_clearance(&mut self, clearance: Clearance) {
        self.late_retries.forget(&clearance.fingerprint);
        let cleared = self.cleared.entry(clearance.fingerprint).or_default();
        cleared.extend(clearance.crashes);
    }

    fn record_completion(&mut self, now_ms: u64, fingerprint: &Arc<str>) {
        self.unanswered.forget(fingerprint);
        self.completed_ms.insert(fingerprint.clone(), now_ms);
        if now_ms >= self.completions_pruned_ms + COMPLETION_KEEP_MS {
            self.completions_pruned_ms = now_ms;
            self.completed_ms
                .retain(|_, completed_ms| *completed_ms + COMPLETION_KEEP_MS > now_ms);
        }
    }

    fn has_completed_since(&self, fingerprint: &Arc<str>, since_ms: u64) -> bool {
        let completed_ms = self.completed_ms.get(fingerprint);
        completed_ms.is_some_and(|completed_ms| *completed_ms >= since_ms.max(1))
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
        let unanswered = self.unanswered.take(now_ms, endpoint, incarnation);
        let running = self.running.get(endpoint).into_iter().flatten();
        let report = CrashReport {
            endpoint: endpoint.clone(),
            incarnation,
            fingerprints: running
                .map(|(fingerprint, _)| fingerprint.clone())
                .chain(unanswered)
                .collect(),
        };
        self.on_report(now_ms, report.clone());
        self.known_report(report)
    }

    /// Records that an endpoint is gone without having announced it, or that it has
    /// started anew, and returns the report to send to the other members if runs
    /// of this daemon ended there without an answer.
    pub fn on_endpoint_gone(
        &mut self,
        now_ms: u64,
        endpoint: &Name,
        incarnation: u64,
    ) -> Option<CrashReport> {
        let fingerprints = self.unanswered.take(now_ms, endpoint, incarnation);
        if fingerprints.is_empty() {
            return None;
        }
        let report = CrashReport {
            endpoint: endpoint.clone(),
            incarnation,
            fingerprints,
        };
        self.on_report(now_ms, report.clone());
        Some(self.known_report(report))
    }

    /// Returns a report with all that is known of the same crash.
    fn known_report(&self, report: CrashReport) -> CrashReport {
        let known = self.crashes.iter().find(|crash| {
            crash.id.endpoint == report.endpoint && crash.id.incarnation == report.incarnation
        });
        match known {
            Some(crash) => CrashReport {
                fingerprints: crash.fingerprints.iter().cloned().collect(),
                ..report
            },
            None => report,
        }
    }

    /// Returns what the other members have to know at once about a crash: the
    /// crashes of its contents that are blamed for more than one.
    #[must_use]
    pub fn reports_of_repeats(&self, report: &CrashReport) -> Vec<CrashReport> {
        let is_repeat = |fingerprint: &&Arc<str>| self.crash_count(fingerprint) > 1;
        let repeats: BTreeSet<&Arc<str>> = report.fingerprints.iter().filter(is_repeat).collect();
        let ran = |crash: &Crash| -> Vec<Arc<str>> {
            let fingerprints = crash.fingerprints.iter();
            fingerprints
                .filter(|fingerprint| repeats.contains(fingerprint))
                .cloned()
                .collect()
        };
        let reports = self.crashes.iter().map(|crash| CrashReport {
            endpoint: crash.id.endpoint.clone(),
            incarnation: crash.id.incarnation,
            fingerprints: ran(crash),
        });
        reports
            .filter(|report| !report.fingerprints.is_empty())
            .collect()
    }

    /// Applies rows of other VMs, each with the time of what it tells by the local
    /// clock.
    pub fn on_rows<I>(&mut self, now_ms: u64, rows: I)
    where
        I: IntoIterator<Item = (QuarantineRow, u64)>,
    {
        self.expire(now_ms);
        // A claim after a clearance must not be forgotten with the earlier claims.
        let mut rows: Vec<(QuarantineRow, u64)> = rows.into_iter().collect();
        rows.sort_by_key(|(_, at_ms)| *at_ms);
        for (row, at_ms) in rows {
            match row {
                QuarantineRow::Crash { report, .. } => self.add_report(at_ms, report),
                QuarantineRow::Claim {
                    fingerprint,
                    number,
                    ..
                } => self.on_claim(at_ms, &fingerprint, number),
                QuarantineRow::Cleared { clearance, .. } => self.add_clearance(clearance),
            }
        }
        self.assign_blame();
    }

    /// Records a report of a crash.
    ///
    /// Reports of the same crash by several members are merged.
    pub fn on_report(&mut self, now_ms: u64, report: CrashReport) {
        self.expire(now_ms);
        self.add_report(now_ms, report);
        self.assign_blame();
    }

    fn add_report(&mut self, at_ms: u64, report: CrashReport) {
        let id = CrashId {
            endpoint: report.endpoint,
            incarnation: report.incarnation,
        };
        for fingerprint in &report.fingerprints {
            if self.has_completed_since(fingerprint, at_ms + 1) {
                let cleared = self.cleared.entry(fingerprint.clone()).or_default();
                cleared.insert(id.clone());
            }
        }
        let known = self.crashes.iter_mut().find(|crash| crash.id == id);
        if let Some(crash) = known {
            crash.fingerprints.extend(report.fingerprints);
            return;
        }
        let position = self.crashes.partition_point(|crash| crash.at_ms <= at_ms);
        let crash = Crash {
            id,
            at_ms,
            fingerprints: report.fingerprints.into_iter().collect(),
        };
        self.crashes.insert(position, crash);
        if self.crashes.len() > MAX_KEPT_CRASHES {
            self.drop_oldest_crash();
        }
    }

    /// Removes the oldest crash for which no quarantined content is blamed, or the
    /// oldest one.
    fn drop_oldest_crash(&mut self) {
        let is_quarantined = |ran: &Arc<str>| self.crash_count(ran) >= MAX_CRASHES;
        let mut crashes = self.crashes.iter();
        let oldest = crashes.position(|crash| !crash.fingerprints.iter().any(is_quarantined));
        self.crashes.remove(oldest.unwrap_or(0));
        self.forget_unknown_crashes();
    }

    /// Removes the crashes that are older than [`BLAME_DURATION_MS`].
    fn expire(&mut self, now_ms: u64) {
        let is_old = |crash: &Crash| now_ms >= crash.at_ms + BLAME_DURATION_MS;
        // Crashes are sorted by time.
        let old = self.crashes.partition_point(is_old);
        if old > 0 {
            self.crashes.drain(..old);
            self.forget_unknown_crashes();
            self.assign_blame();
        }
    }

    fn forget_unknown_crashes(&mut self) {
        let crashes = &self.crashes;
        let is_known = |id: &CrashId| crashes.iter().any(|crash| crash.id == *id);
        self.cleared.retain(|_, cleared| {
            cleared.retain(is_known);
            !cleared.is_empty()
        });
        let has_run = |content: &Arc<str>| {
            let mut crashes = crashes.iter();
            crashes.any(|crash| crash.fingerprints.contains(content))
        };
        self.late_retries.retain(has_run);
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

    /// Returns the endpoints on which contents run that are blamed for crashes.
    #[must_use]
    pub fn endpoints_of_suspects(&self) -> BTreeSet<Name> {
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
