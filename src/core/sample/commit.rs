use std::{collections::BTreeSet, sync::Arc};

use bytes::Bytes;

use super::{
    ChunkRow, DroppedSample, HeadRow, Ledger, StepState, UncommittedSample,
    fetch::{LogEntry, MAX_CACHED_BYTES, PayloadLocation},
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

/// The maximum number of samples in one commit.
const MAX_SAMPLES_PER_COMMIT: usize = 512;
/// Once a commit has this many bytes of samples, it takes no more.
const MAX_BYTES_PER_COMMIT: usize = 8 * 1024 * 1024;

/// The samples of one commit as an object of the object store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Payload {
    /// The object's name, which contains a hash of its content.
    pub object: Arc<str>,
    /// The samples as JSON, one per line.
    pub bytes: Bytes,
}

/// One commit, carried out by writing the payload and then the transaction.
#[derive(Clone, Debug)]
pub struct CommitPlan {
    /// The object to write to the object store first.
    pub payload: Option<Payload>,
    /// The transaction to write to the table afterwards.
    pub transaction: Transaction,
    head: HeadRow,
    row: Option<ChunkRow>,
    samples: Vec<UncommittedSample>,
    closed_steps: BTreeSet<u64>,
    obsolete_chunks: Vec<u64>,
    last_change: u64,
}

impl CommitPlan {
    /// Returns how many samples this commit drops from their slots.
    #[must_use]
    pub fn dropped_count(&self) -> usize {
        self.row.as_ref().map_or(0, |row| row.dropped.len())
    }
}

impl Ledger {
    /// Returns the next commit, or `None` if one is in progress or there is
    /// nothing to commit.
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
        let closed_steps = self.plan_acknowledgement(&mut head, &mut writes);
        self.plan_steps(&mut head, &mut writes);
        let obsolete_chunks = self.plan_chunk_deletions(&head, &closed_steps, &mut writes);
        let (payload, row, samples) = self.plan_chunk(&mut head, &mut writes);
        writes.push(put_row(head_key(&self.trainer), &head));
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
            obsolete_chunks,
            last_change: self.last_change,
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

    fn plan_acknowledgement(&self, head: &mut HeadRow, writes: &mut Vec<Write>) -> BTreeSet<u64> {
        let Some(ack) = self.pending.ack else {
            return BTreeSet::new();
        };
        head.acknowledged_cursor = ack.cursor;
        let steps = self.steps.iter();
        let closed = steps.filter(|(_, step)| step.is_delivered(ack.cursor));
        let closed: BTreeSet<u64> = closed.map(|(number, _)| *number).collect();
        for step in &closed {
            head.steps.remove(step);
            writes.push(delete_row(step_key(&self.trainer, *step)));
        }
        closed
    }

    fn plan_steps(&self, head: &mut HeadRow, writes: &mut Vec<Write>) {
        for step in &self.pending.steps {
            head.steps.insert(step.step);
            head.last_step = head.last_step.max(Some(step.step));
            head.weights_version = head.weights_version.max(step.weights_version);
            writes.push(put_row(step_key(&self.trainer, step.step), step));
        }
    }

    /// Deletes the chunk rows that concern no open step. The others are kept,
    /// because the next holder reads from them which slots are filled.
    fn plan_chunk_deletions(
        &self,
        head: &HeadRow,
        closed_steps: &BTreeSet<u64>,
        writes: &mut Vec<Write>,
    ) -> Vec<u64> {
        if closed_steps.is_empty() {
            return Vec::new();
        }
        let chunks = self.chunks.iter();
        let obsolete = chunks.filter(|(_, chunk)| chunk.steps.is_disjoint(&head.steps));
        let obsolete: Vec<u64> = obsolete.map(|(number, _)| *number).collect();
        let keys = obsolete
            .iter()
            .map(|number| chunk_key(&self.trainer, *number));
        writes.extend(keys.map(delete_row));
        obsolete
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
        let payload = self.build_payload(head.next_cursor, &samples);
        let row = ChunkRow {
            first_cursor: head.next_cursor,
            object: payload.as_ref().map(|payload| payload.object.clone()),
            samples: samples.iter().map(|sample| sample.logged).collect(),
            dropped,
        };
        let row_write = put_row(chunk_key(&self.trainer, head.next_chunk), &row);
        head.chunk_hash = hash_row(&row_write);
        writes.push(row_write);
        head.next_chunk += 1;
        head.next_cursor += samples.len() as u64;
        (payload, Some(row), samples)
    }

