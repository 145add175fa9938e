use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bytes::Bytes;

use super::{
    ChunkRow, DroppedSample, HeadRow, LoggedSample, StepState, Urgency, hand_over::Logged,
    step::SlotState,
};
use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    error::{ErrorKind, Refusal},
    wire::trainers::{Acknowledge, OpenStep, Sample, Slot},
};

/// The most samples of one step.
const MAX_SAMPLES_PER_STEP: usize = 65_536;
/// How many bytes may wait to be committed before no more is generated.
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;

/// What a new holder of the lease reads before it starts.
#[derive(Clone, Debug, Default)]
pub struct StoredLedger {
    /// The head row, if there is one; it is read first.
    pub head: Option<HeadRow>,
    /// Its row version.
    pub row_version: u64,
    /// The open steps.
    pub steps: Vec<OpenStep>,
    /// The chunk rows by their numbers, in their order.
    pub chunks: Vec<(u64, ChunkRow)>,
}

/// A sample that no commit has made last yet.
#[derive(Clone, Debug)]
pub struct UncommittedSample {
    pub(super) logged: LoggedSample,
    pub(super) bytes: Bytes,
}

impl UncommittedSample {
    /// Encodes a sample as it is kept and handed over; none if it has no JSON
    /// form, which no sample of an engine lacks.
    #[must_use]
    pub fn try_new(sample: &Sample) -> Option<Self> {
        let bytes = serde_json::to_vec(sample).ok()?;
        Some(Self {
            logged: LoggedSample::new(sample),
            bytes: bytes.into(),
        })
    }

    /// Returns how many bytes the sample has.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the slot that the sample was made for.
    #[must_use]
    pub const fn slot(&self) -> Slot {
        self.logged.slot
    }
}

/// What became of a sample that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleOutcome {
    /// It waits to be committed.
    Buffered,
    /// It is too old for the trainer already; its slot is still to be filled.
    Stale,
    /// Its slot is filled, or there is no such slot.
    NoOpenSlot,
}

/// The samples of one trainer: which are wanted, which are committed, which
/// the trainer has taken.
///
/// A sample is delivered only once the table lists it. All changes go through
/// one row, the head, by compare-and-set, so that of two daemons that both
/// believe they hold the lease only one goes on. A new holder serves nothing
/// before its first commit took effect: by that it knows that what it has read
/// is what stands.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(super) trainer: Name,
    pub(super) fence: u64,
    pub(super) head: HeadRow,
    pub(super) row_version: u64,
    pub(super) steps: BTreeMap<u64, StepState>,
    pub(super) wanted: BTreeSet<Slot>,
    pub(super) log: BTreeMap<u64, Logged>,
    pub(super) chunks: BTreeMap<u64, Chunk>,
    pub(super) buffer: Vec<UncommittedSample>,
    pub(super) buffered_bytes: usize,
    pub(super) pending: Pending,
    pub(super) weights_version: u64,
    pub(super) held_from: u64,
    pub(super) held_bytes: usize,
    pub(super) spent_objects: Vec<Arc<str>>,
    pub(super) changes: u64,
    pub(super) last_committed_change: u64,
    pub(super) is_committing: bool,
    pub(super) is_claimed: bool,
}

/// What the next commit makes last, besides samples.
#[derive(Clone, Debug, Default)]
pub(super) struct Pending {
    pub(super) steps: Vec<OpenStep>,
    pub(super) ack: Option<Acknowledge>,
    pub(super) drops: BTreeMap<u64, Slot>,
}

/// What is known of a chunk row.
#[derive(Clone, Debug)]
pub(super) struct Chunk {
    pub(super) first_cursor: u64,
    pub(super) end_cursor: u64,
    pub(super) object: Option<Arc<str>>,
    pub(super) steps: BTreeSet<u64>,
}

impl Chunk {
    pub(super) fn new(row: &ChunkRow) -> Self {
        let sampled = row.samples.iter().map(|logged| logged.slot.step);
        let dropped = row.dropped.iter().map(|dropped| dropped.slot.step);
        Self {
            first_cursor: row.first_cursor,
            end_cursor: row.first_cursor + row.samples.len() as u64,
            object: row.object.clone(),
            steps: sampled.chain(dropped).collect(),
        }
    }
}

