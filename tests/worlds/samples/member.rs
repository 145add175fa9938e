//! A daemon: its lease, its ledger, and what it has asked of the store.

use std::sync::Arc;

use chicoryreach::{
    core::{
        lease::{Lease, LeaseAction},
        sample::{
            ChunkRow, CommitPlan, FetchResponse, Ledger, MissingObject, SampleOutcome,
            StoredLedger, UncommittedSample,
        },
    },
    error::{ErrorKind, Refusal},
    wire::trainers::{OpenStep, Sample, Slot},
};
use rand::Rng;
use serde_json::Value;

use super::{Ask, Event, Op, Reply, TRAINER, TURN_MS, To, Told, World};

const MAX_GENERATING: usize = 4;

#[derive(Debug)]
pub struct Member {
    index: usize,
    pub start: u64,
    pub paused_until_ms: u64,
    lease: Lease,
    lease_op: Option<(u64, Op)>,
    ledger: Option<Ledger>,
    ledger_op: Option<(u64, Op)>,
    unsettled: Option<CommitPlan>,
    loading: Option<StoredLedger>,
    loading_fence: u64,
    generating: usize,
    waiting: Vec<(u64, u64)>,
    kept: Vec<UncommittedSample>,
    object_op: Option<(u64, MissingObject)>,
}

impl Member {
    pub fn new(index: usize) -> Self {
        Self {
            index,
            start: 1,
            paused_until_ms: 0,
            lease: Lease::new(format!("vm-{index}").into(), 1),
            lease_op: None,
            ledger: None,
            ledger_op: None,
            unsettled: None,
            loading: None,
            loading_fence: 0,
            generating: 0,
            waiting: Vec::new(),
            kept: Vec::new(),
            object_op: None,
        }
    }

    /// Goes on as a new process, which knows nothing.
    pub fn restart(&mut self, start: u64) {
        self.start = start;
        self.lease = Lease::new(format!("vm-{}", self.index).into(), start);
    }

    pub fn is_holder(&self) -> bool {
        self.ledger.is_some()
    }

    fn lose_ledger(&mut self) {
        let Some(mut ledger) = self.ledger.take() else {
            return;
        };
        if let Some(plan) = self.unsettled.take() {
            ledger.on_not_committed(plan);
        }
        self.kept.extend(ledger.into_uncommitted());
        self.waiting.clear();
    }

    fn go_on(&mut self, mut ledger: Ledger) {
        for sample in std::mem::take(&mut self.kept) {
            ledger.on_sample(sample);
        }
        self.ledger = Some(ledger);
    }
}

impl World {
    fn is_current(&self, to: To) -> bool {
        self.members[to.0].start == to.1
    }

    pub(super) fn member_turn(&mut self, to: To) {
        if !self.is_current(to) {
            return;
        }
        let now_ms = self.sim.now_ms;
        self.sim.at(now_ms + TURN_MS, Event::Turn(to));
        self.lease_turn(to);
        match self.members[to.0].lease.fence(now_ms) {
            Some(fence) => self.ledger_turn(to, fence),
            None => self.members[to.0].lose_ledger(),
        }
    }

    fn lease_turn(&mut self, to: To) {
        let now_ms = self.sim.now_ms;
        let member = &self.members[to.0];
        if member.lease_op.is_some() {
            return;
        }
        let op = match member.lease.next_action(now_ms) {
            LeaseAction::Wait { .. } => return,
            LeaseAction::Read => Op::ReadLease,
            LeaseAction::Write { row, row_version } => Op::WriteLease(now_ms, row, row_version),
        };
        let number = self.send_op(to, op.clone());
        self.members[to.0].lease_op = Some((number, op));
    }

    fn ledger_turn(&mut self, to: To, fence: u64) {
        let member = &mut self.members[to.0];
        if member.ledger_op.is_some() {
            return;
        }
        if member.unsettled.is_some() {
            self.send_ledger_op(to, Op::Settle);
            return;
        }
        let Some(ledger) = &mut member.ledger else {
            member.loading = Some(StoredLedger::default());
            member.loading_fence = fence;
            self.send_ledger_op(to, Op::ReadHead);
            return;
        };
        let plan = ledger.begin_commit();
        if let Some(plan) = plan {
            self.send_ledger_op(to, Op::Put(Box::new(plan)));
        }
        self.start_wanted(to);
    }

