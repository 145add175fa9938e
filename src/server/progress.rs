//! Texts that are not listed yet, kept for whoever goes on with them: another
//! VM after the loss of this one, or a later batch that asks for the same
//! samples again.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::future::join_all;

use super::{
    listing::{read_listed, read_names},
    state::{Server, lock},
};
use crate::{
    core::{
        Name,
        batch::{ListedState, SampleSpec, SampleText, SavedText},
    },
    platform::{StoreError, Tx},
};

/// The table of texts that are not listed, one part a batch.
pub(crate) const PROGRESS_TABLE: &str = "texts";

/// How often texts are written, in milliseconds: what a loss of a VM costs.
const SAVE_MS: u64 = 500;
/// After how many more events a text is written again: shorter runs are done
/// sooner than their text could be read again.
const SAVE_EVENTS: u64 = 12;
/// The most bytes of text in one transaction.
const MAX_BYTES: usize = 400_000;
/// The largest text that is kept; a row holds 64 KiB.
const MAX_TEXT_BYTES: usize = 60_000;
/// How many earlier batches may hold texts of samples that come again.
const EARLIER_BATCHES: usize = 2;

/// The texts of one share that are to be written.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    waiting: Mutex<BTreeMap<Name, SavedText>>,
}

impl Progress {
    /// Notes a text if enough was added since event `saved_at`; returns the
    /// event up to which it is noted.
    pub(crate) fn note(&self, sample: &Name, text: &SampleText, saved_at: u64) -> u64 {
        let last = text.last_event().unwrap_or(0);
        if last < saved_at + SAVE_EVENTS {
            return saved_at;
        }
        if let Some(saved) = text
            .saved(false)
            .filter(|saved| saved.text.len() < MAX_TEXT_BYTES)
        {
            lock(&self.waiting).insert(sample.clone(), saved);
        }
        last
    }

    /// Notes that a sample is finished.
    pub(crate) fn forget(&self, sample: &str) {
        lock(&self.waiting).remove(sample);
    }

    fn take(&self) -> Vec<(Name, SavedText)> {
        let mut waiting = lock(&self.waiting);
        let mut bytes = 0;
        let mut taken = Vec::new();
        while let Some((name, saved)) = waiting.pop_first() {
            bytes += saved.text.len();
            taken.push((name, saved));
            if bytes > MAX_BYTES {
                break;
            }
        }
        taken
    }
}

/// Writes the texts of a share now and then, for as long as the share runs.
pub(crate) async fn save(server: Arc<Server>, batch: Name, progress: Arc<Progress>) {
    loop {
        tokio::time::sleep(Duration::from_millis(SAVE_MS)).await;
        let mut tx = Tx {
            part: batch.clone(),
            ..Tx::default()
        };
        for (name, saved) in progress.take() {
            match rmp_serde::to_vec_named(&saved) {
                Ok(bytes) => tx.set.push((PROGRESS_TABLE, name, bytes)),
                Err(error) => tracing::error!(sample = %name, %error, "text cannot be written"),
            }
        }
        if tx.set.is_empty() {
            continue;
        }
        // Only a run's time is at stake: it is written again when it has grown.
        if let Err(error) = server.store.transact(&tx).await {
            tracing::info!(%batch, texts = tx.set.len(), %error, "texts not kept");
        }
    }
}

/// Reads the texts that are kept of these samples.
///
/// The longest samples wait for it: only batches that had their groups are read.
pub(crate) async fn read(
    server: &Server,
    batch: &Name,
    samples: &[SampleSpec],
    is_first: bool,
) -> BTreeMap<Name, SavedText> {
    let groups = samples.iter().map(|sample| sample.group.clone()).collect();
    let names = samples.iter().map(|sample| sample.id.clone()).collect();
    let mut texts = BTreeMap::new();
    for earlier in earlier_batches(server, batch, &groups) {
        match read_finished(server, &earlier, &names).await {
            Ok(finished) => texts.extend(finished),
            Err(error) => tracing::info!(%batch, %earlier, %error, "earlier texts not read"),
        }
        note_partial(server, &earlier, &names, &mut texts).await;
    }
    if !is_first {
        note_partial(server, batch, &names, &mut texts).await;
    }
    texts
}

/// Returns the batches of the same trainer before this one that had some of
/// these groups, oldest first.
fn earlier_batches(server: &Server, batch: &Name, groups: &BTreeSet<Name>) -> Vec<Name> {
    let routes = server.routes();
    let batches = lock(&server.batches);
    let Some(head) = batches.get(batch).and_then(|known| known.head.as_ref()) else {
        return Vec::new();
    };
    let route = routes.find(&head.host, &head.path).map(|route| &route.name);
    let mut earlier: Vec<(u64, &Name, &BTreeSet<Name>)> = batches
        .known
        .iter()
        .filter_map(|(id, known)| Some((id, known.head.as_ref()?)))
        .filter(|(_, other)| other.accepted_platform_ms < head.accepted_platform_ms)
        .filter(|(_, other)| {
            routes
                .find(&other.host, &other.path)
                .map(|route| &route.name)
                == route
        })
        .map(|(id, other)| (other.accepted_platform_ms, id, &other.groups))
        .collect();
    earlier.sort();
    let skipped = earlier.len().saturating_sub(EARLIER_BATCHES);
    earlier
        .into_iter()
        .skip(skipped)
        .filter(|(_, _, had)| !had.is_disjoint(groups))
        .map(|(_, id, _)| id.clone())
        .collect()
}

/// Reads whole texts that were listed in an earlier batch.
async fn read_finished(
    server: &Server,
    batch: &Name,
    samples: &BTreeSet<Name>,
) -> Result<BTreeMap<Name, SavedText>, StoreError> {
    let names = read_names(server, batch).await?;
    let positions = names.iter().filter(|(name, _)| samples.contains(*name));
    let reads = positions.map(|(_, position)| read_listed(server, batch, *position, 1));
    let mut finished = BTreeMap::new();
    for read in join_all(reads).await {
        for listed in read? {
            let events = listed.text.split('\n').count();
            if listed.state == ListedState::Done && samples.contains(&listed.id) {
                let saved = SavedText {
                    text: listed.text,
                    last_event: u64::try_from(events).unwrap_or(u64::MAX),
                    weights_versions: listed.weights_versions,
                    is_complete: true,
                };
                finished.insert(listed.id, saved);
            }
        }
    }
    Ok(finished)
}

async fn note_partial(
    server: &Server,
    batch: &Name,
    samples: &BTreeSet<Name>,
    texts: &mut BTreeMap<Name, SavedText>,
) {
    let rows = server
        .store
        .read(PROGRESS_TABLE, batch, "", None, usize::MAX)
        .await;
    let rows = match rows {
        Ok(rows) => rows.rows,
        Err(error) => {
            tracing::info!(%batch, %error, "kept texts not read");
            return;
        }
    };
    for row in rows.iter().filter(|row| samples.contains(&row.key)) {
        let bytes = row.bytes.as_deref().unwrap_or_default();
        let saved: SavedText = match rmp_serde::from_slice(bytes) {
            Ok(saved) => saved,
            Err(error) => {
                tracing::error!(sample = %row.key, %error, "kept text cannot be read");
                continue;
            }
        };
        let is_more = texts
            .get(&row.key)
            .is_none_or(|known| !known.is_complete && known.last_event < saved.last_event);
        if is_more {
            texts.insert(row.key.clone(), saved);
        }
    }
}
