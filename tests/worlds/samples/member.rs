//! A daemon with its lease, its ledger and its pending requests to the store.

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

use super::{
    Event, MemberRun, StoreReply, StoreRequest, TICK_INTERVAL_MS, TRAINER_ID, TrainerCall,
    TrainerReply, World,
};

const MAX_GENERATING: usize = 4;

#[derive(Debug)]
pub struct Member {
    index: usize,
    pub run_number: u64,
    pub paused_until_ms: u64,
    lease: Lease,
    lease_request: Option<(u64, StoreRequest)>,
    ledger: Option<Ledger>,
    ledger_request: Option<(u64, StoreRequest)>,
    /// A commit that may or may not have taken effect.
    unresolved_commit: Option<CommitPlan>,
    loading: Option<StoredLedger>,
    loading_fence: u64,
    generating: usize,
    /// The number of each unanswered call, and the change it waits for.
    waiting_calls: Vec<(u64, u64)>,
    /// Uncommitted samples of an earlier ledger, for the next one.
    kept_samples: Vec<UncommittedSample>,
    object_request: Option<(u64, MissingObject)>,
}

impl Member {
    pub fn new(index: usize) -> Self {
        Self {
            index,
            run_number: 1,
            paused_until_ms: 0,
            lease: Lease::new(format!("vm-{index}").into(), 1),
            lease_request: None,
            ledger: None,
            ledger_request: None,
            unresolved_commit: None,
            loading: None,
            loading_fence: 0,
            generating: 0,
            waiting_calls: Vec::new(),
            kept_samples: Vec::new(),
            object_request: None,
        }
    }

    /// Gives a new member the number of its run, for a restarted process.
    pub fn restart(&mut self, run_number: u64) {
        self.run_number = run_number;
        self.lease = Lease::new(format!("vm-{}", self.index).into(), run_number);
    }

    pub fn is_holder(&self) -> bool {
        self.ledger.is_some()
    }

    /// Drops the ledger, but keeps its uncommitted samples.
    fn drop_ledger(&mut self) {
        let Some(mut ledger) = self.ledger.take() else {
            return;
        };
        if let Some(plan) = self.unresolved_commit.take() {
            ledger.on_not_committed(plan);
        }
        self.kept_samples.extend(ledger.into_uncommitted());
        self.waiting_calls.clear();
    }

    /// Puts a loaded ledger in use and adds the kept samples to it.
    fn resume_with(&mut self, mut ledger: Ledger) {
        for sample in std::mem::take(&mut self.kept_samples) {
            ledger.on_sample(sample);
        }
        self.ledger = Some(ledger);
    }
}

impl World {
    fn is_current(&self, run: MemberRun) -> bool {
        self.members[run.0].run_number == run.1
    }

    pub(super) fn tick_member(&mut self, run: MemberRun) {
        if !self.is_current(run) {
            return;
        }
        let now_ms = self.sim.now_ms;
        self.sim
            .schedule_at(now_ms + TICK_INTERVAL_MS, Event::MemberTick(run));
        self.tick_lease(run);
        match self.members[run.0].lease.fence(now_ms) {
            Some(fence) => self.tick_ledger(run, fence),
            None => self.members[run.0].drop_ledger(),
        }
    }

    fn tick_lease(&mut self, run: MemberRun) {
        let now_ms = self.sim.now_ms;
        let member = &self.members[run.0];
        if member.lease_request.is_some() {
            return;
        }
        let request = match member.lease.next_action(now_ms) {
            LeaseAction::Wait { .. } => return,
            LeaseAction::Read => StoreRequest::ReadLease,
            LeaseAction::Write { row, row_version } => {
                StoreRequest::WriteLease(now_ms, row, row_version)
            }
        };
        let number = self.send_store_request(run, request.clone());
        self.members[run.0].lease_request = Some((number, request));
    }

    fn tick_ledger(&mut self, run: MemberRun, fence: u64) {
        let member = &mut self.members[run.0];
        if member.ledger_request.is_some() {
            return;
        }
        if member.unresolved_commit.is_some() {
            self.send_ledger_request(run, StoreRequest::ResolveCommit);
            return;
        }
        let Some(ledger) = &mut member.ledger else {
            member.loading = Some(StoredLedger::default());
            member.loading_fence = fence;
            self.send_ledger_request(run, StoreRequest::ReadHead);
            return;
        };
        let plan = ledger.begin_commit();
        if let Some(plan) = plan {
            self.send_ledger_request(run, StoreRequest::PutObject(Box::new(plan)));
        }
        self.start_generations(run);
    }

    fn send_ledger_request(&mut self, run: MemberRun, request: StoreRequest) {
        let number = self.send_store_request(run, request.clone());
        self.members[run.0].ledger_request = Some((number, request));
    }