    /// Takes buffered samples of the steps that stay open, up to the limits of
    /// one commit. Samples of a step that this commit closes are surplus and
    /// discarded.
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
        self.recount_buffered_bytes();
        taken
    }

    fn recount_buffered_bytes(&mut self) {
        self.buffered_bytes = self.buffer.iter().map(|sample| sample.bytes.len()).sum();
    }

    fn build_payload(&self, first_cursor: u64, samples: &[UncommittedSample]) -> Option<Payload> {
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

    /// Records that a commit took effect and gave the head this row version.
    pub fn on_committed(&mut self, plan: CommitPlan, row_version: u64) {
        self.is_committing = false;
        self.is_claimed = true;
        self.row_version = row_version;
        self.last_committed_change = plan.last_change;
        let number = self.head.next_chunk;
        self.head = plan.head;
        self.close_steps(&plan.closed_steps);
        self.remove_chunks(&plan.obsolete_chunks);
        self.open_pending_steps();
        if let Some(row) = plan.row {
            self.log_chunk(number, &row, plan.samples);
        }
        self.apply_acknowledgement();
        if !guard::is_on(Guard::DropAtHandOverOnly) {
            self.drop_all_stale();
        }
    }

    fn close_steps(&mut self, closed: &BTreeSet<u64>) {
        for step in closed {
            self.steps.remove(step);
        }
        self.open_slots.retain(|slot| !closed.contains(&slot.step));
    }

    fn remove_chunks(&mut self, obsolete: &[u64]) {
        for number in obsolete {
            let object = self.chunks.remove(number).and_then(|chunk| chunk.object);
            self.unreferenced_objects.extend(object);
        }
    }

    fn open_pending_steps(&mut self) {
        let is_open = |step: &mut OpenStep| self.head.steps.contains(&step.step);
        let opened: Vec<_> = self.pending.steps.extract_if(.., is_open).collect();
        for step in opened {
            let state = StepState::new(step);
            self.open_slots.extend(state.slots());
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
            self.fill_slot(sample.slot(), cursor);
            let mut entry = LogEntry::stored(sample.logged, number);
            if self.cached_bytes < MAX_CACHED_BYTES {
                self.cached_bytes += sample.bytes.len();
                entry.location = PayloadLocation::Cached(sample.bytes);
            }
            self.log.insert(cursor, entry);
        }
    }

    fn apply_acknowledgement(&mut self) {
        let cursor = self.head.acknowledged_cursor;
        let version = self.head.weights_version;
        self.pending
            .ack
            .take_if(|ack| ack.cursor <= cursor && ack.weights_version <= version);
        // The trainer keeps what it has acknowledged, stale or not.
        self.pending.drops = self.pending.drops.split_off(&cursor);
        let rest = self.log.split_off(&cursor);
        for entry in std::mem::replace(&mut self.log, rest).into_values() {
            if let PayloadLocation::Cached(payload) = entry.location {
                self.cached_bytes -= payload.len();
            }
        }
    }

    /// Records that a commit is known not to have taken effect. Its samples are
    /// buffered again.
    pub fn on_not_committed(&mut self, plan: CommitPlan) {
        self.is_committing = false;
        self.buffer.splice(0..0, plan.samples);
        self.recount_buffered_bytes();
    }

    /// Determines from the head row in the table whether a commit with an unknown
    /// outcome took effect.
    ///
    /// Returns false if another daemon has written the row, which means that this
    /// daemon no longer holds the ledger.
    pub fn resolve_commit(
        &mut self,
        plan: CommitPlan,
        stored_head: Option<&HeadRow>,
        row_version: u64,
    ) -> bool {
        let is_ours = stored_head == Some(&plan.head);
        if is_ours || !guard::is_on(Guard::SettleByReading) {
            self.on_committed(plan, row_version);
            return true;
        }
        let is_unchanged = row_version == self.row_version;
        self.on_not_committed(plan);
        is_unchanged
    }
}

fn hash_row(row: &Write) -> Arc<str> {
    const CHUNK_HASH_BYTES: usize = 8;
    let text = row.value.as_ref().map(ToString::to_string);
    hex_digest(&[text.unwrap_or_default().as_bytes()], CHUNK_HASH_BYTES).into()
}

fn put_row<T>(key: Arc<str>, value: &T) -> Write
where
    T: serde::Serialize,
{
    Write {
        key,
        value: serde_json::to_value(value).ok(),
    }
}

const fn delete_row(key: Arc<str>) -> Write {
    Write { key, value: None }
}
