//! Daemons that keep one trainer's ledger in a faulty store, and a trainer that
//! checks the samples it fetches.

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

const TRAINER_ID: &str = "pricing";
const LEASE_KEY: &str = "lease/trainer/pricing";
const TICK_INTERVAL_MS: u64 = 100;
const STORE_TIMEOUT_MS: u64 = 2_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    members: usize,
    end_ms: u64,
    network: Network,
    store: StoreFaults,
    plan: TrainerPlan,
    /// When the holder is paused; it resumes with its state unchanged.
    #[serde(default)]
    pause_holder: Vec<FaultInterval>,
    /// When the holder is killed; it restarts with no state.
    #[serde(default)]
    kill_holder: Vec<FaultInterval>,
    /// When the store refuses all requests.
    #[serde(default)]
    outages: Vec<FaultInterval>,
    /// When the store loses all its objects.
    #[serde(default)]
    lose_objects_at_ms: Vec<u64>,
    /// When the trainer restarts from its checkpoint.
    #[serde(default)]
    restart_trainer_at_ms: Vec<u64>,
    /// The maximum number of samples generated in total; 0 for no limit.
    #[serde(default)]
    max_generated: u64,
    /// When all earlier calls that opened a step arrive again.
    #[serde(default)]
    resend_opens_at_ms: Vec<u64>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreFaults {
    min_delay_ms: u64,
    max_delay_ms: u64,
    /// How many of a thousand answers are lost after the request took effect.
    lost_permille: u32,
    /// How many of a thousand requests are delayed by up to twice the timeout
    /// in addition.
    late_permille: u32,
}

/// The steps that the trainer runs, and how engines generate for them.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TrainerPlan {
    steps: u64,
    groups: u32,
    samples_per_group: u32,
    staleness_bound: u64,
    max_generate_ms: u64,
    max_swap_ms: u64,
    fetch_limit: u32,
    /// The number of non-empty fetches after which the trainer acknowledges.
    fetches_per_ack: u32,
    /// The number of samples of a step after which the trainer publishes new
    /// weights; 0 to publish them only at the step's end.
    new_weights_after: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultInterval {
    at_ms: u64,
    for_ms: u64,
}

/// A member's request to the store.
#[derive(Clone, Debug)]
enum StoreRequest {
    ReadLease,
    WriteLease(u64, LeaseRow, u64),
    ReadHead,
    ReadSteps,
    ReadChunks,
    ReadObject(Arc<str>),
    PutObject(Box<CommitPlan>),
    Transact(Box<CommitPlan>),
    /// Reads the head to find out whether a commit took effect.
    ResolveCommit,
}

/// The store's answer to a request.
#[derive(Clone, Debug)]
enum StoreReply {
    Row(u64, Value),
    Rows(Vec<(Arc<str>, Value)>),
    Object(Option<Vec<u8>>),
    ObjectPut,
    Outcome(TransactionOutcome),
    Refused,
    TimedOut,
}

#[derive(Clone, Debug)]
enum TrainerCall {
    Open(OpenStep),
    Fetch(Fetch),
    Acknowledge(Acknowledge),
}

#[derive(Clone, Debug)]
enum TrainerReply {
    Done,
    Fetched(Fetched),
    Refused(Refusal),
}

/// The index of a member and the number of its run, which each restart raises;
/// events for an earlier run are ignored.
type MemberRun = (usize, u64);

#[derive(Clone, Debug)]
enum Event {
    MemberTick(MemberRun),
    StoreRequested(MemberRun, u64, StoreRequest),
    StoreAnswered(MemberRun, u64, StoreReply),
    Generated(MemberRun, Slot, Sample),
    CallArrived(usize, u64, TrainerCall),
    ReplyArrived(u64, TrainerReply),
    TrainerTick(u64),
    CallTimedOut(u64),
    PauseHolders(u64),
    KillHolders(u64),
    LoseObjects,
    RestartTrainer,
    ResendOpens,
}

/// Runs the trainer's steps and returns every violation: a sample that is lost,
/// duplicated, stale, or not what its weights versions produce, or too many
/// generated samples.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
        if world.trainer.is_done() || !world.trainer.violations.is_empty() {
            break;
        }
    }
    world.find_violations()
}

