//! A trainer, which makes one call at a time and checks every sample it fetches.

use std::collections::{BTreeMap, BTreeSet};

use chicoryreach::{
    error::ErrorKind,
    wire::trainers::{Acknowledge, Fetch, Fetched, OpenStep, Sample, Slot},
};

use super::{Event, TrainerCall, TrainerPlan, TrainerReply, World, engine::token};

const CALL_TIMEOUT_MS: u64 = 3_000;
const RETRY_DELAY_MS: u64 = 200;
const EMPTY_FETCH_DELAY_MS: u64 = 50;
const TRAINING_MS: u64 = 500;

/// The trainer's progress; a restart continues from the last checkpointed one.
#[derive(Clone, Debug)]
struct Progress {
    step: u64,
    cursor: u64,
    received: BTreeSet<Slot>,
}

#[derive(Debug)]
pub struct Trainer {
    plan: TrainerPlan,
    members: usize,
    progress: Progress,
    checkpoint: Progress,
    weights_version: u64,
    is_step_open: bool,
    has_new_weights: bool,
    /// The number of non-empty fetches since the last acknowledgement.
    fetches: u32,
    /// The index of the member that gets the next call.
    target_member: usize,
    /// The number of the latest call; replies to earlier ones are ignored.
    last_call: u64,
    pending_call: Option<TrainerCall>,
    /// The longest list of samples fetched for each cursor and weights version.
    fetched: BTreeMap<(u64, u64), Vec<Sample>>,
    sent_opens: Vec<OpenStep>,
    pub violations: Vec<String>,
}

impl Trainer {
    pub fn new(plan: TrainerPlan, members: usize) -> Self {
        let progress = Progress {
            step: 1,
            cursor: 0,
            received: BTreeSet::new(),
        };
        Self {
            plan,
            members,
            progress: progress.clone(),
            checkpoint: progress,
            weights_version: 1,
            is_step_open: false,
            has_new_weights: false,
            fetches: 0,
            target_member: 0,
            last_call: 0,
            pending_call: None,
            fetched: BTreeMap::new(),
            sent_opens: Vec::new(),
            violations: Vec::new(),
        }
    }

    pub fn is_done(&self) -> bool {
        self.progress.step > self.plan.steps
    }

    /// Returns the violations, or what the current step lacks if the trainer is
    /// not done.
    pub fn find_violations(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        if !self.is_done() && violations.is_empty() {
            let (step, received) = (self.progress.step, self.count_received());
            violations.push(format!(
                "step {step} has {received} of {} samples",
                self.samples_per_step()
            ));
        }
        violations
    }

    fn samples_per_step(&self) -> usize {
        (self.plan.groups * self.plan.samples_per_group) as usize
    }

    fn count_received(&self) -> usize {
        let of_step = |slot: &&Slot| slot.step == self.progress.step;
        self.progress.received.iter().filter(of_step).count()
    }

    fn next_call(&mut self) -> TrainerCall {
        if !self.is_step_open {
            let prompts = (0..self.plan.groups).map(|_| "prompt".into());
            let open = OpenStep {
                step: self.progress.step,
                weights_version: self.weights_version,
                prompts: prompts.collect(),
                samples_per_group: self.plan.samples_per_group,
                max_tokens: 4,
                staleness_bound: self.plan.staleness_bound,
            };
            self.sent_opens.push(open.clone());
            return TrainerCall::Open(open);
        }
        if self.fetches >= self.plan.fetches_per_ack {
            self.checkpoint = self.progress.clone();
            return TrainerCall::Acknowledge(Acknowledge {
                cursor: self.progress.cursor,
                weights_version: self.weights_version,
            });
        }
        TrainerCall::Fetch(Fetch {
            cursor: self.progress.cursor,
            weights_version: self.weights_version,
            limit: self.plan.fetch_limit,
        })
    }

    /// Checks the fetched samples and advances the cursor.
    fn accept_fetched(&mut self, cursor: u64, fetched: &Fetched) {
        self.check_repeated_fetch(cursor, &fetched.samples);
        for sample in &fetched.samples {
            self.check_sample(sample);
        }
        if !fetched.samples.is_empty() {
            self.fetches += 1;
        }
        self.progress.cursor = fetched.next_cursor;
    }

    /// Checks that a repeated fetch returns the same samples in the same order.
    fn check_repeated_fetch(&mut self, cursor: u64, samples: &[Sample]) {
        let before = self
            .fetched
            .entry((cursor, self.weights_version))
            .or_default();
        let common = before.len().min(samples.len());
        if before[..common] != samples[..common] {
            self.violations.push(format!(
                "cursor {cursor} returned other samples than before"
            ));
        }
        if samples.len() > before.len() {
            *before = samples.to_vec();
        }
    }

