//! A simulation of VMs that count crashes of samplers together.

use std::collections::{BTreeMap, BTreeSet};

use chicoryreach::{
    core::{
        Name,
        pool::SILENCE_MS,
        quarantine::{LateRetryPolicy, MAX_CRASHES, Permit, Quarantine, QuarantineRow, RunEnd},
    },
    wire::peers::CrashReport,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The planned size.
pub const PLANNED: Size = Size {
    vms: 360,
    samplers: 2_600,
    requests_per_s: 1_300,
};
/// The size of today.
pub const TODAY: Size = Size {
    vms: 13,
    samplers: 11,
    requests_per_s: 50,
};
pub const TICK_MS: u64 = 10;
/// The users' bounds: this long after the third crash, at most
/// [`MAX_LATE_RETRIES`] more runs may be sent.
const CONTACT_MS: u64 = 3_000;
pub const MAX_LATE_RETRIES: usize = 3;
/// The users' bound on the control traffic of a daemon, in bytes a second.
pub const MAX_CONTROL_BYTES_PER_S: usize = 15_000;
pub const HEARTBEAT_MS: u64 = 1_000;
/// How long a notice from VM to VM takes, in milliseconds.
const NOTICE_DELAY_MS: u64 = 10;
const RESTART_MS: u64 = 2_000;
pub const RESEND_INTERVAL_MS: u64 = 100;
/// The longest time from the check of a silent sampler to its verdict, in
/// milliseconds: the interval of checks, the VM's own attempt to connect, and the
/// answers of other VMs.
const MAX_CHECK_MS: u64 = 100 + 250 + 400;
/// How long a caller waits for an answer, in milliseconds.
const CALLER_DEADLINE_MS: u64 = 2_000;
/// How long a caller waits that is still waiting when a silent sampler is no longer
/// listed, in milliseconds.
pub const PATIENT_CALLER_DEADLINE_MS: u64 = 8_000;
/// How long a silent sampler stays listed, and until it has started again, in
/// milliseconds.
const LISTED_WHILE_SILENT_MS: u64 = 3_600;
const SILENT_RESTART_MS: u64 = 5_000;
const POPULAR_CONTENTS: u64 = 20;
/// The bytes around a row in an answer of the store, and around a notice.
const ROW_FRAME_BYTES: usize = 90;
const NOTICE_FRAME_BYTES: usize = 160;

#[derive(Clone, Copy)]
pub struct Size {
    pub vms: usize,
    pub samplers: usize,
    /// The requests of harmless contents over all VMs.
    pub requests_per_s: u64,
}

struct Run {
    vm: usize,
    content: Name,
    sampler: usize,
    started_ms: u64,
    ends_at_ms: u64,
}

struct Vm {
    quarantine: Quarantine,
    rows_read: usize,
}

#[derive(Default)]
pub struct Culprit {
    pub crashes: Vec<u64>,
    pub runs: Vec<u64>,
}

pub struct World {
    pub size: Size,
    /// Whether samplers go silent at a crash instead of closing connections.
    pub is_silent: bool,
    /// Whether silent samplers accept no connection, so that checks find them.
    pub is_unreachable: bool,
    /// The samplers that checks find unreachable, and when, with their incarnation.
    checks: Vec<(u64, usize, u64)>,
    pub caller_deadline_ms: u64,
    /// The samplers that went silent, and when.
    silent: Vec<(u64, usize)>,
    now_ms: u64,
    rng: SmallRng,
    vms: Vec<Vm>,
    up_at_ms: Vec<u64>,
    incarnations: Vec<u64>,
    runs: Vec<Run>,
    /// The rows in the store, in the order in which they were written.
    pub rows: Vec<(QuarantineRow, u64)>,
    pub row_bytes: usize,
    claims: BTreeSet<(Name, u32)>,
    notices: Vec<(u64, Vec<CrashReport>)>,
    /// The bytes that each VM has received.
    pub received_bytes: usize,
    pub culprits: BTreeMap<Name, Culprit>,
    pub served: usize,
    /// When each harmless content was refused first and last.
    pub refused: BTreeMap<Name, (u64, u64)>,
    next_content: u64,
}

impl World {
    pub fn new(seed: u64, size: Size) -> Self {
        let vm = || Vm {
            quarantine: Quarantine::new(LateRetryPolicy::Claimed),
            rows_read: 0,
        };
        Self {
            size,
            is_silent: false,
            is_unreachable: false,
            checks: Vec::new(),
            caller_deadline_ms: CALLER_DEADLINE_MS,
            silent: Vec::new(),
            now_ms: 1_000_000,
            rng: SmallRng::seed_from_u64(seed),
            vms: (0..size.vms).map(|_| vm()).collect(),
            up_at_ms: vec![0; size.samplers],
            incarnations: vec![1; size.samplers],
            runs: Vec::new(),
            rows: Vec::new(),
            row_bytes: 0,
            claims: BTreeSet::new(),
            notices: Vec::new(),
            received_bytes: 0,
            culprits: BTreeMap::new(),
            served: 0,
            refused: BTreeMap::new(),
            next_content: 0,
        }
    }

    /// Advances by one tick, with the requests of harmless contents.
    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        let requests = self
            .rng
            .random_range(0..=2 * self.size.requests_per_s * TICK_MS / 1_000);
        for _ in 0..requests {
            let content = if self.rng.random_bool(0.2) {
                format!("popular-{}", self.rng.random_range(0..POPULAR_CONTENTS))
            } else {
                self.next_content += 1;
                format!("single-{}", self.next_content)
            };
            let duration_ms = self.rng.random_range(20..400);
            self.send(&content.into(), duration_ms);
        }
        self.deliver_notices();
        for vm in 0..self.size.vms {
            let phase_ms = HEARTBEAT_MS * vm as u64 / self.size.vms as u64 / TICK_MS * TICK_MS;
            if self.now_ms % HEARTBEAT_MS == phase_ms {
                self.read_rows(vm);
            }
        }
        self.find_unreachable_samplers();
        self.unlist_silent_samplers();
        self.end_due_runs();
    }

    /// Sends a content to a VM drawn at random.
    pub fn send(&mut self, content: &Name, duration_ms: u64) {
        let vm = self.rng.random_range(0..self.size.vms);
        let now_ms = self.now_ms;
        let avoid = match self.vms[vm].quarantine.permit(now_ms, content) {
            Permit::Unrestricted => BTreeSet::new(),
            Permit::Trial { avoid } => avoid,
            Permit::Claim { avoid, number } => {
                let is_claimed = self.claims.insert((content.clone(), number));
                self.vms[vm].quarantine.on_claim(now_ms, content, number);
                if !is_claimed {
                    return self.record_refusal(content);
                }
                let row = QuarantineRow::Claim {
                    fingerprint: content.clone(),
                    number,
                    at_platform_ms: now_ms,
                };
                self.write_row(row);
                avoid
            }
            Permit::Wait => return,
            Permit::Held { .. } | Permit::Quarantined => return self.record_refusal(content),
        };
        let sampler = self.rng.random_range(0..self.size.samplers);
        if self.up_at_ms[sampler] > now_ms || avoid.contains(&sampler_name(sampler)) {
            return;
        }
        let quarantine = &mut self.vms[vm].quarantine;
        quarantine.on_start(&sampler_name(sampler), content, now_ms);
        if let Some(culprit) = self.culprits.get_mut(content) {
            culprit.runs.push(now_ms);
        }
        self.runs.push(Run {
            vm,
            content: content.clone(),
            sampler,
            started_ms: now_ms,
            ends_at_ms: now_ms + duration_ms,
        });
    }

    fn record_refusal(&mut self, content: &Name) {
        if !self.culprits.contains_key(content) {
            let now_ms = self.now_ms;
            let refused = self.refused.entry(content.clone()).or_insert((now_ms, 0));
            refused.1 = now_ms;
        }
    }

    fn end_due_runs(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<Run> = self
            .runs
            .extract_if(.., |run| run.ends_at_ms <= now_ms)
            .collect();
        for run in due {
            if self.up_at_ms[run.sampler] > now_ms {
                // Its sampler is silent and its caller's deadline has passed.
                let end = RunEnd::Unanswered {
                    incarnation: self.incarnations[run.sampler],
                    started_ms: run.started_ms,
                };
                self.end(&run, end);
            } else if let Some(culprit) = self.culprits.get_mut(&run.content) {
                culprit.crashes.push(now_ms);
                self.runs.push(Run {
                    ends_at_ms: u64::MAX,
                    ..run
                });
                let sampler = self.runs[self.runs.len() - 1].sampler;
                if self.is_silent {
                    self.go_silent(sampler);
                } else {
                    self.crash(sampler);
                }
            } else {
                self.served += 1;
                self.end(&run, RunEnd::Complete);
            }
        }
    }

    fn end(&mut self, run: &Run, end: RunEnd) {
        let quarantine = &mut self.vms[run.vm].quarantine;
        let sampler = sampler_name(run.sampler);
        let cleared = quarantine.on_end(self.now_ms, &sampler, &run.content, end);
        let late_report = match end {
            RunEnd::Unanswered { incarnation, .. } => {
                quarantine.take_late_report(self.now_ms, &sampler, incarnation)
            }
            RunEnd::Complete | RunEnd::Incomplete => None,
        };
        if let Some(report) = late_report {
            self.publish(run.vm, report);
        }
        if let Some(clearance) = cleared.filter(|c| c.crashes.len() >= MAX_CRASHES as usize) {
            let row = QuarantineRow::Cleared {
                clearance,
                at_platform_ms: self.now_ms,
            };
            self.write_row(row);
        }
    }

    /// Lets a sampler answer nothing any more; its runs end at their deadlines.
    fn go_silent(&mut self, sampler: usize) {
        self.up_at_ms[sampler] = self.now_ms + SILENT_RESTART_MS;
        self.silent.push((self.now_ms, sampler));
        if self.is_unreachable {
            let due_ms = self.now_ms + SILENCE_MS + MAX_CHECK_MS;
            self.checks
                .push((due_ms, sampler, self.incarnations[sampler]));
        }
        for run in self.runs.iter_mut().filter(|run| run.sampler == sampler) {
            run.ends_at_ms = run.started_ms + self.caller_deadline_ms;
        }
    }

    /// Takes samplers off the list that have been silent for long.
    fn unlist_silent_samplers(&mut self) {
        let now_ms = self.now_ms;
        let is_due =
            |(since_ms, _): &mut (u64, usize)| *since_ms + LISTED_WHILE_SILENT_MS <= now_ms;
        let due: Vec<_> = self.silent.extract_if(.., is_due).collect();
        for (_, sampler) in due {
            self.report_silent(sampler);
            self.incarnations[sampler] += 1_000;
        }
    }

    fn find_unreachable_samplers(&mut self) {
        let now_ms = self.now_ms;
        let is_due = |(due_ms, ..): &mut (u64, usize, u64)| *due_ms <= now_ms;
        let due: Vec<_> = self.checks.extract_if(.., is_due).collect();
        for (_, sampler, incarnation) in due {
            if self.incarnations[sampler] == incarnation {
                self.report_silent(sampler);
            }
        }
    }

    /// Lets all VMs with runs at a sampler report that it is silent.
    fn report_silent(&mut self, sampler: usize) {
        let (name, incarnation) = (sampler_name(sampler), self.incarnations[sampler]);
        for vm in 0..self.size.vms {
            let quarantine = &mut self.vms[vm].quarantine;
            let report = quarantine.on_endpoint_silent(self.now_ms, &name, incarnation);
            if let Some(report) = report {
                self.publish(vm, report);
            }
        }
    }

    /// Shares a report as a VM does.
    fn publish(&mut self, vm: usize, report: CrashReport) {
        let repeats = self.vms[vm].quarantine.reports_of_repeats(&report);
        if !repeats.is_empty() {
            self.notices.push((self.now_ms + NOTICE_DELAY_MS, repeats));
        }
        let at_platform_ms = self.now_ms;
        self.write_row(QuarantineRow::Crash {
            report,
            at_platform_ms,
        });
    }

    /// Ends a sampler under all runs; each VM with a run there reports it.
    pub fn crash(&mut self, sampler: usize) {
        self.up_at_ms[sampler] = self.now_ms + RESTART_MS;
        let broken: Vec<Run> = self
            .runs
            .extract_if(.., |run| run.sampler == sampler)
            .collect();
        let vms: BTreeSet<usize> = broken.iter().map(|run| run.vm).collect();
        for vm in vms {
            let quarantine = &mut self.vms[vm].quarantine;
            let started_ms = broken.iter().filter(|run| run.vm == vm);
            let started_ms = started_ms.map(|run| run.started_ms).min().unwrap_or(0);
            let incarnation = self.incarnations[sampler];
            let name = sampler_name(sampler);
            let report = quarantine.on_crash(self.now_ms, &name, incarnation, started_ms);
            self.publish(vm, report);
        }
        for run in &broken {
            self.end(run, RunEnd::Incomplete);
        }
        self.incarnations[sampler] += 1_000;
    }

    fn write_row(&mut self, row: QuarantineRow) {
        let bytes = rmp_serde::to_vec_named(&row).expect("the row can be encoded");
        let key = row.key("front-dc-01-1");
        self.row_bytes += bytes.len().div_ceil(3) * 4 + key.len() + ROW_FRAME_BYTES;
        self.rows.push((row, self.now_ms));
    }

    fn read_rows(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        let new = self.rows[vm.rows_read..].to_vec();
        vm.rows_read = self.rows.len();
        if !new.is_empty() {
            vm.quarantine.on_rows(self.now_ms, new);
        }
    }

    fn deliver_notices(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .notices
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .collect();
        for (_, reports) in due {
            let bytes = rmp_serde::to_vec(&reports).expect("the notice can be encoded");
            self.received_bytes += bytes.len() + NOTICE_FRAME_BYTES;
            for vm in &mut self.vms {
                for report in &reports {
                    vm.quarantine.on_report(now_ms, report.clone());
                }
            }
        }
    }

    pub fn late_runs(&self) -> usize {
        let late = self.culprits.values().map(|culprit| {
            let third = culprit.crashes.get(2);
            let is_late = |at_ms: &&u64| third.is_some_and(|third| **at_ms > third + CONTACT_MS);
            culprit.runs.iter().filter(is_late).count()
        });
        late.max().unwrap_or(0)
    }

    /// Returns the longest time between the first and the last refusal of a harmless
    /// content, in milliseconds.
    pub fn longest_refusal_ms(&self) -> u64 {
        let spans = self.refused.values().map(|(first, last)| last - first);
        spans.max().unwrap_or(0)
    }
}

fn sampler_name(number: usize) -> Name {
    format!("i-{number:08x}").into()
}