    /// Starts generations for open slots, up to `MAX_GENERATING` at once.
    fn start_generations(&mut self, run: MemberRun) {
        let member = &mut self.members[run.0];
        let capacity = MAX_GENERATING.saturating_sub(member.generating);
        let Some(ledger) = &mut member.ledger else {
            return;
        };
        let slots = ledger.take_open_slots(capacity);
        member.generating += slots.len();
        for slot in slots {
            let from_ms = self.sim.now_ms;
            let max_ms = self.body.plan.max_generate_ms;
            let to_ms = from_ms + self.sim.rng.random_range(1..=max_ms);
            let sample = self
                .engines
                .generate(&mut self.sim.rng, slot, from_ms, to_ms);
            self.sim
                .schedule_at(to_ms, Event::Generated(run, slot, sample));
        }
    }

    pub(super) fn on_generated(&mut self, run: MemberRun, slot: Slot, sample: &Sample) {
        if !self.is_current(run) {
            return;
        }
        let member = &mut self.members[run.0];
        member.generating -= 1;
        self.generated += 1;
        let sample = UncommittedSample::try_new(sample).expect("a sample can be serialized");
        if let Some(ledger) = &mut member.ledger
            && ledger.on_sample(sample) == SampleOutcome::Stale
        {
            ledger.on_generation_failed(slot);
        }
    }

    pub(super) fn on_store_answer(&mut self, run: MemberRun, number: u64, reply: StoreReply) {
        if !self.is_current(run) {
            return;
        }
        let member = &mut self.members[run.0];
        let is_answered = |pending: &mut (u64, StoreRequest)| pending.0 == number;
        let is_object = |pending: &mut (u64, MissingObject)| pending.0 == number;
        if let Some((_, missing)) = member.object_request.take_if(is_object) {
            self.on_object(run, &missing, reply);
        } else if let Some((_, request)) = member.lease_request.take_if(is_answered) {
            self.on_lease_answer(run, request, reply);
        } else if let Some((_, request)) = member.ledger_request.take_if(is_answered) {
            self.on_ledger_answer(run, request, reply);
        }
    }

    fn on_object(&mut self, run: MemberRun, missing: &MissingObject, reply: StoreReply) {
        if let StoreReply::Object(content) = reply {
            let content = content.map(bytes::Bytes::from);
            self.update_ledger(run, |ledger| ledger.on_object(missing, content.as_ref()));
        }
    }

    fn on_lease_answer(&mut self, run: MemberRun, request: StoreRequest, reply: StoreReply) {
        let now_ms = self.sim.now_ms;
        let lease = &mut self.members[run.0].lease;
        match (request, reply) {
            (StoreRequest::ReadLease, StoreReply::Row(version, value)) => {
                let row = serde_json::from_value(value).ok();
                lease.on_read(now_ms, row, version);
            }
            (StoreRequest::WriteLease(sent_ms, row, version), StoreReply::Outcome(outcome))
                if outcome.committed =>
            {
                lease.on_written(sent_ms, row, version + 1);
            }
            (StoreRequest::WriteLease(..), StoreReply::Outcome(_) | StoreReply::TimedOut) => {
                lease.on_conflict();
            }
            _ => {}
        }
    }

    fn on_ledger_answer(&mut self, run: MemberRun, request: StoreRequest, reply: StoreReply) {
        match request {
            StoreRequest::ReadHead | StoreRequest::ReadSteps | StoreRequest::ReadChunks => {
                self.on_load_answer(run, &request, reply);
            }
            StoreRequest::PutObject(plan) => match reply {
                StoreReply::ObjectPut => {
                    self.send_ledger_request(run, StoreRequest::Transact(plan));
                }
                _ => self.update_ledger(run, |ledger| ledger.on_not_committed(*plan)),
            },
            StoreRequest::Transact(plan) => self.on_transacted(run, *plan, reply),
            _ => self.on_commit_resolved(run, reply),
        }
    }

    fn update_ledger<F>(&mut self, run: MemberRun, update: F)
    where
        F: FnOnce(&mut Ledger),
    {
        if let Some(ledger) = &mut self.members[run.0].ledger {
            update(ledger);
        }
    }

    fn on_load_answer(&mut self, run: MemberRun, request: &StoreRequest, reply: StoreReply) {
        let member = &mut self.members[run.0];
        let Some(mut loaded) = member.loading.take() else {
            return;
        };
        let next = match (request, reply) {
            (StoreRequest::ReadHead, StoreReply::Row(version, value)) => {
                loaded.row_version = version;
                loaded.head = serde_json::from_value(value).ok();
                StoreRequest::ReadSteps
            }
            (StoreRequest::ReadSteps, StoreReply::Rows(rows)) => {
                loaded.steps = rows
                    .into_iter()
                    .map(|(_, value)| parse_step(value))
                    .collect();
                StoreRequest::ReadChunks
            }
            (StoreRequest::ReadChunks, StoreReply::Rows(rows)) => {
                loaded.chunks = rows.into_iter().map(parse_chunk).collect();
                let fence = member.loading_fence;
                if let Ok(ledger) = Ledger::try_new(TRAINER_ID.into(), fence, loaded) {
                    member.resume_with(ledger);
                }
                return;
            }
            _ => return,
        };
        member.loading = Some(loaded);
        self.send_ledger_request(run, next);
    }