    fn check_sample(&mut self, sample: &Sample) {
        let slot = sample.slot;
        if !self.progress.received.insert(slot) {
            self.violations
                .push(format!("the sample of {slot:?} was delivered twice"));
        }
        let versions = sample.weights.iter().map(|span| span.weights_version);
        let behind = self
            .weights_version
            .saturating_sub(versions.min().unwrap_or_default());
        if behind > self.plan.staleness_bound {
            self.violations.push(format!(
                "the sample of {slot:?} is {behind} versions behind"
            ));
        }
        let tokens = sample.weights.iter().flat_map(|span| {
            (span.from_token..span.to_token)
                .map(move |index| token(slot, index, span.weights_version))
        });
        if tokens.collect::<Vec<_>>() != sample.tokens {
            self.violations.push(format!(
                "the sample of {slot:?} is not what its weights versions produce"
            ));
        }
    }
}

impl World {
    pub(super) fn tick_trainer(&mut self, number: u64) {
        if number != self.trainer.last_call || self.trainer.is_done() {
            return;
        }
        self.trainer.last_call += 1;
        let call = self.trainer.next_call();
        self.trainer.pending_call = Some(call.clone());
        let (number, target) = (self.trainer.last_call, self.trainer.target_member);
        let network = self.body.network;
        self.sim
            .send(network, &Event::CallArrived(target, number, call));
        let at_ms = self.sim.now_ms + CALL_TIMEOUT_MS;
        self.sim.schedule_at(at_ms, Event::CallTimedOut(number));
    }

    pub(super) fn on_call_timeout(&mut self, number: u64) {
        if number == self.trainer.last_call && self.trainer.pending_call.is_some() {
            self.retry_at_next_member();
        }
    }

    fn retry_at_next_member(&mut self) {
        self.trainer.pending_call = None;
        self.trainer.target_member = (self.trainer.target_member + 1) % self.trainer.members;
        self.schedule_trainer(RETRY_DELAY_MS);
    }

    fn schedule_trainer(&mut self, after_ms: u64) {
        let event = Event::TrainerTick(self.trainer.last_call);
        self.sim.schedule_at(self.sim.now_ms + after_ms, event);
    }

    pub(super) fn on_reply(&mut self, number: u64, reply: TrainerReply) {
        if number != self.trainer.last_call {
            return;
        }
        let Some(call) = self.trainer.pending_call.take() else {
            return;
        };
        match (call, reply) {
            (_, TrainerReply::Refused(refusal)) => {
                let is_final = [ErrorKind::BadRequest, ErrorKind::IdReused];
                if is_final.contains(&refusal.kind()) {
                    self.trainer.violations.push(refusal.to_string());
                }
                self.retry_at_next_member();
            }
            (TrainerCall::Open(_), _) => {
                self.trainer.is_step_open = true;
                self.end_step_if_complete(0);
            }
            (TrainerCall::Acknowledge(_), _) => {
                self.trainer.fetches = 0;
                self.schedule_trainer(0);
            }
            (TrainerCall::Fetch(fetch), TrainerReply::Fetched(fetched)) => {
                self.on_fetched(fetch, &fetched);
            }
            (TrainerCall::Fetch(_), TrainerReply::Done) => {}
        }
    }

    fn on_fetched(&mut self, fetch: Fetch, fetched: &Fetched) {
        let is_empty = fetched.samples.is_empty();
        self.trainer.accept_fetched(fetch.cursor, fetched);
        let after = self.trainer.plan.new_weights_after;
        if after > 0
            && !self.trainer.has_new_weights
            && self.trainer.count_received() as u64 >= after
        {
            self.trainer.has_new_weights = true;
            self.publish_weights();
        }
        self.end_step_if_complete(if is_empty { EMPTY_FETCH_DELAY_MS } else { 0 });
    }

    /// Ends the step if all its samples have arrived, or else schedules the next
    /// call after `next_call_ms`.
    ///
    /// After a restart a step may be complete as soon as it is opened again.
    fn end_step_if_complete(&mut self, next_call_ms: u64) {
        if self.trainer.count_received() < self.trainer.samples_per_step() {
            self.schedule_trainer(next_call_ms);
            return;
        }
        self.trainer.progress.step += 1;
        self.trainer.is_step_open = false;
        self.trainer.has_new_weights = false;
        self.publish_weights();
        self.schedule_trainer(TRAINING_MS);
    }

    fn publish_weights(&mut self) {
        self.trainer.weights_version += 1;
        self.engines
            .publish(self.sim.now_ms, self.trainer.weights_version);
    }

    /// Restarts the trainer from its checkpoint, with a new weights version.
    pub(super) fn restart_trainer(&mut self) {
        self.trainer.progress = self.trainer.checkpoint.clone();
        self.trainer.is_step_open = false;
        self.trainer.fetches = 0;
        self.trainer.pending_call = None;
        self.trainer.last_call += 1;
        self.publish_weights();
        self.schedule_trainer(TRAINING_MS);
    }

    pub(super) fn resend_opens(&mut self) {
        for open in self.trainer.sent_opens.clone() {
            for member in 0..self.members.len() {
                let event = Event::CallArrived(member, 0, TrainerCall::Open(open.clone()));
                self.sim.schedule_at(self.sim.now_ms, event);
            }
        }
    }
}