impl Ledger {
    /// Goes on from what the table holds.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotHolder`] if the table was written under a later fencing
    /// number: the lease was lost while the rows were read.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::sample::{HeadRow, Ledger, StoredLedger};
    ///
    /// assert!(Ledger::try_new("pricing".into(), 1, StoredLedger::default()).is_ok());
    /// let head = Some(HeadRow { fence: 2, ..HeadRow::default() });
    /// let loaded = StoredLedger { head, row_version: 5, ..StoredLedger::default() };
    /// assert!(Ledger::try_new("pricing".into(), 1, loaded).is_err());
    /// ```
    pub fn try_new(trainer: Name, fence: u64, loaded: StoredLedger) -> Result<Self, Refusal> {
        let head = loaded.head.unwrap_or_default();
        if head.fence > fence {
            let message = format!("the ledger was written under lease {}", head.fence);
            return Err(Refusal::new(ErrorKind::NotHolder, message));
        }
        let steps = loaded.steps.into_iter();
        let mut ledger = Self {
            trainer,
            fence,
            row_version: loaded.row_version,
            steps: steps
                .map(|step| (step.step, StepState::new(step)))
                .collect(),
            wanted: BTreeSet::new(),
            log: BTreeMap::new(),
            chunks: BTreeMap::new(),
            buffer: Vec::new(),
            buffered_bytes: 0,
            pending: Pending::default(),
            weights_version: head.weights_version,
            held_from: head.acknowledged_cursor,
            held_bytes: 0,
            spent_objects: Vec::new(),
            changes: 0,
            last_committed_change: 0,
            is_committing: false,
            is_claimed: !guard::is_on(Guard::ClaimBeforeServing),
            head,
        };
        for (number, row) in loaded.chunks {
            ledger.load_chunk(number, &row);
        }
        ledger.want_open_slots();
        Ok(ledger)
    }

    fn load_chunk(&mut self, number: u64, row: &ChunkRow) {
        for dropped in &row.dropped {
            self.apply_drop(*dropped);
        }
        for (cursor, logged) in (row.first_cursor..).zip(&row.samples) {
            self.fill(logged.slot, cursor);
            let is_due = cursor >= self.head.acknowledged_cursor;
            if is_due && self.steps.contains_key(&logged.slot.step) {
                self.log.insert(cursor, Logged::stored(*logged, number));
            }
        }
        self.chunks.insert(number, Chunk::new(row));
    }

    fn want_open_slots(&mut self) {
        let slots = self.steps.values().flat_map(StepState::slots);
        let open = slots.filter(|slot| self.state(*slot) == Some(SlotState::Open));
        self.wanted = open.collect();
    }

    pub(super) fn state(&self, slot: Slot) -> Option<SlotState> {
        self.steps.get(&slot.step)?.state(slot)
    }

    pub(super) fn set(&mut self, slot: Slot, state: SlotState) {
        let Some(step) = self.steps.get_mut(&slot.step) else {
            return;
        };
        step.set(slot, state);
        if state == SlotState::Open {
            self.wanted.insert(slot);
        } else {
            self.wanted.remove(&slot);
        }
    }

    /// Fills a slot; a sample that filled it before leaves the log.
    pub(super) fn fill(&mut self, slot: Slot, cursor: u64) {
        if let Some(SlotState::Committed { cursor: earlier }) = self.state(slot) {
            self.forget(earlier);
        }
        self.set(slot, SlotState::Committed { cursor });
    }

    /// Empties a slot that is still filled by the sample that was dropped.
    pub(super) fn apply_drop(&mut self, dropped: DroppedSample) {
        self.forget(dropped.cursor);
        let cursor = dropped.cursor;
        if self.state(dropped.slot) == Some(SlotState::Committed { cursor }) {
            self.set(dropped.slot, SlotState::Open);
        }
    }

