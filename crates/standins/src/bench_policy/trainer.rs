//! Simulated trainers with the sample ledgers of the core.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bytes::Bytes;
use chicoryreach::{
    core::{
        admission::{Priority, sample_room},
        rendezvous,
        retry::RetryReason,
        routing,
        run_ahead::{last_startable_step, min_weights_version},
        sample::{Ledger, SampleOutcome, StoredLedger, UncommittedSample},
        straggler::{SampleProgress, is_straggler},
    },
    wire::{
        callers::VersionSpan,
        trainers::{Acknowledge, Fetch, OpenStep, Sample, Slot},
    },
};

use super::{
    fault::Fault,
    policy::{Policy, RunAhead, StragglerHandling},
    work::{MAX_ATTEMPTS, WorkItem, WorkKind},
    workload::{OPEN_STEPS, STALENESS_BOUND, Workload},
    world::{Event, World},
};

/// The interval at which a trainer commits, fetches and starts samples.
const TRAINER_INTERVAL_MS: u64 = 200;
/// The delay before a slot without a usable sample is open again.
const REOPEN_DELAY_MS: u64 = 500;
/// The limit without sample room; equals the default of `max_generating`.
const FIXED_MAX_GENERATING: u32 = 256;
const SAMPLE_TIMEOUT_MS: u64 = 60_000;

/// A trainer, and the daemon that holds its ledger.
pub(super) struct TrainerSim {
    pub(super) daemon: usize,
    ledger: Ledger,
    /// The payloads in the fake object store.
    objects: BTreeMap<Arc<str>, Bytes>,
    row_version: u64,
    /// The next step to train.
    step: u64,
    weights_version: u64,
    is_training: bool,
    waiting_since_ms: u64,
    step_started_ms: u64,
    cursor: u64,
    /// The oldest weights version of each fetched sample, by step and slot.
    fetched_versions: BTreeMap<u64, BTreeMap<Slot, u64>>,
    /// The work items of the samples in generation.
    generating_ids: BTreeSet<u64>,
    duplicated_slots: BTreeSet<Slot>,
    sample_durations_ms: Vec<u64>,
}

impl TrainerSim {
    pub(super) fn new(index: usize, workload: &Workload) -> Self {
        let mut trainer = Self {
            // Keeps trainers out of data centre 0, which `DataCentreGone` cuts off.
            daemon: (1 + index * workload.data_centres) % workload.daemons,
            ledger: Ledger::try_new(
                format!("trainer-{index}").into(),
                1,
                StoredLedger::default(),
            )
            .expect("no other holder has written"),
            objects: BTreeMap::new(),
            row_version: 0,
            step: 1,
            weights_version: 1,
            is_training: false,
            waiting_since_ms: 0,
            step_started_ms: 0,
            cursor: 0,
            fetched_versions: BTreeMap::new(),
            generating_ids: BTreeSet::new(),
            duplicated_slots: BTreeSet::new(),
            sample_durations_ms: Vec::new(),
        };
        // The first commit claims the ledger, before any step is opened.
        trainer.commit_ledger(true);
        (1..=OPEN_STEPS).for_each(|step| trainer.open_step(step, workload));
        trainer
    }

    fn open_step(&mut self, step: u64, workload: &Workload) {
        let prompts = (0..workload.groups).map(|group| Arc::from(format!("{step}/{group}")));
        let open = OpenStep {
            step,
            weights_version: self.weights_version,
            prompts: prompts.collect(),
            samples_per_group: workload.samples_per_group,
            max_tokens: workload.max_tokens,
            staleness_bound: STALENESS_BOUND,
        };
        self.ledger.open_step(open).expect("the step is new");
    }

    pub(super) fn reopen_slot(&mut self, slot: Slot) {
        self.ledger.on_generation_failed(slot);
    }

    fn commit_ledger(&mut self, is_store_up: bool) {
        while let Some(plan) = self.ledger.begin_commit() {
            if !is_store_up {
                self.ledger.on_not_committed(plan);
                return;
            }
            self.row_version += 1;
            if let Some(payload) = &plan.payload {
                self.objects
                    .insert(payload.object.clone(), payload.bytes.clone());
            }
            for object in self.ledger.take_unreferenced_objects() {
                self.objects.remove(&object);
            }
            self.ledger.on_committed(plan, self.row_version);
        }
    }

