use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{ChunkRow, Head, LoggedSample, StepState, step::SlotState};
use crate::{
    core::{
        Name,
        digest::hex_digest,
        guard::{self, Guard},
    },
    error::{ErrorKind, Refusal},
    wire::{
        platform::{Check, Transaction, Write},
        trainers::{Acknowledge, Fetch, Fetched, OpenStep, Sample, Slot},
    },
};

/// The most samples of one commit.
const MAX_SAMPLES_PER_COMMIT: usize = 512;

/// The payloads of one commit, as they stand in the object store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Payload {
    /// The object's name, which contains the hash of its content.
    pub object: Arc<str>,
    /// The content.
    pub bytes: Vec<u8>,
}

/// One commit: write the payload, then the transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct CommitPlan {
    /// The commit's number.
    pub commit: u64,
    /// What goes to the object store first.
    pub payload: Option<Payload>,
    /// What goes to the table then.
    pub transaction: Transaction,
    head: Head,
    samples: Vec<Arc<Sample>>,
    dropped: BTreeSet<u64>,
}

/// What a new holder of the lease reads before it starts.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// The head row, if there is one.
    pub head: Option<Head>,
    /// Its row version.
    pub row_version: u64,
    /// The open steps.
    pub steps: Vec<OpenStep>,
    /// The chunk rows with the payloads that are not acknowledged.
    pub chunks: Vec<(u64, ChunkRow, Vec<Sample>)>,
}

/// The samples of one trainer: which are wanted, which are committed, which
/// the trainer has taken.
///
/// A sample is delivered only once the table lists it. All changes go through
/// one row, the head, by compare-and-set, so that of two daemons that both
/// believe they hold the lease only one goes on.
#[derive(Clone, Debug)]
pub struct Ledger {
    trainer: Name,
    fence: u64,
    head: Head,
    row_version: u64,
    steps: BTreeMap<u64, StepState>,
    log: BTreeMap<u64, Logged>,
    chunk_rows: BTreeMap<u64, u64>,
    buffer: Vec<Arc<Sample>>,
    pending_steps: Vec<OpenStep>,
    pending_ack: Option<Acknowledge>,
    is_committing: bool,
    must_claim: bool,
}

#[derive(Clone, Debug)]
struct Logged {
    logged: LoggedSample,
    payload: Arc<Sample>,
}

impl Ledger {
    /// Goes on from what the table and the object store hold.
    #[must_use]
    pub fn new(trainer: Name, fence: u64, loaded: Loaded) -> Self {
        let mut ledger = Self {
            trainer,
            fence,
            head: loaded.head.unwrap_or_default(),
            row_version: loaded.row_version,
            steps: BTreeMap::new(),
            log: BTreeMap::new(),
            chunk_rows: BTreeMap::new(),
            buffer: Vec::new(),
            pending_steps: Vec::new(),
            pending_ack: None,
            is_committing: false,
            must_claim: true,
        };
        for step in loaded.steps {
            ledger.steps.insert(step.step, StepState::new(step));
        }
        for (number, row, payloads) in loaded.chunks {
            ledger.load_chunk(number, &row, payloads);
        }
        ledger
    }

    fn load_chunk(&mut self, number: u64, row: &ChunkRow, payloads: Vec<Sample>) {
        let mut payloads = payloads.into_iter();
        let mut cursor = row.first_cursor;
        for logged in &row.samples {
            let payload = payloads.next();
            self.fill(logged.slot, cursor);
            if let (true, Some(payload)) = (cursor >= self.head.acknowledged_cursor, payload) {
                let payload = Arc::new(payload);
                let logged = *logged;
                self.log.insert(cursor, Logged { logged, payload });
            }
            cursor += 1;
        }
        self.chunk_rows.insert(number, cursor);
    }

    /// Fills a slot; an earlier sample of the slot, if there is one, was
    /// dropped when it grew stale.
    fn fill(&mut self, slot: Slot, cursor: u64) {
        let state = self
            .slot_mut(slot)
            .map(|state| std::mem::replace(state, SlotState::Committed { cursor }));
        if let Some(SlotState::Committed { cursor: earlier }) = state {
            self.log.remove(&earlier);
        }
    }

    fn slot_mut(&mut self, slot: Slot) -> Option<&mut SlotState> {
        self.steps.get_mut(&slot.step)?.slots.get_mut(&slot)
    }

