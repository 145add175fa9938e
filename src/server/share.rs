//! Runs one share of a batch.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::{sync::mpsc, task::JoinSet};

use super::{
    claims, failures, listing,
    loaded_batch::LoadedBatch,
    progress::{self, UnsavedTexts},
    read_batch,
    sample::{self, SampleJob, SampleRuns},
    state::{Server, lock},
    text_share::TextShare,
};
use crate::core::{
    Name,
    batch::{BatchSpec, SampleSpec, length_weight, run_order, share_of_group, start_wait_factor},
    pool::EndpointSlice,
    quarantine::content_fingerprint,
};

/// How long to wait before a failed read of the store is retried, in
/// milliseconds.
const STORE_RETRY_DELAY_MS: u64 = 150;

/// Runs every sample of a share that is not listed yet, and releases the share.
///
/// `is_first` tells that the share has had no owner before, so that none of its
/// samples is listed or has a saved text in this batch.
pub(crate) async fn run_share(server: Arc<Server>, batch: Name, share: u32, is_first: bool) {
    let Some((spec, listed, deadlines)) = read_batch_and_listing(&server, &batch, is_first).await
    else {
        return;
    };
    let head = lock(&server.batches)
        .get(&batch)
        .and_then(|known| known.head.clone());
    let share_count = head.map_or(1, |head| head.share_count);
    let samples = samples_of_share(&spec, share, share_count);
    let hints = spec.samples.iter().map(|sample| sample.length_hint);
    let longest_hint = hints.max().unwrap_or(0);
    let missing: Vec<SampleSpec> = samples
        .into_iter()
        .filter(|sample| !listed.contains_key(&sample.id))
        .collect();
    let mut saved_texts = progress::read_saved_texts(&server, &batch, &missing, is_first).await;
    let failures = if is_first {
        BTreeMap::new()
    } else {
        failures::read_failures(&server, &batch).await
    };
    tracing::info!(%batch, share, kept = saved_texts.len(), samples = missing.len(),
        listed = listed.len(), "share starts");
    let (finished_sender, finished_receiver) = mpsc::unbounded_channel();
    // Each set aborts its tasks when it is dropped, so that they end with this
    // task.
    let mut listing_task = JoinSet::new();
    listing_task.spawn(listing::list_finished(
        server.clone(),
        batch.clone(),
        finished_receiver,
    ));
    let unsaved_texts = Arc::new(UnsavedTexts::default());
    let mut saving_task = JoinSet::new();
    saving_task.spawn(progress::save_texts(
        server.clone(),
        batch.clone(),
        unsaved_texts.clone(),
    ));
    let mut running = JoinSet::new();
    for index in run_order(&missing) {
        let job = SampleJob {
            server: server.clone(),
            batch: batch.clone(),
            host: spec.host.clone(),
            account: spec.account.clone(),
            model: spec.model.clone(),
            min_weights_version: spec.min_weights_version,
            expires_platform_ms: deadlines.expires_platform_ms,
            content: content_fingerprint(&spec.host, &missing[index].path, &missing[index].body),
            sample: missing[index].clone(),
            due_platform_ms: deadlines.due_platform_ms,
            length_weight: length_weight(missing[index].length_hint, longest_hint),
            start_wait_factor: start_wait_factor(missing[index].length_hint, longest_hint),
            slice: EndpointSlice { share, share_count },
            failures: failures
                .get(&missing[index].id)
                .copied()
                .unwrap_or_default(),
            text_share: TextShare::new(&server),
            saved_text: saved_texts.remove(&missing[index].id),
            unsaved_texts: unsaved_texts.clone(),
        };
        let mut runs = SampleRuns::new(job);
        let reservation = runs.reserve_endpoint().await;
        let finished_sender = finished_sender.clone();
        running.spawn(async move {
            let finished = sample::run_sample(runs, reservation).await;
            // Cannot fail: the listing task receives until all senders are
            // dropped.
            let _ = finished_sender.send(finished);
        });
    }
    drop(finished_sender);
    while running.join_next().await.is_some() {}
    while listing_task.join_next().await.is_some() {}
    claims::release_share(&server, &batch, share, true).await;
}

/// The deadlines of a batch, by the platform's clock.
struct BatchDeadlines {
    due_platform_ms: u64,
    /// When its samples may be given up.
    expires_platform_ms: u64,
}

/// Returns a batch, the positions of its listed samples and its deadlines.
///
/// Reads that fail are retried. Returns `None` if the batch is not known.
async fn read_batch_and_listing(
    server: &Server,
    batch: &Name,
    is_first: bool,
) -> Option<(Arc<LoadedBatch>, BTreeMap<Name, usize>, BatchDeadlines)> {
    loop {
        let head = lock(&server.batches).get(batch)?.head.clone()?;
        let positions = async {
            if is_first {
                return Ok(BTreeMap::new());
            }
            listing::read_listed_positions(server, batch).await
        };
        match (read_batch::read_spec(server, batch).await, positions.await) {
            (Ok(spec), Ok(listed)) => {
                let routes = server.routes();
                let route = routes.find(&spec.host, &spec.path);
                let accepted_ms = head.accepted_platform_ms;
                let deadlines = BatchDeadlines {
                    due_platform_ms: accepted_ms + route.map_or(0, |route| route.batch_target_ms),
                    expires_platform_ms: accepted_ms
                        + route.map_or(0, |route| route.queue_limit_ms),
                };
                return Some((spec, listed, deadlines));
            }
            (Err(error), _) => tracing::warn!(%batch, %error, "batch not read"),
            (_, Err(error)) => tracing::warn!(%batch, %error, "listing not read"),
        }
        tokio::time::sleep(Duration::from_millis(STORE_RETRY_DELAY_MS)).await;
    }
}

fn samples_of_share(spec: &BatchSpec, share: u32, share_count: u32) -> Vec<SampleSpec> {
    let mut groups: BTreeMap<&Name, usize> = BTreeMap::new();
    let mut samples = Vec::new();
    for sample in &spec.samples {
        let count = groups.len();
        let index = *groups.entry(&sample.group).or_insert(count);
        if share_of_group(index, share_count) == share {
            samples.push(sample.clone());
        }
    }
    samples
}
