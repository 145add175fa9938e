//! Saves the texts of samples that are not listed yet, so that runs can resume
//! them: on another VM after this one is lost, or in a later batch that asks for
//! the same samples again.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::future::join_all;

use super::{
    listing::{read_listed, read_listed_positions, text_object_prefix},
    row_values::{load_value, object_name, store_value},
    state::{Server, lock},
};
use crate::{
    core::{
        Name,
        batch::{ListedState, SampleSpec, SampleText, SavedText},
    },
    platform::{StoreError, Tx},
};

/// The table of saved texts, with one part per batch.
pub(crate) const SAVED_TEXT_TABLE: &str = "texts";

/// How often texts are saved, in milliseconds. The loss of a VM loses what was
/// generated since.
const TEXT_SAVE_INTERVAL_MS: u64 = 500;
/// How many events a text has to grow by to be saved again. Shorter runs end
/// sooner than their text could be read again.
const MIN_NEW_EVENTS: u64 = 12;
/// A text is saved again once it has grown by a part of its events, so that the bytes
/// written stay in proportion to the text.
const NEW_EVENTS_DIVISOR: u64 = 8;
/// The number of bytes of text above which a transaction takes no further text.
const MAX_TEXT_BYTES_PER_TX: usize = 400_000;
/// How many earlier batches are searched for texts of the same samples.
const MAX_EARLIER_BATCHES: usize = 2;

/// The texts of one share that have grown since they were last saved.
#[derive(Debug, Default)]
pub(crate) struct UnsavedTexts {
    waiting: Mutex<BTreeMap<Name, SavedText>>,
}

impl UnsavedTexts {
    /// Queues a text to be saved if it has grown enough since event
    /// `saved_event`; returns the last event that is saved or queued.
    pub(crate) fn put_if_grown(&self, sample: &Name, text: &SampleText, saved_event: u64) -> u64 {
        let last = text.last_event().unwrap_or(0);
        let new_events = MIN_NEW_EVENTS.max(saved_event / NEW_EVENTS_DIVISOR);
        if last < saved_event + new_events {
            return saved_event;
        }
        if let Some(saved) = text.saved(false) {
            lock(&self.waiting).insert(sample.clone(), saved);
        }
        last
    }

    /// Removes the text of a complete sample.
    pub(crate) fn remove(&self, sample: &str) {
        lock(&self.waiting).remove(sample);
    }

    /// Takes out as many texts as one transaction writes.
    fn take_for_tx(&self) -> Vec<(Name, SavedText)> {
        let mut waiting = lock(&self.waiting);
        let mut bytes = 0;
        let mut taken = Vec::new();
        while let Some((name, saved)) = waiting.pop_first() {
            bytes += saved.text.len();
            taken.push((name, saved));
            if bytes > MAX_TEXT_BYTES_PER_TX {
                break;
            }
        }
        taken
    }
}

/// Saves the texts of a share at intervals until the task is aborted.
pub(crate) async fn save_texts(server: Arc<Server>, batch: Name, unsaved: Arc<UnsavedTexts>) {
    // The objects that hold the texts too long for a row, by sample.
    let mut objects: BTreeMap<Name, Name> = BTreeMap::new();
    loop {
        tokio::time::sleep(Duration::from_millis(TEXT_SAVE_INTERVAL_MS)).await;
        let texts = unsaved.take_for_tx();
        if texts.is_empty() {
            continue;
        }
        // Not retried: a text is saved again once it has grown, and a lost one
        // costs only the time to generate it again.
        match save(&server, &batch, texts).await {
            Ok(rows) => delete_superseded(&server, &mut objects, rows).await,
            Err(error) => tracing::info!(%batch, %error, "texts not saved"),
        }
    }
}

/// Writes the rows of texts, and returns the object of each that is too long for a row.
async fn save(
    server: &Server,
    batch: &Name,
    texts: Vec<(Name, SavedText)>,
) -> Result<Vec<(Name, Option<Name>)>, StoreError> {
    let prefix = text_object_prefix(batch);
    let rows = texts.into_iter().map(async |(sample, saved)| {
        let value = rmp_serde::to_vec_named(&saved).map_err(|error| {
            StoreError::NotDone(format!("text of {sample} cannot be encoded: {error}"))
        })?;
        Ok::<_, StoreError>((sample, store_value(server, &prefix, value).await?))
    });
    let mut tx = Tx {
        part: batch.clone(),
        ..Tx::default()
    };
    let mut objects = Vec::new();
    for row in join_all(rows).await {
        match row {
            Ok((sample, row)) => {
                objects.push((sample.clone(), object_name(&row).map(Name::from)));
                tx.set.push((SAVED_TEXT_TABLE, sample, row));
            }
            Err(error) => tracing::info!(%batch, %error, "text not saved"),
        }
    }
    if !tx.set.is_empty() {
        server.store.transact(&tx).await?;
    }
    Ok(objects)
}

