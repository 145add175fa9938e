//! The numbered configuration: read from the table, written by patches.

use std::sync::Arc;

use rand::Rng;
use serde_json::Value;

use super::{
    clock::{now_ms, sleep_until},
    platform::Written,
    state::{Daemon, lock},
};
use crate::{
    core::config::{Versioned, apply, changed_keys},
    error::{ErrorKind, Refusal},
    wire::{
        operators::{Accepted, HistoryEntry, Patch},
        platform::{Check, Transaction, Write},
    },
};

const HEAD_KEY: &str = "config/head";
const HISTORY_PREFIX: &str = "config/history/";
const MIN_POLL_MS: u64 = 1_000;
const MAX_POLL_MS: u64 = 2_000;
const PATCH_TRIES: u32 = 5;

/// Puts a configuration in force if its number is higher than what is here.
pub(crate) fn put_in_force(daemon: &Daemon, versioned: Versioned) {
    let number = versioned.number;
    let document = versioned.document.clone();
    let is_newer = daemon
        .config
        .send_if_modified(|here| here.replace_with(versioned));
    if !is_newer {
        return;
    }
    lock(&daemon.endpoints).configure(&document);
    daemon
        .metrics
        .config_number
        .set(i64::try_from(number).unwrap_or(i64::MAX));
    tracing::info!(number, "configuration in force");
}

/// Reads the table again and again, as the floor under what peers tell.
pub(crate) async fn poll(daemon: Arc<Daemon>) {
    let mut stop = daemon.stop.subscribe();
    while !*stop.borrow_and_update() {
        if let Ok((versioned, _)) = read_head(&daemon).await {
            put_in_force(&daemon, versioned);
        }
        let wait_ms = lock(&daemon.rng).random_range(MIN_POLL_MS..=MAX_POLL_MS);
        tokio::select! {
            () = sleep_until(now_ms() + wait_ms) => {}
            _ = stop.changed() => {}
        }
    }
}

async fn read_head(daemon: &Daemon) -> Result<(Versioned, u64), Refusal> {
    daemon.metrics.platform_reads.inc();
    let Some(row) = daemon.platform.get(HEAD_KEY).await? else {
        return Ok((Versioned::default(), 0));
    };
    let versioned = serde_json::from_value(row.value).map_err(internal)?;
    Ok((versioned, row.row_version))
}

fn patch_key(id: &str) -> Arc<str> {
    format!("config/patch/{id}").into()
}

/// Submits a patch; sending the same patch again gives the first answer.
pub(crate) async fn submit(daemon: &Daemon, patch: &Patch) -> Result<Accepted, Refusal> {
    for _ in 0..PATCH_TRIES {
        if let Some(row) = daemon.platform.get(&patch_key(&patch.id)).await? {
            return first_answer(patch, row.value);
        }
        let (current, row_version) = read_head(daemon).await?;
        put_in_force(daemon, current.clone());
        let next = match apply(&current, patch.against, &patch.merge) {
            Ok(next) => next,
            Err(refusal) => return Err(explain(daemon, patch, refusal).await),
        };
        let transaction = transaction(patch, &next, row_version)?;
        daemon.metrics.platform_writes.inc();
        match daemon.platform.transact(&transaction).await {
            Written::Committed(_) => {
                put_in_force(daemon, next.clone());
                return Ok(Accepted {
                    number: next.number,
                });
            }
            // Read again: either this patch is there now, or another one is.
            Written::Conflict | Written::Unknown | Written::Refused => {}
        }
    }
    Err(Refusal::new(
        ErrorKind::NotConfirmed,
        "the patch is not known to be written; send it again",
    ))
}

fn first_answer(patch: &Patch, row: Value) -> Result<Accepted, Refusal> {
    let (number, earlier): (u64, Patch) = serde_json::from_value(row).map_err(internal)?;
    if earlier == *patch {
        return Ok(Accepted { number });
    }
    Err(Refusal::new(
        ErrorKind::IdReused,
        format!("the patch id '{}' was used with another patch", patch.id),
    ))
}

fn transaction(patch: &Patch, next: &Versioned, row_version: u64) -> Result<Transaction, Refusal> {
    let history = HistoryEntry {
        number: next.number,
        patch_id: patch.id.clone(),
        changed: changed_keys(&patch.merge).into_iter().collect(),
    };
    let history_key = format!("{HISTORY_PREFIX}{:020}", next.number).into();
    let write = |key: Arc<str>, value: Result<Value, serde_json::Error>| {
        value
            .map(|value| Write {
                key,
                value: Some(value),
            })
            .map_err(internal)
    };
    Ok(Transaction {
        checks: vec![
            Check {
                key: HEAD_KEY.into(),
                row_version,
            },
            Check {
                key: patch_key(&patch.id),
                row_version: 0,
            },
        ],
        writes: vec![
            write(HEAD_KEY.into(), serde_json::to_value(next))?,
            write(history_key, serde_json::to_value(&history))?,
            write(
                patch_key(&patch.id),
                serde_json::to_value((next.number, patch)),
            )?,
        ],
    })
}

/// Adds to a refused patch which keys changed since it was written.
async fn explain(daemon: &Daemon, patch: &Patch, refusal: Refusal) -> Refusal {
    if refusal.kind() != ErrorKind::ConfigConflict {
        return refusal;
    }
    let Ok(history) = history(daemon).await else {
        return refusal;
    };
    let later = history
        .into_iter()
        .filter(|entry| entry.number > patch.against);
    let keys: Vec<_> = later.flat_map(|entry| entry.changed).collect();
    Refusal::new(
        refusal.kind(),
        format!("{refusal}; changed since: {}", keys.join(", ")),
    )
}

/// Reads the history of the configuration.
pub(crate) async fn history(daemon: &Daemon) -> Result<Vec<HistoryEntry>, Refusal> {
    let rows = daemon.platform.scan(HISTORY_PREFIX).await?;
    rows.into_iter()
        .map(|row| serde_json::from_value(row.value).map_err(internal))
        .collect()
}

fn internal<E>(error: E) -> Refusal
where
    E: std::fmt::Display,
{
    Refusal::new(ErrorKind::Internal, error.to_string())
}
