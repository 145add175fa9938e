use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bytes::Bytes;

use super::{
    ChunkRow, DroppedSample, HeadRow, LoggedSample, StepState, Urgency, fetch::LogEntry,
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

/// The maximum number of samples in one step.
const MAX_SAMPLES_PER_STEP: usize = 65_536;
/// No more samples are generated while this many bytes wait to be committed.
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;

/// The stored rows of a ledger, which a new lease holder reads before it starts.
#[derive(Clone, Debug, Default)]
pub struct StoredLedger {
    /// The head row, if it exists. It is read before the other rows.
    pub head: Option<HeadRow>,
    /// The head's row version.
    pub row_version: u64,
    /// The open steps.
    pub steps: Vec<OpenStep>,
    /// The chunk rows with their numbers, in ascending order.
    pub chunks: Vec<(u64, ChunkRow)>,
}

/// A generated sample that is not committed yet.
#[derive(Clone, Debug)]
pub struct UncommittedSample {
    pub(super) logged: LoggedSample,
    pub(super) bytes: Bytes,
}

impl UncommittedSample {
    /// Encodes a sample in the form in which it is stored and delivered.
    ///
    /// Returns `None` if it cannot be encoded as JSON, which no sample of an
    /// engine causes.
    #[must_use]
    pub fn try_new(sample: &Sample) -> Option<Self> {
        let bytes = serde_json::to_vec(sample).ok()?;
        Some(Self {
            logged: LoggedSample::new(sample),
            bytes: bytes.into(),
        })
    }

    /// Returns the size of the encoded sample.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the slot that the sample was generated for.
    #[must_use]
    pub const fn slot(&self) -> Slot {
        self.logged.slot
    }
}

/// What [`Ledger::on_sample`] did with a sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleOutcome {
    /// The sample is buffered until it is committed.
    Buffered,
    /// The sample is too old for the trainer. Its slot stays unfilled.
    Stale,
    /// The sample's slot is filled already or does not exist.
    NoOpenSlot,
}

/// The samples of one trainer: the slots to fill, the committed samples and what
/// the trainer has acknowledged.
///
/// A sample is delivered only once the table lists it. All changes go through
/// one row, the head, by compare-and-set, so that of two daemons that both
/// believe they hold the lease only one can continue. A new holder serves
/// nothing before its first commit has taken effect, because only that commit
/// confirms that the rows it read are the current ones.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(super) trainer: Name,
    pub(super) fence: u64,
    pub(super) head: HeadRow,
    pub(super) row_version: u64,
    pub(super) steps: BTreeMap<u64, StepState>,
    pub(super) open_slots: BTreeSet<Slot>,
    pub(super) log: BTreeMap<u64, LogEntry>,
    pub(super) chunks: BTreeMap<u64, Chunk>,
    pub(super) buffer: Vec<UncommittedSample>,
    pub(super) buffered_bytes: usize,
    pub(super) pending: PendingChanges,
    pub(super) weights_version: u64,
    /// The cursor of the last fetch; no payload before it is cached.
    pub(super) fetch_cursor: u64,
    pub(super) cached_bytes: usize,
    /// Objects that no row lists any more and that can be deleted.
    pub(super) unreferenced_objects: Vec<Arc<str>>,
    /// The number of the last change to be committed.
    pub(super) last_change: u64,
    pub(super) last_committed_change: u64,
    pub(super) is_committing: bool,
    /// Whether a commit of this holder has taken effect.
    pub(super) is_claimed: bool,
}

/// The changes for the next commit, besides new samples.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingChanges {
    pub(super) steps: Vec<OpenStep>,
    pub(super) ack: Option<Acknowledge>,
    pub(super) drops: BTreeMap<u64, Slot>,
}