    /// Opens a step, and returns the number of the change, which
    /// [`Ledger::last_committed_change`] reaches when it has been made last.
    ///
    /// Steps are opened in the order of their numbers. A step that is open may
    /// be opened again with the same content, also with later weights, as a
    /// trainer does that starts again from its checkpoint. Opening a step that is
    /// finished changes nothing: the trainer has acknowledged all of it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::IdReused`] if the step was opened with other content;
    /// [`ErrorKind::BadRequest`] if it asks for no samples or for too
    /// many; [`ErrorKind::PlatformUnavailable`] before this holder's first commit.
    pub fn open_step(&mut self, request: OpenStep) -> Result<u64, Refusal> {
        self.check_claimed()?;
        check_size(&request)?;
        let pending = self.pending.steps.iter();
        let mut pending = pending.filter(|step| step.step == request.step);
        if let Some(known) = pending.next() {
            check_content(known, &request)?;
            return Ok(self.changes);
        }
        if let Some(state) = self.steps.get(&request.step) {
            check_content(&state.request, &request)?;
            self.weights_version = self.weights_version.max(request.weights_version);
            return Ok(0);
        }
        let last = self.pending.steps.iter().map(|step| step.step).max();
        let is_new = last.max(self.head.last_step) < Some(request.step);
        if !is_new && guard::is_on(Guard::StepOnce) {
            return Ok(0);
        }
        self.weights_version = self.weights_version.max(request.weights_version);
        self.pending.steps.push(request);
        Ok(self.note_change())
    }

    pub(super) fn check_claimed(&self) -> Result<(), Refusal> {
        if self.is_claimed {
            return Ok(());
        }
        let message = "the ledger is being taken over";
        Err(Refusal::new(ErrorKind::PlatformUnavailable, message))
    }

    pub(super) const fn note_change(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }

    /// Notes what the trainer has taken over, and returns the number of the
    /// change, which [`Ledger::last_committed_change`] reaches when it has been made last.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] if the cursor has not been reached yet, or if
    /// the weights version goes back; [`ErrorKind::PlatformUnavailable`] before
    /// this holder's first commit.
    pub fn acknowledge(&mut self, ack: Acknowledge) -> Result<u64, Refusal> {
        self.check_claimed()?;
        if ack.cursor > self.head.next_cursor {
            return Err(Refusal::new(
                ErrorKind::BadRequest,
                "the cursor has not been reached",
            ));
        }
        self.note_version(ack.weights_version)?;
        let is_known = ack.cursor <= self.head.acknowledged_cursor
            && ack.weights_version <= self.head.weights_version;
        if is_known {
            return Ok(0);
        }
        let cursor = self.pending.ack.map_or(0, |pending| pending.cursor);
        self.pending.ack = Some(Acknowledge {
            cursor: ack.cursor.max(cursor).max(self.head.acknowledged_cursor),
            ..ack
        });
        Ok(self.note_change())
    }

    /// Notes the trainer's weights version, which never goes back: a trainer
    /// that starts again publishes under a number of its own.
    pub(super) fn note_version(&mut self, weights_version: u64) -> Result<(), Refusal> {
        if weights_version < self.weights_version {
            let message = format!(
                "the trainer's weights version {weights_version} is behind {}",
                self.weights_version
            );
            return Err(Refusal::new(ErrorKind::BadRequest, message));
        }
        self.weights_version = weights_version;
        Ok(())
    }

    /// Returns how many commits have taken effect.
    #[must_use]
    pub const fn commits(&self) -> u64 {
        self.head.commit
    }

    /// Returns up to which number all changes have been made last.
    #[must_use]
    pub const fn last_committed_change(&self) -> u64 {
        self.last_committed_change
    }

    /// Returns the cursor before which every sample is the trainer's.
    #[must_use]
    pub const fn acknowledged_cursor(&self) -> u64 {
        self.head.acknowledged_cursor
    }

    /// Takes up to `limit` slots for which a sample is to be generated now;
    /// none while too much waits to be committed.
    pub fn take_open_slots(&mut self, limit: usize) -> Vec<Slot> {
        self.take_open_slots_until(u64::MAX, limit)
    }

    /// Returns the first open step that has samples from this cursor on, or
    /// none yet.
    #[must_use]
    pub fn first_undelivered_step(&self, taken_cursor: u64) -> Option<u64> {
        let mut steps = self.steps.iter();
        let next = steps.find(|(_, step)| !step.is_delivered(taken_cursor));
        next.map(|(number, _)| *number)
    }

    /// Returns whether a slot of the steps up to `last_step` is still to be
    /// generated for.
    #[must_use]
    pub fn has_open_slots_until(&self, last_step: u64) -> bool {
        self.wanted
            .first()
            .is_some_and(|slot| slot.step <= last_step)
    }