    fn send_ledger_op(&mut self, to: To, op: Op) {
        let number = self.send_op(to, op.clone());
        self.members[to.0].ledger_op = Some((number, op));
    }

    fn start_wanted(&mut self, to: To) {
        let member = &mut self.members[to.0];
        let room = MAX_GENERATING.saturating_sub(member.generating);
        let Some(ledger) = &mut member.ledger else {
            return;
        };
        let slots = ledger.take_open_slots(room);
        member.generating += slots.len();
        for slot in slots {
            let from_ms = self.sim.now_ms;
            let longest_ms = self.body.plan.max_generate_ms;
            let to_ms = from_ms + self.sim.rng.random_range(1..=longest_ms);
            let sample = self
                .engines
                .generate(&mut self.sim.rng, slot, from_ms, to_ms);
            self.sim.at(to_ms, Event::Generated(to, slot, sample));
        }
    }

    pub(super) fn member_generated(&mut self, to: To, slot: Slot, sample: &Sample) {
        if !self.is_current(to) {
            return;
        }
        let member = &mut self.members[to.0];
        member.generating -= 1;
        self.generated += 1;
        let sample = UncommittedSample::try_new(sample).expect("a sample has a JSON form");
        if let Some(ledger) = &mut member.ledger
            && ledger.on_sample(sample) == SampleOutcome::Stale
        {
            ledger.on_generation_failed(slot);
        }
    }

    pub(super) fn member_answer(&mut self, to: To, number: u64, reply: Reply) {
        if !self.is_current(to) {
            return;
        }
        let member = &mut self.members[to.0];
        let is_due = |due: &mut (u64, Op)| due.0 == number;
        let is_object = |due: &mut (u64, MissingObject)| due.0 == number;
        if let Some((_, missing)) = member.object_op.take_if(is_object) {
            self.on_object(to, &missing, reply);
        } else if let Some((_, op)) = member.lease_op.take_if(is_due) {
            self.on_lease_answer(to, op, reply);
        } else if let Some((_, op)) = member.ledger_op.take_if(is_due) {
            self.on_ledger_answer(to, op, reply);
        }
    }

    fn on_object(&mut self, to: To, missing: &MissingObject, reply: Reply) {
        if let Reply::Object(content) = reply {
            let content = content.map(bytes::Bytes::from);
            self.on_ledger(to, |ledger| ledger.on_object(missing, content.as_ref()));
        }
    }

    fn on_lease_answer(&mut self, to: To, op: Op, reply: Reply) {
        let now_ms = self.sim.now_ms;
        let lease = &mut self.members[to.0].lease;
        match (op, reply) {
            (Op::ReadLease, Reply::Row(version, value)) => {
                let row = serde_json::from_value(value).ok();
                lease.on_read(now_ms, row, version);
            }
            (Op::WriteLease(sent_ms, row, version), Reply::Outcome(outcome))
                if outcome.committed =>
            {
                lease.on_written(sent_ms, row, version + 1);
            }
            (Op::WriteLease(..), Reply::Outcome(_) | Reply::Lost) => lease.on_conflict(),
            _ => {}
        }
    }

    fn on_ledger_answer(&mut self, to: To, op: Op, reply: Reply) {
        match op {
            Op::ReadHead | Op::ReadSteps | Op::ReadChunks => self.on_loaded(to, &op, reply),
            Op::Put(plan) => match reply {
                Reply::Put => self.send_ledger_op(to, Op::Transact(plan)),
                _ => self.on_ledger(to, |ledger| ledger.on_not_committed(*plan)),
            },
            Op::Transact(plan) => self.on_transacted(to, *plan, reply),
            _ => self.on_settle_answer(to, reply),
        }
    }

    fn on_ledger<F>(&mut self, to: To, act: F)
    where
        F: FnOnce(&mut Ledger),
    {
        if let Some(ledger) = &mut self.members[to.0].ledger {
            act(ledger);
        }
    }

    fn on_loaded(&mut self, to: To, op: &Op, reply: Reply) {
        let member = &mut self.members[to.0];
        let Some(mut loaded) = member.loading.take() else {
            return;
        };
        let next = match (op, reply) {
            (Op::ReadHead, Reply::Row(version, value)) => {
                loaded.row_version = version;
                loaded.head = serde_json::from_value(value).ok();
                Op::ReadSteps
            }
            (Op::ReadSteps, Reply::Rows(rows)) => {
                loaded.steps = rows.into_iter().map(|(_, value)| step(value)).collect();
                Op::ReadChunks
            }
            (Op::ReadChunks, Reply::Rows(rows)) => {
                loaded.chunks = rows.into_iter().map(chunk).collect();
                let fence = member.loading_fence;
                if let Ok(ledger) = Ledger::try_new(TRAINER.into(), fence, loaded) {
                    member.go_on(ledger);
                }
                return;
            }
            _ => return,
        };
        member.loading = Some(loaded);
        self.send_ledger_op(to, next);
    }

