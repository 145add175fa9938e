//! A trainer: one call at a time, and a judgement of all that it is handed.

use std::collections::{BTreeMap, BTreeSet};

use chicoryreach::{
    error::ErrorKind,
    wire::trainers::{Acknowledge, Fetch, Fetched, OpenStep, Sample, Slot},
};

use super::{Ask, Event, Plan, Told, World, engine::token};

const TIMEOUT_MS: u64 = 3_000;
const RETRY_MS: u64 = 200;
const POLL_MS: u64 = 50;
const TRAIN_MS: u64 = 500;

/// What survives a restart of the trainer.
#[derive(Clone, Debug)]
struct Kept {
    step: u64,
    cursor: u64,
    seen: BTreeSet<Slot>,
}

#[derive(Debug)]
pub struct Trainer {
    plan: Plan,
    members: usize,
    now: Kept,
    checkpoint: Kept,
    version: u64,
    is_open: bool,
    has_new_weights: bool,
    fetches: u32,
    target: usize,
    number: u64,
    asked: Option<Ask>,
    handed: BTreeMap<(u64, u64), Vec<Sample>>,
    opens: Vec<OpenStep>,
    pub broken: Vec<String>,
}

impl Trainer {
    pub fn new(plan: Plan, members: usize) -> Self {
        let kept = Kept {
            step: 1,
            cursor: 0,
            seen: BTreeSet::new(),
        };
        Self {
            plan,
            members,
            now: kept.clone(),
            checkpoint: kept,
            version: 1,
            is_open: false,
            has_new_weights: false,
            fetches: 0,
            target: 0,
            number: 0,
            asked: None,
            handed: BTreeMap::new(),
            opens: Vec::new(),
            broken: Vec::new(),
        }
    }

    pub fn is_done(&self) -> bool {
        self.now.step > self.plan.steps
    }

    /// Returns every promise that was broken.
    pub fn verdict(&self) -> Vec<String> {
        let mut broken = self.broken.clone();
        if !self.is_done() && broken.is_empty() {
            let (step, have) = (self.now.step, self.have());
            broken.push(format!(
                "step {step} has {have} of {} samples",
                self.wanted()
            ));
        }
        broken
    }

    fn wanted(&self) -> usize {
        (self.plan.groups * self.plan.samples_per_group) as usize
    }

    fn have(&self) -> usize {
        let of_step = |slot: &&Slot| slot.step == self.now.step;
        self.now.seen.iter().filter(of_step).count()
    }

    fn next_ask(&mut self) -> Ask {
        if !self.is_open {
            let prompts = (0..self.plan.groups).map(|_| "prompt".into());
            let open = OpenStep {
                step: self.now.step,
                weights_version: self.version,
                prompts: prompts.collect(),
                samples_per_group: self.plan.samples_per_group,
                max_tokens: 4,
                staleness_bound: self.plan.staleness_bound,
            };
            self.opens.push(open.clone());
            return Ask::Open(open);
        }
        if self.fetches >= self.plan.fetches_per_ack {
            self.checkpoint = self.now.clone();
            return Ask::Acknowledge(Acknowledge {
                cursor: self.now.cursor,
                weights_version: self.version,
            });
        }
        Ask::Fetch(Fetch {
            cursor: self.now.cursor,
            weights_version: self.version,
            limit: self.plan.fetch_limit,
        })
    }

    /// Takes what was handed over.
    fn take(&mut self, cursor: u64, fetched: &Fetched) {
        self.check_same(cursor, &fetched.samples);
        for sample in &fetched.samples {
            self.check(sample);
        }
        if !fetched.samples.is_empty() {
            self.fetches += 1;
        }
        self.now.cursor = fetched.next_cursor;
    }

    fn check_same(&mut self, cursor: u64, samples: &[Sample]) {
        let before = self.handed.entry((cursor, self.version)).or_default();
        let common = before.len().min(samples.len());
        if before[..common] != samples[..common] {
            self.broken
                .push(format!("cursor {cursor} gave other samples than before"));
        }
        if samples.len() > before.len() {
            *before = samples.to_vec();
        }
    }