    /// Takes up to `limit` slots of steps up to `last_step`, oldest step
    /// first; none while too much waits to be committed.
    pub fn take_open_slots_until(&mut self, last_step: u64, limit: usize) -> Vec<Slot> {
        let mut taken = Vec::new();
        while taken.len() < limit && self.buffered_bytes < MAX_BUFFERED_BYTES {
            let first = self.wanted.first().copied();
            let Some(slot) = first.filter(|slot| slot.step <= last_step) else {
                break;
            };
            self.set(slot, SlotState::Generating);
            taken.push(slot);
        }
        taken
    }

    /// Returns the step that a slot belongs to.
    #[must_use]
    pub fn step(&self, step: u64) -> Option<&OpenStep> {
        Some(&self.steps.get(&step)?.request)
    }

    /// Notes that a sample for a slot is being generated already, which an
    /// earlier ledger of this daemon took.
    pub fn mark_generating(&mut self, slot: Slot) {
        if self.state(slot) == Some(SlotState::Open) {
            self.set(slot, SlotState::Generating);
        }
    }

    /// Notes that no sample came of a slot that was taken.
    pub fn on_generation_failed(&mut self, slot: Slot) {
        if self.state(slot) == Some(SlotState::Generating) {
            self.set(slot, SlotState::Open);
        }
    }

    /// Takes a generated sample, also one that an earlier ledger of this daemon
    /// could not commit, and says what became of it.
    pub fn on_sample(&mut self, sample: UncommittedSample) -> SampleOutcome {
        let slot = sample.slot();
        let has_room = match self.state(slot) {
            Some(SlotState::Open | SlotState::Generating) => true,
            Some(_) => !guard::is_on(Guard::SlotOnce),
            None => false,
        };
        if !has_room {
            return SampleOutcome::NoOpenSlot;
        }
        if self.is_stale(&sample.logged) {
            return SampleOutcome::Stale;
        }
        self.set(slot, SlotState::Buffered);
        self.buffered_bytes += sample.bytes.len();
        self.buffer.push(sample);
        SampleOutcome::Buffered
    }

    pub(super) fn is_stale(&self, logged: &LoggedSample) -> bool {
        self.steps.get(&logged.slot.step).is_some_and(|step| {
            logged.oldest_version + step.request.staleness_bound < self.weights_version
        })
    }

    /// Returns how long what is to be committed may wait, if there is anything.
    #[must_use]
    pub fn urgency(&self) -> Option<Urgency> {
        let ack = self.pending.ack.map(|ack| ack.cursor);
        let is_ending =
            !self.buffer.is_empty() && self.steps.values().any(StepState::is_awaiting_commit);
        let ends_step =
            ack.is_some_and(|cursor| self.steps.values().any(|step| step.is_delivered(cursor)));
        let is_urgent = !self.is_claimed
            || !self.pending.steps.is_empty()
            || !self.pending.drops.is_empty()
            || is_ending
            || ends_step;
        if is_urgent {
            Some(Urgency::Now)
        } else if !self.buffer.is_empty() || ack.is_some() {
            Some(Urgency::Paced)
        } else {
            None
        }
    }

    /// Returns what was not committed, for the next ledger of this daemon.
    #[must_use]
    pub fn into_uncommitted(self) -> Vec<UncommittedSample> {
        if guard::is_on(Guard::KeepUncommitted) {
            self.buffer
        } else {
            Vec::new()
        }
    }

    /// Takes the names of objects that no row lists any more.
    pub fn take_unreferenced_objects(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.spent_objects)
    }
}

fn check_size(request: &OpenStep) -> Result<(), Refusal> {
    let samples = request
        .prompts
        .len()
        .saturating_mul(request.samples_per_group as usize);
    if (1..=MAX_SAMPLES_PER_STEP).contains(&samples) {
        return Ok(());
    }
    let message = format!("the step asks for {samples} samples, not 1 to {MAX_SAMPLES_PER_STEP}");
    Err(Refusal::new(ErrorKind::BadRequest, message))
}

fn check_content(known: &OpenStep, request: &OpenStep) -> Result<(), Refusal> {
    let weights_version = if guard::is_on(Guard::ReopenWithLaterWeights) {
        known.weights_version
    } else {
        request.weights_version
    };
    let request = OpenStep {
        weights_version,
        ..request.clone()
    };
    if *known == request {
        return Ok(());
    }
    let message = format!("step {} was opened with other content", request.step);
    Err(Refusal::new(ErrorKind::IdReused, message))
}