/// The parts of a chunk row that are kept in memory.
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
    /// Creates a ledger from the rows that are stored in the table.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotHolder`] if the head was written under a later fencing
    /// number, which means that the lease was lost while the rows were read.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::sample::{HeadRow, Ledger, StoredLedger};
    ///
    /// assert!(Ledger::try_new("pricing".into(), 1, StoredLedger::default()).is_ok());
    /// let head = Some(HeadRow { fence: 2, ..HeadRow::default() });
    /// let stored = StoredLedger { head, row_version: 5, ..StoredLedger::default() };
    /// assert!(Ledger::try_new("pricing".into(), 1, stored).is_err());
    /// ```
    pub fn try_new(trainer: Name, fence: u64, stored: StoredLedger) -> Result<Self, Refusal> {
        let head = stored.head.unwrap_or_default();
        if head.fence > fence {
            let latest = head.fence;
            let message =
                format!("the ledger of '{trainer}' has fencing number {latest}, not {fence}");
            return Err(Refusal::new(ErrorKind::NotHolder, message));
        }
        let steps = stored.steps.into_iter();
        let mut ledger = Self {
            trainer,
            fence,
            row_version: stored.row_version,
            steps: steps
                .map(|step| (step.step, StepState::new(step)))
                .collect(),
            open_slots: BTreeSet::new(),
            log: BTreeMap::new(),
            chunks: BTreeMap::new(),
            buffer: Vec::new(),
            buffered_bytes: 0,
            pending: PendingChanges::default(),
            weights_version: head.weights_version,
            fetch_cursor: head.acknowledged_cursor,
            cached_bytes: 0,
            unreferenced_objects: Vec::new(),
            last_change: 0,
            last_committed_change: 0,
            is_committing: false,
            is_claimed: !guard::is_on(Guard::ClaimBeforeServing),
            head,
        };
        for (number, row) in stored.chunks {
            ledger.load_chunk(number, &row);
        }
        ledger.collect_open_slots();
        Ok(ledger)
    }

    fn load_chunk(&mut self, number: u64, row: &ChunkRow) {
        for dropped in &row.dropped {
            self.apply_drop(*dropped);
        }
        for (cursor, logged) in (row.first_cursor..).zip(&row.samples) {
            self.fill_slot(logged.slot, cursor);
            let is_unacknowledged = cursor >= self.head.acknowledged_cursor;
            if is_unacknowledged && self.steps.contains_key(&logged.slot.step) {
                self.log.insert(cursor, LogEntry::stored(*logged, number));
            }
        }
        self.chunks.insert(number, Chunk::new(row));
    }

    fn collect_open_slots(&mut self) {
        let slots = self.steps.values().flat_map(StepState::slots);
        let open = slots.filter(|slot| self.slot_state(*slot) == Some(SlotState::Open));
        self.open_slots = open.collect();
    }

    pub(super) fn slot_state(&self, slot: Slot) -> Option<SlotState> {
        self.steps.get(&slot.step)?.state(slot)
    }

    pub(super) fn set_slot_state(&mut self, slot: Slot, state: SlotState) {
        let Some(step) = self.steps.get_mut(&slot.step) else {
            return;
        };
        step.set(slot, state);
        if state == SlotState::Open {
            self.open_slots.insert(slot);
        } else {
            self.open_slots.remove(&slot);
        }
    }

    /// Fills a slot, and removes a sample that filled it before from the log.
    pub(super) fn fill_slot(&mut self, slot: Slot, cursor: u64) {
        if let Some(SlotState::Committed { cursor: earlier }) = self.slot_state(slot) {
            self.remove_from_log(earlier);
        }
        self.set_slot_state(slot, SlotState::Committed { cursor });
    }

    /// Removes a dropped sample from the log, and reopens its slot if the sample
    /// still fills it.
    pub(super) fn apply_drop(&mut self, dropped: DroppedSample) {
        self.remove_from_log(dropped.cursor);
        let cursor = dropped.cursor;
        if self.slot_state(dropped.slot) == Some(SlotState::Committed { cursor }) {
            self.set_slot_state(dropped.slot, SlotState::Open);
        }
    }

    /// Opens a step.
    ///
    /// Returns the number of the change: it is committed once
    /// [`Ledger::last_committed_change`] has reached this number.
    ///
    /// Steps are opened in the order of their numbers. An open step may be opened
    /// again with the same content, also with a later weights version, as a
    /// trainer does when it restarts from its checkpoint. Opening a finished step
    /// changes nothing, because the trainer has acknowledged all of it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::IdReused`] if the step was opened with other content;
    /// [`ErrorKind::BadRequest`] if it asks for no samples or for too many;
    /// [`ErrorKind::PlatformUnavailable`] before this holder's first commit.
    pub fn open_step(&mut self, request: OpenStep) -> Result<u64, Refusal> {
        self.check_claimed()?;
        check_size(&request)?;
        let pending = self.pending.steps.iter();
        let mut pending = pending.filter(|step| step.step == request.step);
        if let Some(known) = pending.next() {
            check_content(known, &request)?;
            return Ok(self.last_change);
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
        Ok(self.count_change())
    }

    pub(super) fn check_claimed(&self) -> Result<(), Refusal> {
        if self.is_claimed {
            return Ok(());
        }
        let message = format!("the ledger of '{}' is being taken over", self.trainer);
        Err(Refusal::new(ErrorKind::PlatformUnavailable, message))
    }

    pub(super) const fn count_change(&mut self) -> u64 {
        self.last_change += 1;
        self.last_change
    }

    /// Records what the trainer has acknowledged.
    ///
    /// Returns the number of the change: it is committed once
    /// [`Ledger::last_committed_change`] has reached this number.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] if the cursor is after the next one, or if the
    /// weights version decreases; [`ErrorKind::PlatformUnavailable`] before this
    /// holder's first commit.
    pub fn acknowledge(&mut self, ack: Acknowledge) -> Result<u64, Refusal> {
        self.check_claimed()?;
        if ack.cursor > self.head.next_cursor {
            let message = format!(
                "the acknowledged cursor {} is after the next cursor {}",
                ack.cursor, self.head.next_cursor
            );
            return Err(Refusal::new(ErrorKind::BadRequest, message));
        }
        self.update_weights_version(ack.weights_version)?;
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
        Ok(self.count_change())
    }

    /// Updates the trainer's weights version, which never decreases: a trainer
    /// that restarts publishes its weights under a new number.
    pub(super) fn update_weights_version(&mut self, weights_version: u64) -> Result<(), Refusal> {
        if weights_version < self.weights_version {
            let message = format!(
                "the trainer's weights version {weights_version} is older than {}",
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

    /// Returns the number up to which all changes are committed.
    #[must_use]
    pub const fn last_committed_change(&self) -> u64 {
        self.last_committed_change
    }

    /// Returns the cursor before which the trainer has acknowledged every sample.
    #[must_use]
    pub const fn acknowledged_cursor(&self) -> u64 {
        self.head.acknowledged_cursor
    }

    /// Takes up to `limit` open slots, for which the caller generates samples.
    ///
    /// Returns no slots while too many bytes wait to be committed.
    pub fn take_open_slots(&mut self, limit: usize) -> Vec<Slot> {
        self.take_open_slots_until(u64::MAX, limit)
    }

    /// Returns the first open step that is not entirely filled by samples before
    /// this cursor, if there is one.
    #[must_use]
    pub fn first_undelivered_step(&self, cursor: u64) -> Option<u64> {
        let mut steps = self.steps.iter();
        let next = steps.find(|(_, step)| !step.is_delivered(cursor));
        next.map(|(number, _)| *number)
    }

    /// Returns whether the steps up to `last_step` have an open slot.
    #[must_use]
    pub fn has_open_slots_until(&self, last_step: u64) -> bool {
        self.open_slots
            .first()
            .is_some_and(|slot| slot.step <= last_step)
    }

    /// Takes up to `limit` open slots of the steps up to `last_step`, lowest step
    /// first.
    ///
    /// Returns no slots while too many bytes wait to be committed.
    pub fn take_open_slots_until(&mut self, last_step: u64, limit: usize) -> Vec<Slot> {
        let mut taken = Vec::new();
        while taken.len() < limit && self.buffered_bytes < MAX_BUFFERED_BYTES {
            let first = self.open_slots.first().copied();
            let Some(slot) = first.filter(|slot| slot.step <= last_step) else {
                break;
            };
            self.set_slot_state(slot, SlotState::Generating);
            taken.push(slot);
        }
        taken
    }

    /// Returns the open step with this number.
    #[must_use]
    pub fn step(&self, number: u64) -> Option<&OpenStep> {
        Some(&self.steps.get(&number)?.request)
    }

    /// Marks an open slot as generating: an earlier ledger of this daemon took it,
    /// and its sample is still being generated.
    pub fn mark_generating(&mut self, slot: Slot) {
        if self.slot_state(slot) == Some(SlotState::Open) {
            self.set_slot_state(slot, SlotState::Generating);
        }
    }

    /// Reopens a slot that was taken, after its generation failed.
    pub fn on_generation_failed(&mut self, slot: Slot) {
        if self.slot_state(slot) == Some(SlotState::Generating) {
            self.set_slot_state(slot, SlotState::Open);
        }
    }

    /// Buffers a generated sample, unless it is stale or its slot is filled.
    ///
    /// The sample may also be one that an earlier ledger of this daemon could not
    /// commit.
    pub fn on_sample(&mut self, sample: UncommittedSample) -> SampleOutcome {
        let slot = sample.slot();
        let is_accepted = match self.slot_state(slot) {
            Some(SlotState::Open | SlotState::Generating) => true,
            Some(_) => !guard::is_on(Guard::SlotOnce),
            None => false,
        };
        if !is_accepted {
            return SampleOutcome::NoOpenSlot;
        }
        if self.is_stale(&sample.logged) {
            return SampleOutcome::Stale;
        }
        self.set_slot_state(slot, SlotState::Buffered);
        self.buffered_bytes += sample.bytes.len();
        self.buffer.push(sample);
        SampleOutcome::Buffered
    }

    pub(super) fn is_stale(&self, logged: &LoggedSample) -> bool {
        self.steps.get(&logged.slot.step).is_some_and(|step| {
            logged.oldest_version + step.request.staleness_bound < self.weights_version
        })
    }

    /// Returns how long the next commit may wait, or `None` if there is nothing to
    /// commit.
    #[must_use]
    pub fn urgency(&self) -> Option<Urgency> {
        let ack = self.pending.ack.map(|ack| ack.cursor);
        let is_step_complete =
            !self.buffer.is_empty() && self.steps.values().any(StepState::is_awaiting_commit);
        let ends_step =
            ack.is_some_and(|cursor| self.steps.values().any(|step| step.is_delivered(cursor)));
        let is_urgent = !self.is_claimed
            || !self.pending.steps.is_empty()
            || !self.pending.drops.is_empty()
            || is_step_complete
            || ends_step;
        if is_urgent {
            Some(Urgency::Now)
        } else if !self.buffer.is_empty() || ack.is_some() {
            Some(Urgency::Paced)
        } else {
            None
        }
    }

    /// Returns the samples that were not committed, for the next ledger of this
    /// daemon.
    #[must_use]
    pub fn into_uncommitted(self) -> Vec<UncommittedSample> {
        if guard::is_on(Guard::KeepUncommitted) {
            self.buffer
        } else {
            Vec::new()
        }
    }

    /// Takes the names of the objects that no row lists any more.
    pub fn take_unreferenced_objects(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.unreferenced_objects)
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
    let message = format!(
        "step {} asks for {samples} samples, not 1 to {MAX_SAMPLES_PER_STEP}",
        request.step
    );
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