    fn on_transacted(&mut self, to: To, plan: CommitPlan, reply: Reply) {
        match reply {
            Reply::Outcome(outcome) if outcome.committed => {
                let head = chicoryreach::core::sample::head_key(TRAINER);
                let mut versions = outcome.row_versions.iter();
                let version = versions.find(|(key, _)| *key == head).map(|row| row.1);
                let version = version.expect("the head was written");
                self.on_ledger(to, |ledger| ledger.on_committed(plan, version));
                self.answer_waiting(to);
            }
            Reply::Refused => self.on_ledger(to, |ledger| ledger.on_not_committed(plan)),
            _ => self.members[to.0].unsettled = Some(plan),
        }
    }

    fn on_settle_answer(&mut self, to: To, reply: Reply) {
        let Reply::Row(version, value) = reply else {
            return;
        };
        let head = serde_json::from_value(value).ok();
        let member = &mut self.members[to.0];
        let (Some(plan), Some(ledger)) = (member.unsettled.take(), &mut member.ledger) else {
            return;
        };
        if ledger.resolve_commit(plan, head.as_ref(), version) {
            self.answer_waiting(to);
        } else {
            member.lose_ledger();
        }
    }

    fn answer_waiting(&mut self, to: To) {
        let member = &mut self.members[to.0];
        let Some(ledger) = &member.ledger else {
            return;
        };
        let settled = ledger.last_committed_change();
        let is_due = |waiting: &mut (u64, u64)| waiting.1 <= settled;
        let due: Vec<_> = member.waiting.extract_if(.., is_due).collect();
        for (number, _) in due {
            self.tell(number, Told::Done);
        }
    }

    fn tell(&mut self, number: u64, told: Told) {
        let network = self.body.network;
        self.sim.send(network, &Event::ToTrainer(number, told));
    }

    fn tell_fetched(&mut self, index: usize, number: u64, answer: Result<FetchResponse, Refusal>) {
        let answer = match answer {
            Ok(answer) => answer,
            Err(refusal) => return self.tell(number, Told::Refused(refusal)),
        };
        let fetched = serde_json::from_slice(&answer.to_json()).expect("the answer can be read");
        self.tell(number, Told::Fetched(fetched));
        // The trainer asks again soon; by then the object may have been read.
        if let Some(missing) = answer.missing
            && self.members[index].object_op.is_none()
        {
            let to = (index, self.members[index].start);
            let number = self.send_op(to, Op::ReadObject(missing.object.clone()));
            self.members[index].object_op = Some((number, missing));
        }
    }

    pub(super) fn member_asked(&mut self, index: usize, number: u64, ask: Ask) {
        let now_ms = self.sim.now_ms;
        let member = &mut self.members[index];
        let is_held = member.lease.fence(now_ms).is_some();
        let Some(ledger) = member.ledger.as_mut().filter(|_| is_held) else {
            let refusal = Refusal::new(ErrorKind::NotHolder, "another VM holds the ledger");
            self.tell(number, Told::Refused(refusal));
            return;
        };
        let result = match ask {
            Ask::Open(open) => ledger.open_step(open),
            Ask::Acknowledge(ack) => ledger.acknowledge(ack),
            Ask::Fetch(fetch) => {
                let answer = ledger.fetch(fetch);
                self.tell_fetched(index, number, answer);
                return;
            }
        };
        match result {
            Ok(commit) => {
                member.waiting.push((number, commit));
                let to = (index, member.start);
                self.answer_waiting(to);
            }
            Err(refusal) => self.tell(number, Told::Refused(refusal)),
        }
    }
}

fn step(value: Value) -> OpenStep {
    serde_json::from_value(value).expect("a step row can be read")
}

fn chunk((key, value): (Arc<str>, Value)) -> (u64, ChunkRow) {
    let number = key.rsplit('/').next().expect("a key has parts");
    let number = number.parse().expect("a key ends in a number");
    let row = serde_json::from_value(value).expect("a chunk row can be read");
    (number, row)
}
