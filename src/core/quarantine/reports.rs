//! Reports of crashes, by this daemon and by others.

use std::{collections::BTreeSet, sync::Arc};

use super::{
    BLAME_DURATION_MS, MAX_CRASHES, Quarantine, QuarantineRow,
    quarantine::{Crash, ObservedCrash},
    unanswered::UnansweredRun,
};
use crate::{
    core::Name,
    wire::peers::{CrashId, CrashReport},
};

/// A run that started within this time after a crash is assumed to have been sent
/// to the incarnation that crashed.
const SAME_CRASH_WINDOW_MS: u64 = 100;
/// The maximum number of crashes that are kept.
const MAX_KEPT_CRASHES: usize = 512;

impl Quarantine {
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
            if self.observed.len() > MAX_KEPT_CRASHES {
                self.forget_oldest_observed();
            }
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
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::quarantine::{Quarantine, RunEnd};
    ///
    /// let mut quarantine = Quarantine::default();
    /// let (sampler, content) = ("sampler-1".into(), "content".into());
    /// quarantine.on_start(&sampler, &content, 1_000);
    /// let end = RunEnd::Unanswered { incarnation: 7, started_ms: 1_000 };
    /// quarantine.on_end(3_000, &sampler, &content, end);
    /// let report = quarantine.on_endpoint_gone(4_000, &sampler, 7);
    /// assert_eq!(report.expect("it crashed").fingerprints, [content]);
    /// ```
    pub fn on_endpoint_gone(
        &mut self,
        now_ms: u64,
        endpoint: &Name,
        incarnation: u64,
    ) -> Option<CrashReport> {
        if self.running.contains_key(endpoint) {
            self.gone.insert(endpoint.clone(), incarnation);
        }
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

    /// Records that an endpoint is gone without any answer to the runs in progress
    /// there, and returns the report to send to the other members if there are any.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::quarantine::Quarantine;
    ///
    /// let mut quarantine = Quarantine::default();
    /// let (sampler, content) = ("sampler-1".into(), "content".into());
    /// quarantine.on_start(&sampler, &content, 1_000);
    /// let report = quarantine.on_endpoint_silent(2_500, &sampler, 7);
    /// assert_eq!(report.expect("it crashed").fingerprints, [content]);
    /// ```
    pub fn on_endpoint_silent(
        &mut self,
        now_ms: u64,
        endpoint: &Name,
        incarnation: u64,
    ) -> Option<CrashReport> {
        let running = self.running.get(endpoint).into_iter().flatten();
        let running: Vec<Arc<str>> = running.map(|(content, _)| content.clone()).collect();
        for fingerprint in running {
            self.unanswered.push(UnansweredRun {
                endpoint: endpoint.clone(),
                incarnation,
                fingerprint,
                ended_ms: now_ms,
            });
        }
        self.on_endpoint_gone(now_ms, endpoint, incarnation)
    }

    /// Returns the report of a crash if the endpoint of a run that has just ended was
    /// gone before, and the run brought no answer.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::quarantine::{Quarantine, RunEnd};
    ///
    /// let mut quarantine = Quarantine::default();
    /// let (sampler, content) = ("sampler-1".into(), "content".into());
    /// quarantine.on_start(&sampler, &content, 1_000);
    /// assert_eq!(quarantine.on_endpoint_gone(4_600, &sampler, 7), None);
    /// let end = RunEnd::Unanswered { incarnation: 7, started_ms: 1_000 };
    /// quarantine.on_end(6_000, &sampler, &content, end);
    /// let report = quarantine.take_late_report(6_000, &sampler, 7);
    /// assert_eq!(report.expect("it crashed").fingerprints, [content]);
    /// ```
    pub fn take_late_report(
        &mut self,
        now_ms: u64,
        endpoint: &Name,
        incarnation: u64,
    ) -> Option<CrashReport> {
        if self.gone.get(endpoint) != Some(&incarnation) {
            return None;
        }
        let report = self.on_endpoint_gone(now_ms, endpoint, incarnation);
        let running = &self.running;
        self.gone
            .retain(|endpoint, _| running.contains_key(endpoint));
        report
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
    pub(super) fn expire(&mut self, now_ms: u64) {
        let is_old = |crash: &Crash| now_ms >= crash.at_ms + BLAME_DURATION_MS;
        // Crashes are sorted by time.
        let old = self.crashes.partition_point(is_old);
        if old > 0 {
            self.crashes.drain(..old);
            self.forget_unknown_crashes();
            self.assign_blame();
        }
    }

    fn forget_oldest_observed(&mut self) {
        let observed = self.observed.iter();
        let oldest = observed.min_by_key(|(_, observed)| observed.at_ms);
        if let Some(endpoint) = oldest.map(|(endpoint, _)| endpoint.clone()) {
            self.observed.remove(&endpoint);
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
}
