use std::{collections::BTreeSet, sync::Arc};

use bytes::Bytes;

use super::{
    ChunkRow, DroppedSample, HeadRow, Ledger, StepState, UncommittedSample,
    hand_over::{Logged, MAX_HELD_BYTES, Place},
    keys::{chunk_key, head_key, object_name, step_key},
    ledger::Chunk,
};
use crate::{
    core::{
        digest::hex_digest,
        guard::{self, Guard},
    },
    wire::{
        platform::{Check, Transaction, Write},
        trainers::OpenStep,
    },
};

/// The most samples of one commit.
const MAX_SAMPLES_PER_COMMIT: usize = 512;
/// The most bytes of samples of one commit.
const MAX_BYTES_PER_COMMIT: usize = 8 * 1024 * 1024;

/// The payloads of one commit, as they stand in the object store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Payload {
    /// The object's name, which contains the hash of its content.
    pub object: Arc<str>,
    /// The samples as JSON, one a line.
    pub bytes: Bytes,
}

/// One commit: write the payload, then the transaction.
#[derive(Clone, Debug)]
pub struct CommitPlan {
    /// What goes to the object store first.
    pub payload: Option<Payload>,
    /// What goes to the table then.
    pub transaction: Transaction,
    head: HeadRow,
    row: Option<ChunkRow>,
    samples: Vec<UncommittedSample>,
    closed_steps: BTreeSet<u64>,
    spent_chunks: Vec<u64>,
    changes: u64,
}

impl CommitPlan {
    /// Returns how many samples leave their slots.
    #[must_use]
    pub fn dropped_count(&self) -> usize {
        self.row.as_ref().map_or(0, |row| row.dropped.len())
    }
}

impl Ledger {
    /// Returns the next commit, unless one is under way or nothing is to be written.
    pub fn begin_commit(&mut self) -> Option<CommitPlan> {
        if self.is_committing || self.urgency().is_none() {
            return None;
        }
        self.is_committing = true;
        let mut head = HeadRow {
            fence: self.fence,
            commit: self.head.commit + 1,
            weights_version: self.weights_version.max(self.head.weights_version),
            chunk_hash: Arc::default(),
            ..self.head.clone()
        };
        let mut writes = Vec::new();
        let closed_steps = self.plan_acknowledge(&mut head, &mut writes);
        self.plan_steps(&mut head, &mut writes);
        let spent_chunks = self.plan_spent_chunks(&head, &closed_steps, &mut writes);
        let (payload, row, samples) = self.plan_chunk(&mut head, &mut writes);
        writes.push(write(head_key(&self.trainer), &head));
        Some(CommitPlan {
            payload,
            transaction: Transaction {
                checks: self.checks(),
                writes,
            },
            head,
            row,
            samples,
            closed_steps,
            spent_chunks,
            changes: self.changes,
        })
    }

    fn checks(&self) -> Vec<Check> {
        let check = Check {
            key: head_key(&self.trainer),
            row_version: self.row_version,
        };
        if guard::is_on(Guard::ManifestCompareAndSet) {
            vec![check]
        } else {
            Vec::new()
        }
    }

    fn plan_acknowledge(&self, head: &mut HeadRow, writes: &mut Vec<Write>) -> BTreeSet<u64> {
        let Some(ack) = self.pending.ack else {
            return BTreeSet::new();
        };
        head.acknowledged_cursor = ack.cursor;
        let steps = self.steps.iter();
        let done = steps.filter(|(_, step)| step.is_delivered(ack.cursor));
        let done: BTreeSet<u64> = done.map(|(number, _)| *number).collect();
        for step in &done {
            head.steps.remove(step);
            writes.push(delete(step_key(&self.trainer, *step)));
        }
        done
    }

    fn plan_steps(&self, head: &mut HeadRow, writes: &mut Vec<Write>) {
        for step in &self.pending.steps {
            head.steps.insert(step.step);
            head.last_step = head.last_step.max(Some(step.step));
            head.weights_version = head.weights_version.max(step.weights_version);
            writes.push(write(step_key(&self.trainer, step.step), step));
        }
    }

    /// A chunk row is needed as long as a step is open that it tells of: by it
    /// the next holder knows which slots are filled.
    fn plan_spent_chunks(
        &self,
        head: &HeadRow,
        closed_steps: &BTreeSet<u64>,
        writes: &mut Vec<Write>,
    ) -> Vec<u64> {
        if closed_steps.is_empty() {
            return Vec::new();
        }
        let chunks = self.chunks.iter();
        let spent = chunks.filter(|(_, chunk)| chunk.steps.is_disjoint(&head.steps));
        let spent: Vec<u64> = spent.map(|(number, _)| *number).collect();
        let keys = spent.iter().map(|number| chunk_key(&self.trainer, *number));
        writes.extend(keys.map(delete));
        spent
    }

    fn plan_chunk(
        &mut self,
        head: &mut HeadRow,
        writes: &mut Vec<Write>,
    ) -> (Option<Payload>, Option<ChunkRow>, Vec<UncommittedSample>) {
        let acknowledged_cursor = head.acknowledged_cursor;
        let dropped = self.pending.drops.range(acknowledged_cursor..);
        let dropped = dropped.map(|(cursor, slot)| DroppedSample {
            cursor: *cursor,
            slot: *slot,
        });
        let dropped: Vec<_> = dropped.collect();
        let samples = self.take_buffered(&head.steps);
        if samples.is_empty() && dropped.is_empty() {
            return (None, None, samples);
        }
        let payload = self.payload(head.next_cursor, &samples);
        let row = ChunkRow {
            first_cursor: head.next_cursor,
            object: payload.as_ref().map(|payload| payload.object.clone()),
            samples: samples.iter().map(|sample| sample.logged).collect(),
            dropped,
        };
        let row_write = write(chunk_key(&self.trainer, head.next_chunk), &row);
        head.chunk_hash = hash(&row_write);
        writes.push(row_write);
        head.next_chunk += 1;
        head.next_cursor += samples.len() as u64;
        (payload, Some(row), samples)
    }

