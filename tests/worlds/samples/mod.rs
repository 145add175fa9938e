//! Daemons that keep one trainer's ledger, a faulty store, and a trainer that
//! judges only what it is handed.

mod engine;
mod member;
mod trainer;

use std::{collections::BTreeMap, sync::Arc};

use chicoryreach::{
    core::{lease::LeaseRow, sample::CommitPlan},
    error::Refusal,
    wire::{
        platform::{Check, Transaction, TransactionOutcome, Write},
        trainers::{Acknowledge, Fetch, Fetched, OpenStep, Sample, Slot},
    },
};
use rand::Rng;
use serde::Deserialize;
use serde_json::Value;

use self::{engine::Engines, member::Member, trainer::Trainer};
use crate::sim::{Network, Sim, Table};

const TRAINER: &str = "pricing";
const LEASE_KEY: &str = "lease/trainer/pricing";
const TURN_MS: u64 = 100;
const STORE_TIMEOUT_MS: u64 = 2_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    members: usize,
    end_ms: u64,
    network: Network,
    store: Store,
    plan: Plan,
    /// The holder stands still and goes on as if nothing had happened.
    #[serde(default)]
    pause_holder: Vec<Stop>,
    /// The holder is killed, and starts anew.
    #[serde(default)]
    kill_holder: Vec<Stop>,
    /// The store refuses everything.
    #[serde(default)]
    outages: Vec<Stop>,
    /// All objects of the store vanish.
    #[serde(default)]
    lose_objects_at_ms: Vec<u64>,
    /// The trainer goes back to its checkpoint.
    #[serde(default)]
    restart_trainer_at_ms: Vec<u64>,
    /// How many samples may be generated in all; 0 for any number.
    #[serde(default)]
    max_generated: u64,
    /// An old call that opened a step arrives once more.
    #[serde(default)]
    resend_opens_at_ms: Vec<u64>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Store {
    min_delay_ms: u64,
    max_delay_ms: u64,
    /// How many of a thousand answers are lost after the write took effect.
    lost_permille: u32,
    /// How many of a thousand requests are under way for longer than the time-out.
    late_permille: u32,
}

/// What the trainer asks for.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Plan {
    steps: u64,
    groups: u32,
    samples_per_group: u32,
    staleness_bound: u64,
    max_generate_ms: u64,
    max_swap_ms: u64,
    fetch_limit: u32,
    /// The trainer acknowledges after this many fetches.
    fetches_per_ack: u32,
    /// The trainer brings out new weights when it has this many samples of a
    /// step; 0 for only at its end.
    new_weights_after: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Stop {
    at_ms: u64,
    for_ms: u64,
}

/// What a member asks of the store.
#[derive(Clone, Debug)]
enum Op {
    ReadLease,
    WriteLease(u64, LeaseRow, u64),
    ReadHead,
    ReadSteps,
    ReadChunks,
    ReadObject(Arc<str>),
    Put(Box<CommitPlan>),
    Transact(Box<CommitPlan>),
    Settle,
}

/// What the store answers.
#[derive(Clone, Debug)]
enum Reply {
    Row(u64, Value),
    Rows(Vec<(Arc<str>, Value)>),
    Object(Option<Vec<u8>>),
    Put,
    Outcome(TransactionOutcome),
    Refused,
    Lost,
}

#[derive(Clone, Debug)]
enum Ask {
    Open(OpenStep),
    Fetch(Fetch),
    Acknowledge(Acknowledge),
}

#[derive(Clone, Debug)]
enum Told {
    Done,
    Fetched(Fetched),
    Refused(Refusal),
}

/// A member and its start; events for an earlier start are void.
type To = (usize, u64);

#[derive(Clone, Debug)]
enum Event {
    Turn(To),
    Store(To, u64, Op),
    Answer(To, u64, Reply),
    Generated(To, Slot, Sample),
    ToMember(usize, u64, Ask),
    ToTrainer(u64, Told),
    TrainerTurn(u64),
    TrainerTimeout(u64),
    PauseHolder(u64),
    KillHolder(u64),
    LoseObjects,
    RestartTrainer,
    ResendOpens,
}

/// Plays a trainer's steps; a sample that is lost, doubled, stale or not what
/// its versions produce breaks the promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
        if world.trainer.is_done() || !world.trainer.broken.is_empty() {
            break;
        }
    }
    world.verdict()
}

