//! Checks the answers that operators got and the versions that daemons show.

use std::{collections::BTreeMap, sync::Arc};

use chicoryreach::{
    core::config::{
        Change, Document, HISTORY_KEY_PREFIX, VersionedDocument, apply_patch, history_key,
    },
    error::{ErrorKind, Refusal},
    wire::operators::{Accepted, Patch},
};

use crate::sim::Table;

/// The time after which an accepted patch must be in force on every daemon that
/// takes work.
const IN_FORCE_DEADLINE_MS: u64 = 13_000;

/// The answers and versions observed from outside.
#[derive(Debug)]
pub struct Oracle {
    /// How often each patch was sent.
    sends: BTreeMap<Arc<str>, u32>,
    /// The number of each accepted patch, and when its first answer arrived.
    accepted: BTreeMap<Arc<str>, (u64, u64)>,
    refused: BTreeMap<Arc<str>, ErrorKind>,
    /// The incarnation of each daemon and the number that it showed last.
    shown: Vec<(u64, u64)>,
    documents: BTreeMap<u64, Arc<Document>>,
    /// The violations found so far.
    pub violations: Vec<String>,
}

impl Oracle {
    pub fn new(daemons: usize) -> Self {
        Self {
            sends: BTreeMap::new(),
            accepted: BTreeMap::new(),
            refused: BTreeMap::new(),
            shown: vec![(0, 0); daemons],
            documents: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// Returns the number of accepted patches.
    pub fn count_accepted(&self) -> usize {
        self.accepted.len()
    }

    /// Records that a patch is sent.
    ///
    /// This discards an earlier refusal, as a resent patch may be written, unless
    /// the patch was refused for its outdated version, which is final.
    pub fn on_sent(&mut self, patch: &Patch) {
        *self.sends.entry(patch.id.clone()).or_default() += 1;
        if self.refused.get(&patch.id) != Some(&ErrorKind::ConfigConflict) {
            self.refused.remove(&patch.id);
        }
    }

    pub fn on_answer(&mut self, now_ms: u64, patch: &Patch, result: &Result<Accepted, Refusal>) {
        match result {
            Ok(accepted) => {
                let first = *self
                    .accepted
                    .entry(patch.id.clone())
                    .or_insert((accepted.number, now_ms));
                if first.0 != accepted.number {
                    let (id, again) = (&patch.id, accepted.number);
                    self.violations.push(format!(
                        "{id} was accepted as {} and then as {again}",
                        first.0
                    ));
                }
                if accepted.number != patch.against + 1 {
                    self.violations.push(format!(
                        "{}, a patch against {}, was accepted as {}",
                        patch.id, patch.against, accepted.number
                    ));
                }
            }
            Err(refusal)
                if refusal.kind() == ErrorKind::ConfigConflict
                    || (refusal.response().not_run && self.sends.get(&patch.id) == Some(&1)) =>
            {
                self.refused.insert(patch.id.clone(), refusal.kind());
            }
            Err(_) => {}
        }
    }

    /// Checks the version that a daemon shows, and whether it may take work
    /// under it.
    pub fn on_probe(
        &mut self,
        now_ms: u64,
        daemon: usize,
        incarnation: u64,
        serves: bool,
        versioned: &VersionedDocument,
    ) {
        let number = versioned.number;
        let (shown_incarnation, shown) = self.shown[daemon];
        if shown_incarnation == incarnation && number < shown {
            self.violations.push(format!(
                "vm-{daemon} reverted from version {shown} to {number}"
            ));
        }
        self.shown[daemon] = (incarnation, number);
        let document = self
            .documents
            .entry(number)
            .or_insert_with(|| versioned.document.clone());
        if *document != versioned.document {
            self.violations.push(format!(
                "daemons show different documents of version {number}"
            ));
        }
        let due = self
            .accepted
            .values()
            .filter(|(_, at_ms)| at_ms + IN_FORCE_DEADLINE_MS <= now_ms);
        let due = due.map(|(number, _)| *number).max().unwrap_or(0);
        if serves && number < due {
            self.violations.push(format!(
                "vm-{daemon} takes work under version {number} at {now_ms} ms, \
                 when {due} must be in force"
            ));
        }
    }

    /// Compares the operators' answers and the documents that daemons showed with
    /// the history in the table.
    pub fn compare_with_table(&mut self, table: &Table) {
        let mut versioned = VersionedDocument::default();
        let mut written = BTreeMap::new();
        loop {
            let (row_version, value) = table.get(&history_key(versioned.number + 1));
            if row_version == 0 {
                break;
            }
            let change: Change = serde_json::from_value(value).expect("the change is valid");
            versioned = apply_patch(&versioned, versioned.number, &change.merge)
                .expect("the change applies");
            if let Some(first) = written.insert(change.patch_id.clone(), change.number) {
                let id = &change.patch_id;
                self.violations.push(format!(
                    "{id} was written as {first} and as {}",
                    change.number
                ));
            }
            if self
                .documents
                .get(&change.number)
                .is_some_and(|shown| *shown != versioned.document)
            {
                self.violations.push(format!(
                    "{HISTORY_KEY_PREFIX}: a daemon showed another document of version {}",
                    change.number
                ));
            }
        }
        for (id, (number, _)) in &self.accepted {
            if written.get(id) != Some(number) {
                self.violations.push(format!(
                    "{id} was accepted as {number}, but the table does not have it"
                ));
            }
        }
        for (id, kind) in &self.refused {
            if written.contains_key(id) {
                self.violations
                    .push(format!("{id} was refused as {kind}, but the table has it"));
            }
        }
    }
}