    /// Opens a step, and returns the number of the commit that makes it last.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::IdReused`] if the step was opened with other content, and
    /// [`ErrorKind::BadRequest`] if it asks for nothing.
    pub fn open_step(&mut self, request: OpenStep) -> Result<u64, Refusal> {
        if request.prompts.is_empty() || request.samples_per_group == 0 {
            return Err(Refusal::new(
                ErrorKind::BadRequest,
                "the step asks for no samples",
            ));
        }
        let known = self.steps.get(&request.step).map(|state| &state.request);
        let known = known.or_else(|| {
            self.pending_steps
                .iter()
                .find(|step| step.step == request.step)
        });
        match known {
            Some(known) if *known == request => {}
            Some(_) => {
                let message = format!("step {} was opened with other content", request.step);
                return Err(Refusal::new(ErrorKind::IdReused, message));
            }
            None => self.pending_steps.push(request),
        }
        Ok(self.commit_number_due())
    }

    /// Notes what the trainer has taken over, and returns the number of the
    /// commit that makes it last.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] if the cursor has not been reached yet, or if
    /// the weights version goes back.
    pub fn acknowledge(&mut self, ack: Acknowledge) -> Result<u64, Refusal> {
        if ack.cursor > self.head.next_cursor {
            return Err(Refusal::new(
                ErrorKind::BadRequest,
                "the cursor has not been reached",
            ));
        }
        self.check_version(ack.weights_version)?;
        let known = self
            .pending_ack
            .as_ref()
            .map_or(self.head.acknowledged_cursor, |ack| ack.cursor);
        let cursor = ack.cursor.max(known);
        self.pending_ack = Some(Acknowledge { cursor, ..ack });
        Ok(self.commit_number_due())
    }

    fn check_version(&self, weights_version: u64) -> Result<(), Refusal> {
        if weights_version < self.head.weights_version {
            let message = format!(
                "the trainer's weights version {weights_version} is behind {}",
                self.head.weights_version
            );
            return Err(Refusal::new(ErrorKind::BadRequest, message));
        }
        Ok(())
    }

    const fn commit_number_due(&self) -> u64 {
        if self.is_committing {
            self.head.commit + 2
        } else {
            self.head.commit + 1
        }
    }

    /// Returns the number of the last commit that took effect.
    #[must_use]
    pub const fn committed(&self) -> u64 {
        self.head.commit
    }

    /// Returns the cursor before which every sample is the trainer's.
    #[must_use]
    pub const fn acknowledged_cursor(&self) -> u64 {
        self.head.acknowledged_cursor
    }

    /// Takes up to `limit` slots for which a sample is to be generated now.
    pub fn take_wanted(&mut self, limit: usize) -> Vec<Slot> {
        self.take_wanted_until(u64::MAX, limit)
    }

    /// Returns the first open step that has samples from this cursor on, or
    /// none yet.
    #[must_use]
    pub fn next_step(&self, taken_cursor: u64) -> Option<u64> {
        let mut steps = self.steps.iter();
        let next = steps.find(|(_, step)| !step.is_delivered(taken_cursor));
        next.map(|(number, _)| *number)
    }

    /// Returns whether a slot of the steps up to `last_step` is still to be
    /// generated for.
    #[must_use]
    pub fn has_wanted_until(&self, last_step: u64) -> bool {
        self.steps
            .range(..=last_step)
            .flat_map(|(_, step)| step.slots.values())
            .any(|state| *state == SlotState::Open)
    }

    /// Takes up to `limit` slots of steps up to `last_step`, oldest step first.
    pub fn take_wanted_until(&mut self, last_step: u64, limit: usize) -> Vec<Slot> {
        let open = self
            .steps
            .range_mut(..=last_step)
            .flat_map(|(_, step)| step.slots.iter_mut())
            .filter(|(_, state)| **state == SlotState::Open);
        open.take(limit)
            .map(|(slot, state)| {
                *state = SlotState::Generating;
                *slot
            })
            .collect()
    }

    /// Returns the step that a slot belongs to.
    #[must_use]
    pub fn step(&self, step: u64) -> Option<&OpenStep> {
        Some(&self.steps.get(&step)?.request)
    }

    /// Notes that no sample came of a slot that was taken.
    pub fn on_generation_failed(&mut self, slot: Slot) {
        if let Some(state @ SlotState::Generating) = self.slot_mut(slot) {
            *state = SlotState::Open;
        }
    }

    /// Takes a generated sample, and says whether its slot had room for it.
    pub fn on_sample(&mut self, sample: Sample) -> bool {
        let is_once = guard::is_on(Guard::SlotOnce);
        let Some(state) = self.slot_mut(sample.slot) else {
            return false;
        };
        let has_room = matches!(state, SlotState::Open | SlotState::Generating);
        if !has_room && is_once {
            return false;
        }
        *state = SlotState::Buffered;
        self.buffer.push(Arc::new(sample));
        true
    }

