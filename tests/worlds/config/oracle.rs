//! Judges what operators were answered and what daemons did.

use std::{collections::BTreeMap, sync::Arc};

use chicoryreach::{
    core::config::{
        Change, Document, HISTORY_KEY_PREFIX, VersionedDocument, apply_patch, history_key,
    },
    error::{ErrorKind, Refusal},
    wire::operators::{Accepted, Patch},
};

use crate::sim::Table;

/// How soon an accepted patch has to be in force everywhere.
const IN_FORCE_MS: u64 = 13_000;

/// What was seen from outside.
#[derive(Debug)]
pub struct Oracle {
    sends: BTreeMap<Arc<str>, u32>,
    accepted: BTreeMap<Arc<str>, (u64, u64)>,
    refused: BTreeMap<Arc<str>, ErrorKind>,
    shown: Vec<(u64, u64)>,
    documents: BTreeMap<u64, Arc<Document>>,
    /// The promises that were broken.
    pub broken: Vec<String>,
}

impl Oracle {
    pub fn new(daemons: usize) -> Self {
        Self {
            sends: BTreeMap::new(),
            accepted: BTreeMap::new(),
            refused: BTreeMap::new(),
            shown: vec![(0, 0); daemons],
            documents: BTreeMap::new(),
            broken: Vec::new(),
        }
    }

    /// Returns how many patches were accepted.
    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    /// A refusal speaks of the sending that it answers: one that was sent
    /// again afterwards may run, unless its version is outdated for good.
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
                    self.broken
                        .push(format!("{id} was accepted as {} and {again}", first.0));
                }
                if accepted.number != patch.against + 1 {
                    self.broken.push(format!(
                        "{} against {} was accepted as {}",
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

    /// Notes what a daemon shows and whether it takes work.
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
            self.broken
                .push(format!("vm-{daemon} went from {shown} back to {number}"));
        }
        self.shown[daemon] = (incarnation, number);
        let document = self
            .documents
            .entry(number)
            .or_insert_with(|| versioned.document.clone());
        if *document != versioned.document {
            self.broken
                .push(format!("there are two documents of version {number}"));
        }
        let due = self
            .accepted
            .values()
            .filter(|(_, at_ms)| at_ms + IN_FORCE_MS <= now_ms);
        let due = due.map(|(number, _)| *number).max().unwrap_or(0);
        if serves && number < due {
            self.broken.push(format!(
                "vm-{daemon} takes work under {number} at {now_ms} ms, {due} is in force"
            ));
        }
    }

    /// Compares the answers with the history that the table keeps.
    pub fn compare_with_table(&mut self, table: &Table) {
        let mut versioned = VersionedDocument::default();
        let mut written = BTreeMap::new();
        loop {
            let (row_version, value) = table.get(&history_key(versioned.number + 1));
            if row_version == 0 {
                break;
            }
            let change: Change = serde_json::from_value(value).expect("the change is valid");
            versioned = apply_patch(&versioned, versioned.number, &change.merge).expect("it fits");
            if let Some(first) = written.insert(change.patch_id.clone(), change.number) {
                let id = &change.patch_id;
                self.broken
                    .push(format!("{id} was written as {first} and {}", change.number));
            }
            if self
                .documents
                .get(&change.number)
                .is_some_and(|shown| *shown != versioned.document)
            {
                self.broken.push(format!(
                    "{HISTORY_KEY_PREFIX}: {} was shown otherwise",
                    change.number
                ));
            }
        }
        for (id, (number, _)) in &self.accepted {
            if written.get(id) != Some(number) {
                self.broken
                    .push(format!("{id} was accepted as {number}, but is not written"));
            }
        }
        for (id, kind) in &self.refused {
            if written.contains_key(id) {
                self.broken
                    .push(format!("{id} was refused as {kind}, but is written"));
            }
        }
    }
}