struct World {
    body: Body,
    sim: Sim<Event>,
    table: Table,
    objects: BTreeMap<Arc<str>, Vec<u8>>,
    engines: Engines,
    members: Vec<Member>,
    trainer: Trainer,
    ops: u64,
    generated: u64,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        for member in 0..body.members {
            let first_ms = sim.rng.random_range(0..TURN_MS);
            sim.at(first_ms, Event::Turn((member, 1)));
        }
        for stop in &body.pause_holder {
            sim.at(stop.at_ms, Event::PauseHolder(stop.for_ms));
        }
        for stop in &body.kill_holder {
            sim.at(stop.at_ms, Event::KillHolder(stop.for_ms));
        }
        for at_ms in &body.lose_objects_at_ms {
            sim.at(*at_ms, Event::LoseObjects);
        }
        for at_ms in &body.restart_trainer_at_ms {
            sim.at(*at_ms, Event::RestartTrainer);
        }
        for at_ms in &body.resend_opens_at_ms {
            sim.at(*at_ms, Event::ResendOpens);
        }
        sim.at(0, Event::TrainerTurn(0));
        let members = (0..body.members).map(Member::new);
        Self {
            members: members.collect(),
            trainer: Trainer::new(body.plan, body.members),
            engines: Engines::new(body.plan),
            body,
            sim,
            table: Table::default(),
            objects: BTreeMap::new(),
            ops: 0,
            generated: 0,
        }
    }

    fn verdict(&self) -> Vec<String> {
        let mut broken = self.trainer.verdict();
        let (generated, most) = (self.generated, self.body.max_generated);
        if most > 0 && generated > most {
            broken.push(format!("{generated} samples were generated, not {most}"));
        }
        broken
    }

    fn handle(&mut self, event: Event) {
        if let Some(at_ms) = self.deferred_until(&event) {
            self.sim.at(at_ms, event);
            return;
        }
        match event {
            Event::Turn(to) => self.member_turn(to),
            Event::Store(to, op_number, op) => self.store(to, op_number, op),
            Event::Answer(to, op_number, reply) => self.member_answer(to, op_number, reply),
            Event::Generated(to, slot, sample) => self.member_generated(to, slot, &sample),
            Event::ToMember(member, number, ask) => self.member_asked(member, number, ask),
            Event::ToTrainer(number, told) => self.trainer_told(number, told),
            Event::TrainerTurn(number) => self.trainer_turn(number),
            Event::TrainerTimeout(number) => self.trainer_timeout(number),
            Event::PauseHolder(for_ms) => self.pause_holders(for_ms),
            Event::KillHolder(for_ms) => self.kill_holders(for_ms),
            Event::LoseObjects => self.objects.clear(),
            Event::RestartTrainer => self.restart_trainer(),
            Event::ResendOpens => self.resend_opens(),
        }
    }

    /// A member that stands still handles nothing until it goes on.
    fn deferred_until(&self, event: &Event) -> Option<u64> {
        let member = match event {
            Event::Turn((member, _))
            | Event::Answer((member, _), ..)
            | Event::Generated((member, _), ..)
            | Event::ToMember(member, ..) => *member,
            _ => return None,
        };
        let until_ms = self.members[member].paused_until_ms;
        (until_ms > self.sim.now_ms).then_some(until_ms)
    }

    fn pause_holders(&mut self, for_ms: u64) {
        let until_ms = self.sim.now_ms + for_ms;
        for member in self.members.iter_mut().filter(|member| member.is_holder()) {
            member.paused_until_ms = until_ms;
        }
    }

    fn kill_holders(&mut self, for_ms: u64) {
        let back_ms = self.sim.now_ms + for_ms;
        for index in 0..self.members.len() {
            if self.members[index].is_holder() {
                let start = self.members[index].start + 1;
                self.members[index] = Member::new(index);
                self.members[index].restart(start);
                self.sim.at(back_ms, Event::Turn((index, start)));
            }
        }
    }

    /// Sends an operation to the store; its answer, or that there is none in
    /// time, comes back as an event.
    fn send_op(&mut self, to: To, op: Op) -> u64 {
        self.ops += 1;
        let number = self.ops;
        let store = self.body.store;
        let now_ms = self.sim.now_ms;
        let mut delay_ms = self
            .sim
            .rng
            .random_range(store.min_delay_ms..=store.max_delay_ms);
        if self.sim.rng.random_ratio(store.late_permille, 1_000) {
            delay_ms += self.sim.rng.random_range(0..2 * STORE_TIMEOUT_MS);
        }
        self.sim.at(now_ms + delay_ms, Event::Store(to, number, op));
        let lost = Event::Answer(to, number, Reply::Lost);
        self.sim.at(now_ms + STORE_TIMEOUT_MS, lost);
        number
    }

    fn store(&mut self, to: To, number: u64, op: Op) {
        let now_ms = self.sim.now_ms;
        let is_down = self
            .body
            .outages
            .iter()
            .any(|outage| (outage.at_ms..outage.at_ms + outage.for_ms).contains(&now_ms));
        let reply = if is_down {
            Reply::Refused
        } else {
            self.perform(op)
        };
        let store = self.body.store;
        if self.sim.rng.random_ratio(store.lost_permille, 1_000) {
            return;
        }
        let delay_ms = self
            .sim
            .rng
            .random_range(store.min_delay_ms..=store.max_delay_ms);
        self.sim
            .at(now_ms + delay_ms, Event::Answer(to, number, reply));
    }

    fn perform(&mut self, op: Op) -> Reply {
        use chicoryreach::core::sample::{chunks_prefix, head_key, steps_prefix};
        match op {
            Op::ReadLease => {
                let (version, value) = self.table.get(LEASE_KEY);
                Reply::Row(version, value)
            }
            Op::WriteLease(_, row, row_version) => {
                Reply::Outcome(self.table.transact(&lease_write(&row, row_version)))
            }
            Op::ReadHead | Op::Settle => {
                let (version, value) = self.table.get(&head_key(TRAINER));
                Reply::Row(version, value)
            }
            Op::ReadSteps => Reply::Rows(self.table.scan(&steps_prefix(TRAINER))),
            Op::ReadChunks => Reply::Rows(self.table.scan(&chunks_prefix(TRAINER))),
            Op::ReadObject(name) => Reply::Object(self.objects.get(&name).cloned()),
            Op::Put(plan) => {
                if let Some(payload) = plan.payload {
                    self.objects.insert(payload.object, payload.bytes.to_vec());
                }
                Reply::Put
            }
            Op::Transact(plan) => Reply::Outcome(self.table.transact(&plan.transaction)),
        }
    }
}

fn lease_write(row: &LeaseRow, row_version: u64) -> Transaction {
    Transaction {
        checks: vec![Check {
            key: LEASE_KEY.into(),
            row_version,
        }],
        writes: vec![Write {
            key: LEASE_KEY.into(),
            value: serde_json::to_value(row).ok(),
        }],
    }
}