    /// Returns the next commit, unless one is under way or nothing is to be written.
    pub fn begin_commit(&mut self) -> Option<CommitPlan> {
        let has_work = self.must_claim
            || !self.buffer.is_empty()
            || !self.pending_steps.is_empty()
            || self.pending_ack.is_some();
        if self.is_committing || !has_work {
            return None;
        }
        self.is_committing = true;
        let mut head = Head {
            fence: self.fence,
            commit: self.head.commit + 1,
            ..self.head.clone()
        };
        let mut writes = Vec::new();
        let dropped = self.plan_acknowledge(&mut head, &mut writes);
        for step in &self.pending_steps {
            head.steps.insert(step.step);
            head.weights_version = head.weights_version.max(step.weights_version);
            writes.push(write(self.step_key(step.step), step));
        }
        let (payload, samples) = self.plan_samples(&mut head, &mut writes);
        writes.push(write(self.head_key(), &head));
        let check = Check {
            key: self.head_key(),
            row_version: self.row_version,
        };
        let checks = if guard::is_on(Guard::ManifestCompareAndSet) {
            vec![check]
        } else {
            Vec::new()
        };
        Some(CommitPlan {
            commit: head.commit,
            payload,
            transaction: Transaction { checks, writes },
            head,
            samples,
            dropped,
        })
    }

    fn plan_acknowledge(&self, head: &mut Head, writes: &mut Vec<Write>) -> BTreeSet<u64> {
        let Some(ack) = self.pending_ack else {
            return BTreeSet::new();
        };
        head.acknowledged_cursor = ack.cursor;
        head.weights_version = head.weights_version.max(ack.weights_version);
        let done = self
            .steps
            .iter()
            .filter(|(_, step)| step.is_delivered(ack.cursor))
            .map(|(number, _)| *number);
        let dropped: BTreeSet<u64> = done.collect();
        for step in &dropped {
            head.steps.remove(step);
            writes.push(delete(self.step_key(*step)));
        }
        if head.steps.is_empty() {
            let spent = self
                .chunk_rows
                .iter()
                .filter(|(_, end)| **end <= ack.cursor);
            writes.extend(spent.map(|(number, _)| delete(self.chunk_key(*number))));
        }
        dropped
    }

    fn plan_samples(
        &mut self,
        head: &mut Head,
        writes: &mut Vec<Write>,
    ) -> (Option<Payload>, Vec<Arc<Sample>>) {
        let count = self.buffer.len().min(MAX_SAMPLES_PER_COMMIT);
        if count == 0 {
            return (None, Vec::new());
        }
        let samples: Vec<_> = self.buffer.drain(..count).collect();
        let bytes = rmp_serde::to_vec_named(&samples).unwrap_or_default();
        let payload = Payload {
            object: object_name(&self.trainer, &bytes),
            bytes,
        };
        let row = ChunkRow {
            first_cursor: head.next_cursor,
            object: payload.object.clone(),
            samples: samples.iter().map(|sample| logged(sample)).collect(),
        };
        writes.push(write(self.chunk_key(head.next_chunk), &row));
        head.next_chunk += 1;
        head.next_cursor += count as u64;
        (Some(payload), samples)
    }

    /// Notes that a commit took effect, with the head's new row version.
    pub fn on_committed(&mut self, plan: CommitPlan, row_version: u64) {
        let CommitPlan {
            head,
            samples,
            dropped,
            ..
        } = plan;
        self.is_committing = false;
        self.must_claim = false;
        self.row_version = row_version;
        self.finish_steps(&head, &dropped);
        let first_cursor = head.next_cursor - samples.len() as u64;
        for (cursor, payload) in (first_cursor..).zip(samples) {
            let logged = logged(&payload);
            self.fill(logged.slot, cursor);
            self.log.insert(cursor, Logged { logged, payload });
        }
        if head.next_chunk > self.head.next_chunk {
            self.chunk_rows
                .insert(self.head.next_chunk, head.next_cursor);
        }
        let is_acknowledged = |ack: &mut Acknowledge| {
            ack.cursor <= head.acknowledged_cursor && ack.weights_version <= head.weights_version
        };
        self.pending_ack.take_if(is_acknowledged);
        self.head = head;
        self.drop_stale(self.head.acknowledged_cursor, self.head.weights_version);
    }

    fn finish_steps(&mut self, head: &Head, dropped: &BTreeSet<u64>) {
        for number in dropped {
            self.steps.remove(number);
        }
        let is_opened = |step: &OpenStep| head.steps.contains(&step.step);
        let opened: Vec<_> = self
            .pending_steps
            .extract_if(.., |step| is_opened(step))
            .collect();
        for step in opened {
            self.steps.insert(step.step, StepState::new(step));
        }
        self.log = self.log.split_off(&head.acknowledged_cursor);
        if head.steps.is_empty() {
            self.chunk_rows
                .retain(|_, end| *end > head.acknowledged_cursor);
        }
    }