/// Deletes the objects to which no row of a saved text leads any more.
async fn delete_superseded(
    server: &Server,
    objects: &mut BTreeMap<Name, Name>,
    saved: Vec<(Name, Option<Name>)>,
) {
    for (sample, object) in saved {
        let before = match object.clone() {
            Some(object) => objects.insert(sample, object),
            None => objects.remove(&sample),
        };
        if let Some(before) = before.filter(|before| Some(before) != object.as_ref())
            && let Err(error) = server.store.delete_object(&before).await
        {
            tracing::info!(object = %before, %error, "object not deleted: left to the cleaning");
        }
    }
}

/// Reads the saved texts of samples, from this batch and from earlier ones.
///
/// The read delays the start of the longest samples, so only earlier batches
/// with groups of these samples are read. `is_first` tells that the samples' share
/// has had no owner before, so that this batch holds no text of them.
pub(crate) async fn read_saved_texts(
    server: &Server,
    batch: &Name,
    samples: &[SampleSpec],
    is_first: bool,
) -> BTreeMap<Name, SavedText> {
    let groups = samples.iter().map(|sample| sample.group.clone()).collect();
    let ids = samples.iter().map(|sample| sample.id.clone()).collect();
    let mut texts = BTreeMap::new();
    for earlier in earlier_batches(server, batch, &groups) {
        match read_complete_texts(server, &earlier, &ids).await {
            Ok(complete) => texts.extend(complete),
            Err(error) => {
                tracing::info!(%batch, %earlier, %error, "listed texts not read");
            }
        }
        merge_partial_texts(server, &earlier, &ids, &mut texts).await;
    }
    if !is_first {
        merge_partial_texts(server, batch, &ids, &mut texts).await;
    }
    texts
}

/// Returns the earlier batches with any of these groups, oldest first.
///
/// Only the last [`MAX_EARLIER_BATCHES`] batches of the same trainer, that is of
/// the same route, are considered.
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
    let skipped = earlier.len().saturating_sub(MAX_EARLIER_BATCHES);
    earlier
        .into_iter()
        .skip(skipped)
        .filter(|(_, _, had)| !had.is_disjoint(groups))
        .map(|(_, id, _)| id.clone())
        .collect()
}

/// Reads the complete texts that were listed in an earlier batch.
async fn read_complete_texts(
    server: &Server,
    batch: &Name,
    samples: &BTreeSet<Name>,
) -> Result<BTreeMap<Name, SavedText>, StoreError> {
    let listed_positions = read_listed_positions(server, batch).await?;
    let positions = listed_positions
        .iter()
        .filter(|(id, _)| samples.contains(*id));
    let reads = positions.map(|(_, position)| read_listed(server, batch, *position, 1));
    let mut complete = BTreeMap::new();
    for read in join_all(reads).await {
        for listed in read? {
            let events = listed.text.split('\n').count();
            if listed.state == ListedState::Done && samples.contains(&listed.id) {
                let saved = SavedText {
                    text: listed.text,
                    last_event: u64::try_from(events).unwrap_or(u64::MAX),
                    weights_versions: listed.weights_versions,
                    origin: None,
                    is_complete: true,
                };
                complete.insert(listed.id, saved);
            }
        }
    }
    Ok(complete)
}

/// Adds the saved texts of a batch that are longer than those already known.
async fn merge_partial_texts(
    server: &Server,
    batch: &Name,
    samples: &BTreeSet<Name>,
    texts: &mut BTreeMap<Name, SavedText>,
) {
    let rows = server
        .store
        .read(SAVED_TEXT_TABLE, batch, "", None, usize::MAX)
        .await;
    let rows = match rows {
        Ok(rows) => rows.rows,
        Err(error) => {
            tracing::info!(%batch, %error, "saved texts not read");
            return;
        }
    };
    for row in rows.iter().filter(|row| samples.contains(&row.key)) {
        let bytes = row.bytes.as_deref().unwrap_or_default();
        let value = match load_value(server, bytes).await {
            Ok(value) => value,
            Err(error) => {
                tracing::info!(%batch, sample = %row.key, %error, "saved text not read");
                continue;
            }
        };
        let saved: SavedText = match rmp_serde::from_slice(&value) {
            Ok(saved) => saved,
            Err(error) => {
                tracing::error!(%batch, sample = %row.key, %error, "saved text cannot be decoded");
                continue;
            }
        };
        let is_longer = texts
            .get(&row.key)
            .is_none_or(|known| !known.is_complete && known.last_event < saved.last_event);
        if is_longer {
            texts.insert(row.key.clone(), saved);
        }
    }
}