    /// Takes what is buffered for steps that stay open; what is buffered for a
    /// step that ends with this commit is one too many.
    fn take_buffered(&mut self, open_steps: &BTreeSet<u64>) -> Vec<UncommittedSample> {
        let mut bytes = 0;
        let mut count = 0;
        self.buffer
            .retain(|sample| open_steps.contains(&sample.slot().step));
        for sample in self.buffer.iter().take(MAX_SAMPLES_PER_COMMIT) {
            if bytes >= MAX_BYTES_PER_COMMIT {
                break;
            }
            bytes += sample.bytes.len();
            count += 1;
        }
        let taken = self.buffer.drain(..count).collect();
        self.count_buffered();
        taken
    }

    fn count_buffered(&mut self) {
        self.buffered_bytes = self.buffer.iter().map(|sample| sample.bytes.len()).sum();
    }

    fn payload(&self, first_cursor: u64, samples: &[UncommittedSample]) -> Option<Payload> {
        if samples.is_empty() {
            return None;
        }
        let lines: Vec<&[u8]> = samples.iter().map(|sample| &sample.bytes[..]).collect();
        let bytes = lines.join(&b'\n');
        Some(Payload {
            object: object_name(&self.trainer, first_cursor, &bytes),
            bytes: bytes.into(),
        })
    }

    /// Notes that a commit took effect, with the head's new row version.
    pub fn on_committed(&mut self, plan: CommitPlan, row_version: u64) {
        self.is_committing = false;
        self.is_claimed = true;
        self.row_version = row_version;
        self.last_committed_change = plan.changes;
        let number = self.head.next_chunk;
        self.head = plan.head;
        self.close_steps(&plan.closed_steps);
        self.remove_chunks(&plan.spent_chunks);
        self.open_pending_steps();
        if let Some(row) = plan.row {
            self.log_chunk(number, &row, plan.samples);
        }
        self.settle_acknowledgement();
        if !guard::is_on(Guard::DropAtHandOverOnly) {
            self.drop_unheld();
        }
    }

    fn close_steps(&mut self, closed: &BTreeSet<u64>) {
        for step in closed {
            self.steps.remove(step);
        }
        self.wanted.retain(|slot| !closed.contains(&slot.step));
    }

    fn remove_chunks(&mut self, spent: &[u64]) {
        for number in spent {
            let object = self.chunks.remove(number).and_then(|chunk| chunk.object);
            self.spent_objects.extend(object);
        }
    }

    fn open_pending_steps(&mut self) {
        let is_open = |step: &mut OpenStep| self.head.steps.contains(&step.step);
        let opened: Vec<_> = self.pending.steps.extract_if(.., is_open).collect();
        for step in opened {
            let state = StepState::new(step);
            self.wanted.extend(state.slots());
            self.steps.insert(state.request.step, state);
        }
    }

    fn log_chunk(&mut self, number: u64, row: &ChunkRow, samples: Vec<UncommittedSample>) {
        self.chunks.insert(number, Chunk::new(row));
        for dropped in &row.dropped {
            self.pending.drops.remove(&dropped.cursor);
            self.apply_drop(*dropped);
        }
        for (cursor, sample) in (row.first_cursor..).zip(samples) {
            self.fill(sample.slot(), cursor);
            let mut entry = Logged::stored(sample.logged, number);
            if self.held_bytes < MAX_HELD_BYTES {
                self.held_bytes += sample.bytes.len();
                entry.place = Place::Held(sample.bytes);
            }
            self.log.insert(cursor, entry);
        }
    }

    fn settle_acknowledgement(&mut self) {
        let cursor = self.head.acknowledged_cursor;
        let version = self.head.weights_version;
        self.pending
            .ack
            .take_if(|ack| ack.cursor <= cursor && ack.weights_version <= version);
        // What the trainer has acknowledged is its own, fresh or not.
        self.pending.drops = self.pending.drops.split_off(&cursor);
        let rest = self.log.split_off(&cursor);
        for entry in std::mem::replace(&mut self.log, rest).into_values() {
            if let Place::Held(payload) = entry.place {
                self.held_bytes -= payload.len();
            }
        }
    }

    /// Notes that a commit is known not to have taken effect.
    pub fn on_not_committed(&mut self, plan: CommitPlan) {
        self.is_committing = false;
        self.buffer.splice(0..0, plan.samples);
        self.count_buffered();
    }

    /// Settles a commit whose answer was lost, from the head row as it was read.
    ///
    /// Returns false if another daemon has written the row: this one holds the
    /// ledger no longer.
    pub fn resolve_commit(
        &mut self,
        plan: CommitPlan,
        read: Option<&HeadRow>,
        row_version: u64,
    ) -> bool {
        let is_ours = read == Some(&plan.head);
        if is_ours || !guard::is_on(Guard::SettleByReading) {
            self.on_committed(plan, row_version);
            return true;
        }
        let is_unchanged = row_version == self.row_version;
        self.on_not_committed(plan);
        is_unchanged
    }
}

fn hash(row: &Write) -> Arc<str> {
    const HASH_BYTES: usize = 8;
    let text = row.value.as_ref().map(ToString::to_string);
    hex_digest(&[text.unwrap_or_default().as_bytes()], HASH_BYTES).into()
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