    /// Notes that a commit is known not to have taken effect.
    pub fn on_not_committed(&mut self, plan: CommitPlan) {
        self.is_committing = false;
        self.buffer.splice(0..0, plan.samples);
    }

    /// Settles a commit whose answer was lost, from the head row as it was read.
    ///
    /// Returns false if another daemon has written the row: this one holds the
    /// ledger no longer.
    pub fn settle(&mut self, plan: CommitPlan, read: Option<&Head>, row_version: u64) -> bool {
        if read == Some(&plan.head) && guard::is_on(Guard::SettleByReading) {
            self.on_committed(plan, row_version);
            return true;
        }
        let is_unchanged = row_version == self.row_version;
        self.on_not_committed(plan);
        is_unchanged
    }

    /// Returns the samples from a cursor on that are fresh enough.
    ///
    /// What is too old for the trainer's version leaves its slot, which is then
    /// generated for again.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] if the cursor was acknowledged or has not been
    /// reached, or if the weights version goes back.
    pub fn fetch(&mut self, fetch: Fetch) -> Result<Fetched, Refusal> {
        self.check_version(fetch.weights_version)?;
        let range = self.head.acknowledged_cursor..=self.head.next_cursor;
        if !range.contains(&fetch.cursor) {
            let message = format!("the cursor {} is not within {range:?}", fetch.cursor);
            return Err(Refusal::new(ErrorKind::BadRequest, message));
        }
        if guard::is_on(Guard::FreshnessAtHandOver) {
            self.drop_stale(fetch.cursor, fetch.weights_version);
        }
        let limit = fetch.limit as usize;
        let due: Vec<_> = self.log.range(fetch.cursor..).take(limit).collect();
        let next_cursor = match due.last() {
            Some((cursor, _)) if due.len() == limit => *cursor + 1,
            _ => self.head.next_cursor,
        };
        let samples = due.iter().map(|(_, entry)| entry.payload.as_ref().clone());
        Ok(Fetched {
            samples: samples.collect(),
            next_cursor,
        })
    }

    fn drop_stale(&mut self, from_cursor: u64, weights_version: u64) {
        let steps = &self.steps;
        let is_stale = |logged: &LoggedSample| {
            steps.get(&logged.slot.step).is_some_and(|step| {
                logged.oldest_version + step.request.staleness_bound < weights_version
            })
        };
        let stale: Vec<(u64, Slot)> = self
            .log
            .range(from_cursor..)
            .filter(|(_, entry)| is_stale(&entry.logged))
            .map(|(cursor, entry)| (*cursor, entry.logged.slot))
            .collect();
        for (cursor, slot) in stale {
            self.log.remove(&cursor);
            if let Some(state) = self.slot_mut(slot) {
                *state = SlotState::Open;
            }
        }
    }

    fn head_key(&self) -> Arc<str> {
        head_key(&self.trainer)
    }

    fn step_key(&self, step: u64) -> Arc<str> {
        format!("{}{step:020}", steps_prefix(&self.trainer)).into()
    }

    fn chunk_key(&self, chunk: u64) -> Arc<str> {
        format!("{}{chunk:020}", chunks_prefix(&self.trainer)).into()
    }
}

/// Returns the key of a trainer's head row.
#[must_use]
pub fn head_key(trainer: &str) -> Arc<str> {
    format!("trainer/{trainer}/head").into()
}

/// Returns what the keys of a trainer's open steps start with.
#[must_use]
pub fn steps_prefix(trainer: &str) -> Arc<str> {
    format!("trainer/{trainer}/step/").into()
}

/// Returns what the keys of a trainer's chunk rows start with.
#[must_use]
pub fn chunks_prefix(trainer: &str) -> Arc<str> {
    format!("trainer/{trainer}/chunk/").into()
}

fn object_name(trainer: &str, bytes: &[u8]) -> Arc<str> {
    const BYTES: usize = 32;
    let hash = hex_digest(&[bytes], BYTES);
    format!("samples-{trainer}-{hash}").into()
}

fn logged(sample: &Sample) -> LoggedSample {
    let versions = sample.weights.iter().map(|span| span.weights_version);
    LoggedSample {
        slot: sample.slot,
        oldest_version: versions.min().unwrap_or_default(),
    }
}

fn write<T>(key: Arc<str>, value: &T) -> Write
where
    T: serde::Serialize,
{
    Write {
        key,
        value: serde_json::to_value(value).ok(),
    }
}

const fn delete(key: Arc<str>) -> Write {
    Write { key, value: None }
}
