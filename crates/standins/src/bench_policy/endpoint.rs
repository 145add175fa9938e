//! A fake endpoint in virtual time, with slots, a priority queue, a prefix
//! cache and a speed that drops as the slots fill.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
};

use chicoryreach::{core::Name, wire::engine::Load};

use super::workload::ServiceLoad;

const PREFILL_MS: f64 = 250.0;
const CACHED_PREFILL_MS: f64 = 25.0;
const MAX_CACHED_PREFIXES: usize = 24;

/// The work of one attempt at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    pub(super) attempt: u64,
    pub(super) priority: u8,
    /// Tokens to generate at a model endpoint; 1 for a plain call.
    pub(super) units: u32,
    /// A key for the prefix that the prompts of one group share.
    pub(super) prefix: Option<u64>,
}

/// A job that occupies a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    job: Job,
    /// Units done until `updated_ms`; negative during the prefill.
    done_units: f64,
    updated_ms: f64,
    /// The duration of a unit, without the endpoint's `slow_factor`.
    unit_ms: f64,
    /// Equals the epoch of the valid `RunFinish` of this run. A change of speed
    /// sets a new epoch, so that earlier finish times are ignored.
    epoch: u64,
}

/// The finish time of a run that started or changed its speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunFinish {
    pub(super) attempt: u64,
    pub(super) at_ms: u64,
    pub(super) epoch: u64,
}

#[derive(Clone, Debug)]
pub(super) struct FakeEndpoint {
    pub(super) name: Name,
    pub(super) service: usize,
    pub(super) data_centre: usize,
    pub(super) is_up: bool,
    pub(super) is_reachable: bool,
    pub(super) slow_factor: f64,
    pub(super) failure_percent: u32,
    pub(super) loading_until_ms: u64,
    /// The loaded weights version for each trainer.
    pub(super) versions: Vec<u64>,
    pub(super) published_load: Load,
    pub(super) published_versions: Vec<u64>,
    service_load: ServiceLoad,
    queue: BTreeMap<(Reverse<u8>, u64), Job>,
    running: BTreeMap<u64, Running>,
    cached_prefixes: VecDeque<u64>,
    last_epoch: u64,
}

impl FakeEndpoint {
    pub(super) fn new(
        name: Name,
        service: usize,
        data_centre: usize,
        service_load: ServiceLoad,
        trainers: usize,
    ) -> Self {
        Self {
            name,
            service,
            data_centre,
            is_up: true,
            is_reachable: true,
            slow_factor: 1.0,
            failure_percent: 0,
            loading_until_ms: 0,
            versions: vec![1; trainers],
            published_load: Load::default(),
            published_versions: vec![1; trainers],
            service_load,
            queue: BTreeMap::new(),
            running: BTreeMap::new(),
            cached_prefixes: VecDeque::new(),
            last_epoch: 0,
        }
    }

    pub(super) fn publish(&mut self) {
        self.published_load = Load {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            slots: self.service_load.slots,
            ..Load::default()
        };
        self.published_versions.clone_from(&self.versions);
    }

    pub(super) fn enqueue(&mut self, job: Job) {
        self.queue.insert((Reverse(job.priority), job.attempt), job);
    }

    /// Starts queued jobs in free slots and appends their finish times.
    pub(super) fn start_queued(&mut self, now_ms: u64, finishes: &mut Vec<RunFinish>) {
        while self.running.len() < self.service_load.slots as usize
            && now_ms >= self.loading_until_ms
        {
            let Some((_, job)) = self.queue.pop_first() else {
                return;
            };
            #[expect(clippy::cast_precision_loss, reason = "small numbers")]
            let (occupancy, now) = (
                (self.running.len() + 1) as f64 / f64::from(self.service_load.slots),
                now_ms as f64,
            );
            let unit_ms = if self.service_load.is_model {
                self.service_load.unit_ms * 0.3f64.mul_add(occupancy, 0.7)
            } else {
                self.service_load.unit_ms
            };
            let prefill_ms = self.prefill_ms(job.prefix);
            self.last_epoch += 1;
            let running = Running {
                job,
                done_units: -prefill_ms / unit_ms,
                updated_ms: now,
                unit_ms,
                epoch: self.last_epoch,
            };
            self.running.insert(job.attempt, running);
            finishes.push(self.finish_time(&running));
        }
    }

