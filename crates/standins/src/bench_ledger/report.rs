use std::{collections::BTreeMap, fs};

use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

/// What one run measured, of one trainer's step.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Samples of the step.
    pub samples: u64,
    /// Tokens in a sample.
    pub tokens: u32,
    /// Samples that came in between two commits.
    pub samples_per_commit: u32,
    /// Whether the platform stand-in was used over loopback.
    pub is_loopback: bool,
    /// Processor time a sample for choosing what is wanted.
    pub wanted_ns: u64,
    /// Processor time a sample for taking it.
    pub take_ns: u64,
    /// Processor time a sample for planning and noting commits.
    pub commit_ns: u64,
    /// Processor time a sample for handing it over, to the answer's bytes.
    pub fetch_ns: u64,
    /// Processor time a sample in all.
    pub cpu_ns: u64,
    /// Bytes of rows written a sample.
    pub row_bytes: u64,
    /// Bytes of objects written a sample.
    pub object_bytes: u64,
    /// Transactions of the step.
    pub row_writes: u64,
    /// Objects of the step.
    pub object_writes: u64,
    /// Memory with the whole step in the log, without the store's objects.
    pub memory_bytes: u64,
    /// Time until a new holder has read the whole step and claimed the ledger.
    pub takeover_us: u64,
    /// Time until it has handed the whole step over once more.
    pub refetch_us: u64,
    /// Processor time of the commit that finishes the step.
    pub finish_us: u64,
    /// Time from the opening until the step was whole.
    pub wall_us: u64,
}

/// What processor time goes to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Work {
    /// Choosing what is wanted.
    Choose,
    /// Taking samples.
    Take,
    /// Planning and noting commits.
    Commit,
    /// Handing over.
    HandOver,
}

/// Adds up processor time, by what it went to.
#[derive(Debug, Default)]
pub(super) struct Meter {
    spent_ns: BTreeMap<Work, u64>,
}

impl Meter {
    pub(super) fn time<F, T>(&mut self, work: Work, act: F) -> T
    where
        F: FnOnce() -> T,
    {
        let before_ns = thread_cpu_ns();
        let result = act();
        *self.spent_ns.entry(work).or_default() += thread_cpu_ns() - before_ns;
        result
    }

    pub(super) fn spent_ns(&self, work: Work) -> u64 {
        self.spent_ns.get(&work).copied().unwrap_or_default()
    }

    pub(super) fn total_ns(&self) -> u64 {
        self.spent_ns.values().sum()
    }
}

fn thread_cpu_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    seconds * 1_000_000_000 + u64::try_from(time.tv_nsec).unwrap_or_default()
}

/// Returns the memory that the process has resident.
pub(super) fn rss_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1_024
}
