use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{
    LATE_RETRY_DELAY_MS, LateRetryPolicy, Permit, RunEnd,
    late_retries::LateRetries,
    unanswered::{UnansweredRun, UnansweredRuns},
};
use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    wire::peers::{Clearance, CrashId},
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
/// The longest time after a crash for which a content that was handed in for later is
/// held, in milliseconds.
pub const MAX_OWED_DELAY_MS: u64 = 4_000;
/// For how long the completion of a run counts in favour of its content, in
/// milliseconds.
const COMPLETION_KEEP_MS: u64 = 10_000;

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
    pub(super) crashes: Vec<Crash>,
    /// The crashes for which each suspect is blamed.
    pub(super) blame: BTreeMap<Arc<str>, Blame>,
    /// The crashes of which each content has been cleared.
    pub(super) cleared: BTreeMap<Arc<str>, BTreeSet<CrashId>>,
    /// The number of runs of each content at each endpoint.
    pub(super) running: BTreeMap<Name, BTreeMap<Arc<str>, u32>>,
    /// The last crash of each endpoint that this daemon observed itself.
    pub(super) observed: BTreeMap<Name, ObservedCrash>,
    late_retry_policy: LateRetryPolicy,
    pub(super) late_retries: LateRetries,
    pub(super) unanswered: UnansweredRuns,
    /// The endpoints that were gone, without having announced it, while runs were in
    /// progress there, with their incarnations.
    pub(super) gone: BTreeMap<Name, u64>,
    /// When a run of each content last completed on this daemon.
    completed_ms: BTreeMap<Arc<str>, u64>,
    completions_pruned_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Blame {
    pub(super) crashes: u32,
    /// The time at which the last of these crashes became known.
    pub(super) last_at_ms: u64,
    /// Whether no other content is blamed for at least one of them.
    is_sole_suspect: bool,
}

/// A crash of an endpoint, and what ran there.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) id: CrashId,
    pub(super) at_ms: u64,
    pub(super) fingerprints: BTreeSet<Arc<str>>,
}

/// A crash that this daemon noticed itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedCrash {
    pub(super) incarnation: u64,
    pub(super) at_ms: u64,
}

impl Quarantine {
    /// Creates a quarantine without crashes.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::quarantine::{
    ///     LATE_RETRY_DELAY_MS, LateRetryPolicy, Permit, Quarantine,
    /// };
    ///
    /// let mut quarantine = Quarantine::new(LateRetryPolicy::Claimed);
    /// let content = "content".into();
    /// for now_ms in [1_000, 2_000, 3_000] {
    ///     quarantine.on_start(&"sampler-1".into(), &content, now_ms);
    ///     quarantine.on_crash(now_ms, &"sampler-1".into(), 1, now_ms);
    /// }
    /// let until_ms = 3_000 + LATE_RETRY_DELAY_MS;
    /// assert_eq!(quarantine.permit(3_100, &content), Permit::Held { until_ms });
    /// let permit = quarantine.permit(until_ms, &content);
    /// assert!(matches!(permit, Permit::Claim { number: 1, .. }));
    /// ```
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
        match self.late_retry_policy {
            LateRetryPolicy::WhileShared => self.permit_while_shared(now_ms, fingerprint, blame),
            LateRetryPolicy::Claimed => self.permit_with_claims(now_ms, fingerprint, blame),
        }
    }

    /// Returns whether and how a content may run now that was handed in for later.
    ///
    /// Such a content is owed, whatever crashed under it: after [`MAX_CRASHES`] it runs as
    /// a trial, the later the more crashes there were, up to [`MAX_OWED_DELAY_MS`].
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::quarantine::{
    ///     LateRetryPolicy, MAX_OWED_DELAY_MS, Permit, Quarantine, RunEnd,
    /// };
    ///
    /// let mut quarantine = Quarantine::new(LateRetryPolicy::Claimed);
    /// let (sampler, content) = ("sampler-1".into(), "content".into());
    /// for now_ms in [1_000, 2_000, 3_000, 4_000, 5_000, 6_000] {
    ///     quarantine.on_start(&sampler, &content, now_ms);
    ///     quarantine.on_crash(now_ms, &sampler, now_ms, now_ms);
    ///     quarantine.on_end(now_ms, &sampler, &content, RunEnd::Incomplete);
    /// }
    /// let until_ms = 6_000 + MAX_OWED_DELAY_MS;
    /// assert_eq!(quarantine.permit_owed(7_000, &content), Permit::Held { until_ms });
    /// let permit = quarantine.permit_owed(until_ms, &content);
    /// assert!(matches!(permit, Permit::Trial { .. }));
    /// ```
    #[must_use]
    pub fn permit_owed(&self, now_ms: u64, fingerprint: &Arc<str>) -> Permit {
        let permit = self.permit(now_ms, fingerprint);
        if !matches!(permit, Permit::Held { .. } | Permit::Claim { .. }) {
            return permit;
        }
        let blame = self.blame.get(fingerprint).copied().unwrap_or_default();
        let more_crashes = u64::from(blame.crashes.saturating_sub(MAX_CRASHES));
        let delay_ms = LATE_RETRY_DELAY_MS * (1 + more_crashes);
        let until_ms = blame.last_at_ms + delay_ms.min(MAX_OWED_DELAY_MS);
        if now_ms < until_ms {
            Permit::Held { until_ms }
        } else {
            self.permit_trial(fingerprint)
        }
    }

    fn permit_while_shared(&self, now_ms: u64, fingerprint: &Arc<str>, blame: Blame) -> Permit {
        let has_waited_for_reports = now_ms >= blame.last_at_ms + CRASH_REPORT_WAIT_MS;
        match blame.crashes {
            MAX_SHARED_CRASHES.. => Permit::Quarantined,
            MAX_CRASHES.. if !has_waited_for_reports => Permit::Wait,
            MAX_CRASHES.. if blame.is_sole_suspect => Permit::Quarantined,
            _ => self.permit_trial(fingerprint),
        }
    }

    fn permit_with_claims(&self, now_ms: u64, fingerprint: &Arc<str>, blame: Blame) -> Permit {
        let recently_ms = now_ms.saturating_sub(COMPLETION_KEEP_MS);
        if blame.crashes < MAX_CRASHES || self.has_completed_since(fingerprint, recently_ms) {
            self.permit_trial(fingerprint)
        } else {
            self.permit_late_retry(now_ms, fingerprint, blame)
        }
    }

    fn permit_trial(&self, fingerprint: &Arc<str>) -> Permit {
        if self.is_running(fingerprint) {
            return Permit::Wait;
        }
        Permit::Trial {
            avoid: self.endpoints_of_suspects(),
        }
    }

    fn permit_late_retry(&self, now_ms: u64, fingerprint: &Arc<str>, blame: Blame) -> Permit {
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
        self.free(fingerprint)
    }

    /// Applies a clearance: its content is no longer blamed for its crashes.
    pub fn on_clearance(&mut self, clearance: Clearance) {
        self.add_clearance(clearance);
        self.assign_blame();
    }

    pub(super) fn add_clearance(&mut self, clearance: Clearance) {
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

    pub(super) fn has_completed_since(&self, fingerprint: &Arc<str>, since_ms: u64) -> bool {
        let completed_ms = self.completed_ms.get(fingerprint);
        completed_ms.is_some_and(|completed_ms| *completed_ms >= since_ms.max(1))
    }

    /// Recomputes the blame from all crashes, in the order in which they became
    /// known.
    pub(super) fn assign_blame(&mut self) {
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