    /// Returns the prefill duration and makes the prefix the last that the
    /// cache evicts.
    fn prefill_ms(&mut self, prefix: Option<u64>) -> f64 {
        if !self.service_load.is_model {
            return 0.0;
        }
        let Some(prefix) = prefix else {
            return PREFILL_MS;
        };
        let is_cached = self.cached_prefixes.contains(&prefix);
        self.cached_prefixes.retain(|cached| *cached != prefix);
        self.cached_prefixes.push_back(prefix);
        if self.cached_prefixes.len() > MAX_CACHED_PREFIXES {
            self.cached_prefixes.pop_front();
        }
        if is_cached {
            CACHED_PREFILL_MS
        } else {
            PREFILL_MS
        }
    }

    fn finish_time(&self, running: &Running) -> RunFinish {
        let remaining_units = f64::from(running.job.units) - running.done_units;
        let at_ms = running.updated_ms + remaining_units * running.unit_ms * self.slow_factor;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a time within the run"
        )]
        let at_ms = at_ms.ceil().max(0.0) as u64;
        RunFinish {
            attempt: running.job.attempt,
            at_ms,
            epoch: running.epoch,
        }
    }

    /// Applies `update`. If it changes the speed, appends new finish times for
    /// all running jobs.
    pub(super) fn update<F>(&mut self, now_ms: u64, update: F, finishes: &mut Vec<RunFinish>)
    where
        F: FnOnce(&mut Self),
    {
        let old_factor = self.slow_factor;
        update(self);
        #[expect(clippy::float_cmp, reason = "factors are set, not computed")]
        if old_factor == self.slow_factor {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "times are small")]
        let now = now_ms as f64;
        let mut running = std::mem::take(&mut self.running);
        for run in running.values_mut() {
            run.done_units += (now - run.updated_ms) / (run.unit_ms * old_factor);
            run.updated_ms = now;
            self.last_epoch += 1;
            run.epoch = self.last_epoch;
            finishes.push(self.finish_time(run));
        }
        self.running = running;
    }

    /// Removes and returns a run that finishes in this epoch.
    ///
    /// Returns `None` if the run has ended or its finish time has changed.
    pub(super) fn finish(&mut self, attempt: u64, epoch: u64) -> Option<Running> {
        let running = self.running.get(&attempt)?;
        (running.epoch == epoch).then_some(())?;
        self.running.remove(&attempt)
    }

    /// Returns the units that a run has done, or 0 if the attempt does not run.
    pub(super) fn done_units(&self, now_ms: u64, attempt: u64) -> u32 {
        let Some(running) = self.running.get(&attempt) else {
            return 0;
        };
        #[expect(clippy::cast_precision_loss, reason = "times are small")]
        let elapsed = now_ms as f64 - running.updated_ms;
        let done = running.done_units + elapsed / (running.unit_ms * self.slow_factor);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to the units of the job"
        )]
        let done = done.clamp(0.0, f64::from(running.job.units)) as u32;
        done
    }

    pub(super) fn cancel(&mut self, attempt: u64) {
        self.running.remove(&attempt);
        self.queue.retain(|_, job| job.attempt != attempt);
    }

    /// Aborts all running and queued jobs. Returns the attempts with the units
    /// that each has done.
    pub(super) fn abort_all(&mut self, now_ms: u64) -> Vec<(u64, u32)> {
        let running = self.running.keys().copied();
        let queued = self.queue.values().map(|job| job.attempt);
        let aborted = running.chain(queued);
        let aborted = aborted.map(|attempt| (attempt, self.done_units(now_ms, attempt)));
        let aborted = aborted.collect();
        self.running.clear();
        self.queue.clear();
        aborted
    }
}