struct World {
    body: Body,
    sim: Sim<Event>,
    table: Table,
    objects: BTreeMap<Arc<str>, Vec<u8>>,
    engines: Engines,
    members: Vec<Member>,
    trainer: Trainer,
    last_request: u64,
    generated: u64,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        for member in 0..body.members {
            let first_ms = sim.rng.random_range(0..TICK_INTERVAL_MS);
            sim.schedule_at(first_ms, Event::MemberTick((member, 1)));
        }
        for pause in &body.pause_holder {
            sim.schedule_at(pause.at_ms, Event::PauseHolders(pause.for_ms));
        }
        for kill in &body.kill_holder {
            sim.schedule_at(kill.at_ms, Event::KillHolders(kill.for_ms));
        }
        for at_ms in &body.lose_objects_at_ms {
            sim.schedule_at(*at_ms, Event::LoseObjects);
        }
        for at_ms in &body.restart_trainer_at_ms {
            sim.schedule_at(*at_ms, Event::RestartTrainer);
        }
        for at_ms in &body.resend_opens_at_ms {
            sim.schedule_at(*at_ms, Event::ResendOpens);
        }
        sim.schedule_at(0, Event::TrainerTick(0));
        let members = (0..body.members).map(Member::new);
        Self {
            members: members.collect(),
            trainer: Trainer::new(body.plan, body.members),
            engines: Engines::new(body.plan),
            body,
            sim,
            table: Table::default(),
            objects: BTreeMap::new(),
            last_request: 0,
            generated: 0,
        }
    }

    fn find_violations(&self) -> Vec<String> {
        let mut violations = self.trainer.find_violations();
        let (generated, max) = (self.generated, self.body.max_generated);
        if max > 0 && generated > max {
            violations.push(format!(
                "{generated} samples were generated, expected at most {max}"
            ));
        }
        violations
    }

    fn handle(&mut self, event: Event) {
        if let Some(at_ms) = self.deferred_until(&event) {
            self.sim.schedule_at(at_ms, event);
            return;
        }
        match event {
            Event::MemberTick(run) => self.tick_member(run),
            Event::StoreRequested(run, number, request) => {
                self.on_store_request(run, number, request);
            }
            Event::StoreAnswered(run, number, reply) => self.on_store_answer(run, number, reply),
            Event::Generated(run, slot, sample) => self.on_generated(run, slot, &sample),
            Event::CallArrived(member, number, call) => self.on_call(member, number, call),
            Event::ReplyArrived(number, reply) => self.on_reply(number, reply),
            Event::TrainerTick(number) => self.tick_trainer(number),
            Event::CallTimedOut(number) => self.on_call_timeout(number),
            Event::PauseHolders(for_ms) => self.pause_holders(for_ms),
            Event::KillHolders(for_ms) => self.kill_holders(for_ms),
            Event::LoseObjects => self.objects.clear(),
            Event::RestartTrainer => self.restart_trainer(),
            Event::ResendOpens => self.resend_opens(),
        }
    }

    /// Returns the end of the pause that an event's member is in, if any.
    fn deferred_until(&self, event: &Event) -> Option<u64> {
        let member = match event {
            Event::MemberTick((member, _))
            | Event::StoreAnswered((member, _), ..)
            | Event::Generated((member, _), ..)
            | Event::CallArrived(member, ..) => *member,
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
        let restart_ms = self.sim.now_ms + for_ms;
        for index in 0..self.members.len() {
            if self.members[index].is_holder() {
                let run_number = self.members[index].run_number + 1;
                self.members[index] = Member::new(index);
                self.members[index].restart(run_number);
                self.sim
                    .schedule_at(restart_ms, Event::MemberTick((index, run_number)));
            }
        }
    }

    /// Sends a request to the store and returns its number.
    ///
    /// The answer or the timeout arrives as an event.
    fn send_store_request(&mut self, run: MemberRun, request: StoreRequest) -> u64 {
        self.last_request += 1;
        let number = self.last_request;
        let store = self.body.store;
        let now_ms = self.sim.now_ms;
        let mut delay_ms = self
            .sim
            .rng
            .random_range(store.min_delay_ms..=store.max_delay_ms);
        if self.sim.rng.random_ratio(store.late_permille, 1_000) {
            delay_ms += self.sim.rng.random_range(0..2 * STORE_TIMEOUT_MS);
        }
        self.sim.schedule_at(
            now_ms + delay_ms,
            Event::StoreRequested(run, number, request),
        );
        let timed_out = Event::StoreAnswered(run, number, StoreReply::TimedOut);
        self.sim.schedule_at(now_ms + STORE_TIMEOUT_MS, timed_out);
        number
    }

    fn on_store_request(&mut self, run: MemberRun, number: u64, request: StoreRequest) {
        let now_ms = self.sim.now_ms;
        let is_down = self
            .body
            .outages
            .iter()
            .any(|outage| (outage.at_ms..outage.at_ms + outage.for_ms).contains(&now_ms));
        let reply = if is_down {
            StoreReply::Refused
        } else {
            self.execute(request)
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
            .schedule_at(now_ms + delay_ms, Event::StoreAnswered(run, number, reply));
    }

    fn execute(&mut self, request: StoreRequest) -> StoreReply {
        use chicoryreach::core::sample::{chunks_prefix, head_key, steps_prefix};
        match request {
            StoreRequest::ReadLease => {
                let (version, value) = self.table.get(LEASE_KEY);
                StoreReply::Row(version, value)
            }
            StoreRequest::WriteLease(_, row, row_version) => {
                StoreReply::Outcome(self.table.transact(&lease_transaction(&row, row_version)))
            }
            StoreRequest::ReadHead | StoreRequest::ResolveCommit => {
                let (version, value) = self.table.get(&head_key(TRAINER_ID));
                StoreReply::Row(version, value)
            }
            StoreRequest::ReadSteps => StoreReply::Rows(self.table.scan(&steps_prefix(TRAINER_ID))),
            StoreRequest::ReadChunks => {
                StoreReply::Rows(self.table.scan(&chunks_prefix(TRAINER_ID)))
            }
            StoreRequest::ReadObject(name) => StoreReply::Object(self.objects.get(&name).cloned()),
            StoreRequest::PutObject(plan) => {
                if let Some(payload) = plan.payload {
                    self.objects.insert(payload.object, payload.bytes.to_vec());
                }
                StoreReply::ObjectPut
            }
            StoreRequest::Transact(plan) => {
                StoreReply::Outcome(self.table.transact(&plan.transaction))
            }
        }
    }
}

fn lease_transaction(row: &LeaseRow, row_version: u64) -> Transaction {
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
