use std::{collections::BTreeMap, fs};

use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

/// The measurements of one step of one trainer.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The number of samples in the step.
    pub samples: u64,
    /// The number of tokens in a sample.
    pub tokens: u32,
    /// The number of samples received between two commits.
    pub samples_per_commit: u32,
    /// Whether the platform stand-in was used over loopback.
    pub is_loopback: bool,
    /// CPU time per sample for choosing the open slots to generate.
    pub wanted_ns: u64,
    /// CPU time per sample for adding it to the ledger.
    pub take_ns: u64,
    /// CPU time per sample for planning commits and applying their results.
    pub commit_ns: u64,
    /// CPU time per sample for fetching it, including serialization.
    pub fetch_ns: u64,
    /// Total CPU time per sample.
    pub cpu_ns: u64,
    /// Bytes of transactions written per sample.
    pub row_bytes: u64,
    /// Bytes of objects written per sample.
    pub object_bytes: u64,
    /// The number of transactions of the step.
    pub row_writes: u64,
    /// The number of objects written for the step.
    pub object_writes: u64,
    /// Memory with the whole step in the ledger, in bytes, without the store's
    /// objects.
    pub memory_bytes: u64,
    /// Time until a new holder has loaded the whole step and claimed the ledger.
    pub takeover_us: u64,
    /// Time until the whole step has been fetched again from the new holder.
    pub refetch_us: u64,
    /// CPU time of the commit that finishes the step.
    pub finish_us: u64,
    /// Time from the opening of the step until it was complete.
    pub wall_us: u64,
}

/// A kind of work for which CPU time is measured.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum WorkKind {
    /// Choosing the open slots to generate.
    ChooseSlots,
    /// Adding samples to the ledger.
    AddSample,
    /// Planning commits and applying their results.
    Commit,
    /// Fetching samples.
    Fetch,
}

/// Sums CPU time by kind of work.
#[derive(Debug, Default)]
pub(super) struct CpuMeter {
    spent_ns: BTreeMap<WorkKind, u64>,
}

impl CpuMeter {
    /// Calls `act` and adds the CPU time that this thread spent in it.
    pub(super) fn measure<F, T>(&mut self, kind: WorkKind, act: F) -> T
    where
        F: FnOnce() -> T,
    {
        let before_ns = thread_cpu_ns();
        let result = act();
        *self.spent_ns.entry(kind).or_default() += thread_cpu_ns() - before_ns;
        result
    }

    pub(super) fn spent_ns(&self, kind: WorkKind) -> u64 {
        self.spent_ns.get(&kind).copied().unwrap_or_default()
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

/// Returns the resident memory of this process, in bytes.
pub(super) fn rss_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1_024
}