    fn on_transacted(&mut self, run: MemberRun, plan: CommitPlan, reply: StoreReply) {
        match reply {
            StoreReply::Outcome(outcome) if outcome.committed => {
                let head = chicoryreach::core::sample::head_key(TRAINER_ID);
                let mut versions = outcome.row_versions.iter();
                let version = versions.find(|(key, _)| *key == head).map(|row| row.1);
                let version = version.expect("a commit writes the head");
                self.update_ledger(run, |ledger| ledger.on_committed(plan, version));
                self.reply_to_committed_calls(run);
            }
            StoreReply::Refused => self.update_ledger(run, |ledger| ledger.on_not_committed(plan)),
            _ => self.members[run.0].unresolved_commit = Some(plan),
        }
    }

    fn on_commit_resolved(&mut self, run: MemberRun, reply: StoreReply) {
        let StoreReply::Row(version, value) = reply else {
            return;
        };
        let head = serde_json::from_value(value).ok();
        let member = &mut self.members[run.0];
        let (Some(plan), Some(ledger)) = (member.unresolved_commit.take(), &mut member.ledger)
        else {
            return;
        };
        if ledger.resolve_commit(plan, head.as_ref(), version) {
            self.reply_to_committed_calls(run);
        } else {
            member.drop_ledger();
        }
    }

    fn reply_to_committed_calls(&mut self, run: MemberRun) {
        let member = &mut self.members[run.0];
        let Some(ledger) = &member.ledger else {
            return;
        };
        let committed = ledger.last_committed_change();
        let is_due = |call: &mut (u64, u64)| call.1 <= committed;
        let due: Vec<_> = member.waiting_calls.extract_if(.., is_due).collect();
        for (number, _) in due {
            self.reply(number, TrainerReply::Done);
        }
    }

    fn reply(&mut self, number: u64, reply: TrainerReply) {
        let network = self.body.network;
        self.sim.send(network, &Event::ReplyArrived(number, reply));
    }

    fn reply_to_fetch(
        &mut self,
        index: usize,
        number: u64,
        result: Result<FetchResponse, Refusal>,
    ) {
        let answer = match result {
            Ok(answer) => answer,
            Err(refusal) => return self.reply(number, TrainerReply::Refused(refusal)),
        };
        let fetched = serde_json::from_slice(&answer.to_json()).expect("the answer is valid JSON");
        self.reply(number, TrainerReply::Fetched(fetched));
        // The object may have been read when the trainer fetches again.
        if let Some(missing) = answer.missing
            && self.members[index].object_request.is_none()
        {
            let run = (index, self.members[index].run_number);
            let number =
                self.send_store_request(run, StoreRequest::ReadObject(missing.object.clone()));
            self.members[index].object_request = Some((number, missing));
        }
    }

    pub(super) fn on_call(&mut self, index: usize, number: u64, call: TrainerCall) {
        let now_ms = self.sim.now_ms;
        let member = &mut self.members[index];
        let holds_lease = member.lease.fence(now_ms).is_some();
        let Some(ledger) = member.ledger.as_mut().filter(|_| holds_lease) else {
            let refusal = Refusal::new(ErrorKind::NotHolder, "another VM holds the ledger");
            self.reply(number, TrainerReply::Refused(refusal));
            return;
        };
        let result = match call {
            TrainerCall::Open(open) => ledger.open_step(open),
            TrainerCall::Acknowledge(ack) => ledger.acknowledge(ack),
            TrainerCall::Fetch(fetch) => {
                let answer = ledger.fetch(fetch);
                self.reply_to_fetch(index, number, answer);
                return;
            }
        };
        match result {
            Ok(change) => {
                member.waiting_calls.push((number, change));
                let run = (index, member.run_number);
                self.reply_to_committed_calls(run);
            }
            Err(refusal) => self.reply(number, TrainerReply::Refused(refusal)),
        }
    }
}

fn parse_step(value: Value) -> OpenStep {
    serde_json::from_value(value).expect("the step row is valid")
}

fn parse_chunk((key, value): (Arc<str>, Value)) -> (u64, ChunkRow) {
    let number = key.rsplit('/').next().expect("a key has a last part");
    let number = number.parse().expect("a chunk key ends in a number");
    let row = serde_json::from_value(value).expect("the chunk row is valid");
    (number, row)
}
