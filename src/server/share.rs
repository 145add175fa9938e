//! Running one share of a batch.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::{sync::mpsc, task::JoinSet};

use super::{
    claims, listing,
    progress::{self, Progress},
    read_batch,
    sample::{self, SampleJob},
    state::{Server, lock},
};
use crate::core::{
    Name,
    batch::{BatchSpec, SampleSpec, run_order, share_of_group, start_wait_factor},
    pool::EndpointSlice,
};

/// How long to wait after the store did not answer, in milliseconds.
const AFTER_FAILURE_MS: u64 = 150;

/// Runs every sample of a share that is not listed yet.
///
/// Of a share that nobody had before nothing is listed or kept.
pub(crate) async fn run(server: Arc<Server>, batch: Name, share: u32, is_first: bool) {
    let Some((spec, listed, limit_platform_ms)) = prepare(&server, &batch, is_first).await else {
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
    let mut kept = progress::read(&server, &batch, &missing, is_first).await;
    tracing::info!(%batch, share, kept = kept.len(), samples = missing.len(), listed = listed.len(), "share starts");
    let (finished, to_list) = mpsc::unbounded_channel();
    // Dropped with this task, by which everything that it started ends.
    let mut listing_task = JoinSet::new();
    listing_task.spawn(listing::list(server.clone(), batch.clone(), to_list));
    let progress = Arc::new(Progress::default());
    let mut saving_task = JoinSet::new();
    saving_task.spawn(progress::save(
        server.clone(),
        batch.clone(),
        progress.clone(),
    ));
    let mut running = JoinSet::new();
    for place in run_order(&missing) {
        let job = SampleJob {
            server: server.clone(),
            batch: batch.clone(),
            host: spec.host.clone(),
            model: spec.model.clone(),
            min_weights_version: spec.min_weights_version,
            limit_platform_ms,
            sample: missing[place].clone(),
            start_wait_factor: start_wait_factor(missing[place].length_hint, longest_hint),
            slice: EndpointSlice { share, share_count },
            kept: kept.remove(&missing[place].id),
            progress: progress.clone(),
        };
        let endpoint = job.first_endpoint().await;
        let finished = finished.clone();
        running.spawn(async move {
            let listed = sample::run(job, endpoint).await;
            // Listing ends only after all senders have gone.
            let _ = finished.send(listed);
        });
    }
    drop(finished);
    while running.join_next().await.is_some() {}
    while listing_task.join_next().await.is_some() {}
    claims::release(&server, &batch, share, true).await;
}

/// Reads what is to be run and what is listed already.
async fn prepare(
    server: &Server,
    batch: &Name,
    is_first: bool,
) -> Option<(Arc<BatchSpec>, BTreeMap<Name, usize>, u64)> {
    loop {
        let head = lock(&server.batches).get(batch)?.head.clone()?;
        let names = async {
            if is_first {
                return Ok(BTreeMap::new());
            }
            listing::read_names(server, batch).await
        };
        match (read_batch::spec(server, batch).await, names.await) {
            (Ok(spec), Ok(listed)) => {
                let routes = server.routes();
                let limit_ms = routes
                    .find(&spec.host, &spec.path)
                    .map_or(0, |route| route.queue_limit_ms);
                let limit_platform_ms = head.accepted_platform_ms + limit_ms;
                return Some((spec, listed, limit_platform_ms));
            }
            (Err(error), _) => tracing::warn!(%batch, %error, "batch not read"),
            (_, Err(error)) => tracing::warn!(%batch, %error, "listing not read"),
        }
        tokio::time::sleep(Duration::from_millis(AFTER_FAILURE_MS)).await;
    }
}

fn samples_of_share(spec: &BatchSpec, share: u32, share_count: u32) -> Vec<SampleSpec> {
    let mut groups: BTreeMap<&Name, usize> = BTreeMap::new();
    let mut samples = Vec::new();
    for sample in &spec.samples {
        let count = groups.len();
        let place = *groups.entry(&sample.group).or_insert(count);
        if share_of_group(place, share_count) == share {
            samples.push(sample.clone());
        }
    }
    samples
}