    /// Returns whether the next step to train has slots without a started sample.
    fn has_open_slots(&self) -> bool {
        self.ledger.has_open_slots_until(self.step)
    }

    /// Returns the last step for which samples may be started now.
    fn last_startable_step(&self, policy: &Policy) -> u64 {
        match policy.ahead {
            RunAhead::Steps(ahead) => self.step + ahead,
            RunAhead::Core(extra_steps) => {
                last_startable_step(self.step, self.is_training, extra_steps)
            }
        }
    }
}

impl World<'_> {
    pub(super) fn run_trainer(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let is_store_up = self.fault != Fault::StoreDown || !self.is_fault_on();
        let trainer = &mut self.trainers[index];
        trainer.commit_ledger(is_store_up);
        if !trainer.is_training {
            self.fetch_samples(index, is_store_up);
        }
        self.start_samples(index);
        // Stragglers are handled once per second.
        if now_ms / 1_000 != (now_ms - TRAINER_INTERVAL_MS.min(now_ms)) / 1_000 {
            self.handle_stragglers(index);
        }
        self.schedule_after(TRAINER_INTERVAL_MS, Event::RunTrainer(index));
    }

    /// Fetches samples. If the next step to train is then complete, acknowledges
    /// its samples and starts the training.
    fn fetch_samples(&mut self, index: usize, is_store_up: bool) {
        const FETCH_LIMIT: u32 = 4_096;
        let (now_ms, workload) = (self.now_ms, self.workload);
        let trainer = &mut self.trainers[index];
        loop {
            let fetch = Fetch {
                cursor: trainer.cursor,
                weights_version: trainer.weights_version,
                limit: FETCH_LIMIT,
            };
            let fetched = trainer.ledger.fetch(fetch).expect("the cursor is valid");
            let is_missing = fetched.missing.is_some();
            if let Some(missing) = fetched.missing {
                let content = trainer.objects.get(&missing.object);
                trainer.ledger.on_object(&missing, content);
            }
            for sample in fetched.samples {
                let sample: Sample = serde_json::from_slice(&sample).expect("a sample is JSON");
                let oldest = sample.weights.iter().map(|span| span.weights_version).min();
                let step_versions = trainer
                    .fetched_versions
                    .entry(sample.slot.step)
                    .or_default();
                let previous = step_versions.insert(sample.slot, oldest.unwrap_or_default());
                self.measures.doubled += u64::from(previous.is_some());
            }
            if fetched.next_cursor == trainer.cursor && !is_missing {
                break;
            }
            trainer.cursor = fetched.next_cursor;
        }
        let samples_per_step = (workload.groups * workload.samples_per_group) as usize;
        let is_step_complete = trainer
            .fetched_versions
            .get(&trainer.step)
            .is_some_and(|samples| samples.len() == samples_per_step);
        if !is_step_complete {
            return;
        }
        let samples = trainer
            .fetched_versions
            .remove(&trainer.step)
            .unwrap_or_default();
        for oldest in samples.values() {
            *self
                .measures
                .staleness
                .entry(trainer.weights_version - oldest)
                .or_default() += 1;
        }
        // The first step is not measured: no training ran during its generation.
        if trainer.step > 1 {
            self.measures.idle_ms += now_ms - trainer.waiting_since_ms;
            self.measures.observed_ms += now_ms - trainer.step_started_ms;
            self.measures.steps += 1;
            self.measures.total_step_ms += now_ms - trainer.step_started_ms;
        }
        trainer.step_started_ms = now_ms;
        let ack = Acknowledge {
            cursor: trainer.cursor,
            weights_version: trainer.weights_version,
        };
        trainer
            .ledger
            .acknowledge(ack)
            .expect("the cursor was reached");
        trainer.is_training = true;
        trainer.step += 1;
        let next = trainer.step + OPEN_STEPS - 1;
        trainer.open_step(next, workload);
        trainer.commit_ledger(is_store_up);
        self.schedule_after(workload.train_ms, Event::StepTrained(index));
    }

    pub(super) fn on_step_trained(&mut self, index: usize) {
        const WEIGHTS_PUBLISH_MS: u64 = 500;
        let trainer = &mut self.trainers[index];
        trainer.weights_version += 1;
        trainer.is_training = false;
        trainer.waiting_since_ms = self.now_ms;
        let version = trainer.weights_version;
        self.schedule_after(WEIGHTS_PUBLISH_MS, Event::SwapWeights(index, version, 0));
    }

    fn start_samples(&mut self, index: usize) {
        let (now_ms, policy) = (self.now_ms, self.policy);
        let service = self.workload.services[0].name;
        let trainers = u32::try_from(self.trainers.len()).unwrap_or(1);
        let trainer = &mut self.trainers[index];
        let generating_count = u32::try_from(trainer.generating_ids.len()).unwrap_or(u32::MAX);
        let is_waited_for = !trainer.is_training && trainer.has_open_slots();
        let min_version = if policy.awaits_weights {
            min_weights_version(trainer.weights_version, is_waited_for)
        } else {
            0
        };
        let room = if policy.has_sample_room {
            let table = &self.daemons[trainer.daemon].table;
            sample_room(
                routing::free_slots(table, now_ms, service, min_version),
                trainers,
            )
        } else {
            FIXED_MAX_GENERATING.saturating_sub(generating_count)
        };
        let last_step = if is_waited_for {
            trainer.step
        } else {
            trainer.last_startable_step(policy)
        };
        let slots = trainer
            .ledger
            .take_open_slots_until(last_step, room as usize);
        for slot in slots {
            self.start_sample(index, slot, min_version);
        }
    }

    fn start_sample(&mut self, index: usize, slot: Slot, min_version: u64) {
        let units = sample_tokens(self.workload, self.seed, index, slot);
        let work = WorkItem {
            kind: WorkKind::Sample {
                trainer: index,
                slot,
            },
            service: 0,
            daemon: self.trainers[index].daemon,
            units,
            done_units: 0,
            priority: Priority::Background,
            arrived_ms: self.now_ms,
            admitted_ms: None,
            deadline_ms: self.now_ms + SAMPLE_TIMEOUT_MS,
            avoid: BTreeSet::new(),
            attempt_count: 0,
            was_sent: false,
            has_run: false,
            oldest_version: u64::MAX,
            min_version,
            attempt_id: None,
            queue_number: None,
        };
        let id = self.add_work_item(work);
        let trainer = &mut self.trainers[index];
        trainer.generating_ids.insert(id);
        self.daemons[trainer.daemon].budgets[0].on_first_attempt();
        self.schedule_after(SAMPLE_TIMEOUT_MS, Event::DeadlineReached(id));
        self.dispatch_attempt(id);
    }

    pub(super) fn on_sample_failed(&mut self, index: usize, slot: Slot, id: u64) {
        self.trainers[index].generating_ids.remove(&id);
        self.schedule_after(REOPEN_DELAY_MS, Event::ReopenSlot(index, slot));
    }

    pub(super) fn on_sample(&mut self, index: usize, slot: Slot, id: u64) {
        let Some(work) = self.work_items.remove(&id) else {
            return;
        };
        let trainer = &mut self.trainers[index];
        trainer.generating_ids.remove(&id);
        trainer
            .sample_durations_ms
            .push(self.now_ms - work.arrived_ms);
        let sample = Sample {
            slot,
            prompt: "".into(),
            tokens: Vec::new(),
            weights: vec![VersionSpan {
                from_token: 0,
                to_token: work.units,
                weights_version: work.oldest_version,
            }],
            seed: 0,
        };
        let sample = UncommittedSample::try_new(&sample).expect("a sample can be encoded");
        let outcome = trainer.ledger.on_sample(sample);
        if outcome != SampleOutcome::Buffered {
            self.measures.wasted_tokens += u64::from(work.units);
        }
        if outcome == SampleOutcome::Stale {
            self.schedule_after(REOPEN_DELAY_MS, Event::ReopenSlot(index, slot));
        }
    }

    fn handle_stragglers(&mut self, index: usize) {
        if self.policy.straggler == StragglerHandling::Wait {
            return;
        }
        let service = self.workload.services[0].name;
        let trainer = &self.trainers[index];
        let table = &self.daemons[trainer.daemon].table;
        let has_room = routing::free_slots(table, self.now_ms, service, 0) > 0;
        let is_tail = !trainer.has_open_slots() && has_room;
        let ids: Vec<u64> = trainer.generating_ids.iter().copied().collect();
        match self.policy.straggler {
            StragglerHandling::Move => {
                let Some(median_unit_ms) = routing::median_unit_ms(table, service) else {
                    return;
                };
                for id in ids {
                    self.move_straggler(id, is_tail, median_unit_ms);
                }
            }
            _ => {
                for id in ids {
                    self.duplicate_straggler(index, id);
                }
            }
        }
    }

    fn move_straggler(&mut self, id: u64, is_tail: bool, median_unit_ms: f64) {
        let Some(attempt_id) = self.work_items[&id].attempt_id else {
            return;
        };
        let Some(attempt) = self.attempts.get(&attempt_id) else {
            return;
        };
        let endpoint = &self.endpoints[attempt.endpoint];
        let progress = SampleProgress {
            started_ms: attempt.sent_ms,
            tokens: endpoint.done_units(self.now_ms, attempt_id),
            is_tail,
        };
        if !is_straggler(self.now_ms, progress, median_unit_ms) {
            return;
        }
        // Moving a sample adds no load, so it spends nothing of the retry budget.
        if self.work_items[&id].attempt_count + 1 >= MAX_ATTEMPTS {
            return;
        }
        let wasted_tokens_before = self.measures.wasted_tokens;
        let Some(attempt) = self.cancel_attempt(attempt_id) else {
            return;
        };
        // The sample resumes from its existing tokens, so none are wasted.
        self.measures.wasted_tokens = wasted_tokens_before;
        let name = self.endpoints[attempt.endpoint].name.clone();
        let reason: &'static str = RetryReason::Straggler.into();
        *self.measures.retries.entry(reason).or_default() += 1;
        if let Some(work) = self.work_items.get_mut(&id) {
            work.attempt_id = None;
            work.done_units = (work.done_units + attempt.done_units).min(work.units - 1);
            work.avoid.insert(name);
        }
        self.dispatch_attempt(id);
    }

    fn duplicate_straggler(&mut self, index: usize, id: u64) {
        const MEDIAN_WINDOW_SAMPLES: usize = 256;
        let trainer = &mut self.trainers[index];
        let work = &self.work_items[&id];
        let WorkKind::Sample { slot, .. } = work.kind else {
            return;
        };
        let from = trainer
            .sample_durations_ms
            .len()
            .saturating_sub(MEDIAN_WINDOW_SAMPLES);
        let mut recent = trainer.sample_durations_ms[from..].to_vec();
        recent.sort_unstable();
        let Some(median_ms) = recent.get(recent.len() / 2) else {
            return;
        };
        let is_late = self.now_ms - work.arrived_ms > 2 * median_ms;
        if is_late && trainer.duplicated_slots.insert(slot) {
            self.start_sample(index, slot, 0);
        }
    }

    /// Records the time of the unfinished step at the end of the run.
    pub(super) fn record_unfinished_step(&mut self, index: usize) {
        let trainer = &self.trainers[index];
        let is_waiting = !trainer.is_training && trainer.step > 1;
        if is_waiting {
            self.measures.idle_ms += self.now_ms - trainer.waiting_since_ms;
        }
        if trainer.step > 1 {
            self.measures.observed_ms += self.now_ms - trainer.step_started_ms;
        }
    }
}

/// Returns the number of tokens of a slot's sample.
///
/// The distribution is log-normal. The number depends only on the workload, the
/// seed, the trainer and the slot, so it is the same for each policy.
fn sample_tokens(workload: &Workload, seed: u64, trainer: usize, slot: Slot) -> u32 {
    const SIGMA: f64 = 0.6;
    let key = format!(
        "{seed}/{trainer}/{}/{}/{}",
        slot.step, slot.group, slot.index
    );
    let uniform = |name: &str| {
        #[expect(clippy::cast_precision_loss, reason = "a draw")]
        let draw = (rendezvous::weight(name, &key) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        draw
    };
    let radius = (-2.0 * uniform("radius").ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * uniform("angle")).cos();
    let mean = workload.mean_tokens.ln() - SIGMA * SIGMA / 2.0;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let tokens = SIGMA
        .mul_add(normal, mean)
        .exp()
        .clamp(8.0, f64::from(workload.max_tokens)) as u32;
    tokens
}