    fn check(&mut self, sample: &Sample) {
        let slot = sample.slot;
        if !self.now.seen.insert(slot) {
            self.broken.push(format!("{slot:?} was delivered twice"));
        }
        let versions = sample.weights.iter().map(|span| span.weights_version);
        let behind = self
            .version
            .saturating_sub(versions.min().unwrap_or_default());
        if behind > self.plan.staleness_bound {
            self.broken
                .push(format!("{slot:?} is {behind} versions behind"));
        }
        let tokens = sample.weights.iter().flat_map(|span| {
            (span.from_token..span.to_token)
                .map(move |index| token(slot, index, span.weights_version))
        });
        if tokens.collect::<Vec<_>>() != sample.tokens {
            self.broken
                .push(format!("{slot:?} is not what its versions produce"));
        }
    }
}

impl World {
    pub(super) fn trainer_turn(&mut self, number: u64) {
        if number != self.trainer.number || self.trainer.is_done() {
            return;
        }
        self.trainer.number += 1;
        let ask = self.trainer.next_ask();
        self.trainer.asked = Some(ask.clone());
        let (number, target) = (self.trainer.number, self.trainer.target);
        let network = self.body.network;
        self.sim
            .send(network, &Event::ToMember(target, number, ask));
        let at_ms = self.sim.now_ms + TIMEOUT_MS;
        self.sim.at(at_ms, Event::TrainerTimeout(number));
    }

    pub(super) fn trainer_timeout(&mut self, number: u64) {
        if number == self.trainer.number && self.trainer.asked.is_some() {
            self.try_elsewhere();
        }
    }

    fn try_elsewhere(&mut self) {
        self.trainer.asked = None;
        self.trainer.target = (self.trainer.target + 1) % self.trainer.members;
        self.trainer_later(RETRY_MS);
    }

    fn trainer_later(&mut self, after_ms: u64) {
        let event = Event::TrainerTurn(self.trainer.number);
        self.sim.at(self.sim.now_ms + after_ms, event);
    }

    pub(super) fn trainer_told(&mut self, number: u64, told: Told) {
        if number != self.trainer.number {
            return;
        }
        let Some(asked) = self.trainer.asked.take() else {
            return;
        };
        match (asked, told) {
            (_, Told::Refused(refusal)) => {
                let is_final = [ErrorKind::BadRequest, ErrorKind::IdReused];
                if is_final.contains(&refusal.kind()) {
                    self.trainer.broken.push(refusal.to_string());
                }
                self.try_elsewhere();
            }
            (Ask::Open(_), _) => {
                self.trainer.is_open = true;
                self.end_step_if_whole(0);
            }
            (Ask::Acknowledge(_), _) => {
                self.trainer.fetches = 0;
                self.trainer_later(0);
            }
            (Ask::Fetch(fetch), Told::Fetched(fetched)) => self.on_fetched(fetch, &fetched),
            (Ask::Fetch(_), Told::Done) => {}
        }
    }

    fn on_fetched(&mut self, fetch: Fetch, fetched: &Fetched) {
        let is_empty = fetched.samples.is_empty();
        self.trainer.take(fetch.cursor, fetched);
        let after = self.trainer.plan.new_weights_after;
        if after > 0 && !self.trainer.has_new_weights && self.trainer.have() as u64 >= after {
            self.trainer.has_new_weights = true;
            self.publish();
        }
        self.end_step_if_whole(if is_empty { POLL_MS } else { 0 });
    }

    /// After a restart a step may be whole as soon as it is opened again.
    fn end_step_if_whole(&mut self, otherwise_ms: u64) {
        if self.trainer.have() < self.trainer.wanted() {
            self.trainer_later(otherwise_ms);
            return;
        }
        self.trainer.now.step += 1;
        self.trainer.is_open = false;
        self.trainer.has_new_weights = false;
        self.publish();
        self.trainer_later(TRAIN_MS);
    }

    fn publish(&mut self) {
        self.trainer.version += 1;
        self.engines.publish(self.sim.now_ms, self.trainer.version);
    }

    /// The trainer starts anew from its checkpoint, with weights that have a
    /// number of their own.
    pub(super) fn restart_trainer(&mut self) {
        self.trainer.now = self.trainer.checkpoint.clone();
        self.trainer.is_open = false;
        self.trainer.fetches = 0;
        self.trainer.asked = None;
        self.trainer.number += 1;
        self.publish();
        self.trainer_later(TRAIN_MS);
    }

    pub(super) fn resend_opens(&mut self) {
        for open in self.trainer.opens.clone() {
            for member in 0..self.members.len() {
                let event = Event::ToMember(member, 0, Ask::Open(open.clone()));
                self.sim.at(self.sim.now_ms, event);
            }
        }
    }
}
