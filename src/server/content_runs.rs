//! Starts runs of contents that may crash endpoints, as the quarantine permits.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    crash_rows,
    state::{InFlight, Server, lock},
};
use crate::{
    core::{
        Name,
        quarantine::{BLAME_DURATION_MS, Permit},
        rate_limit::Purpose,
    },
    daemon::now_ms,
    error::{ErrorKind, Refusal},
};

/// How often a content that has to wait is tried again, in milliseconds.
const WAIT_INTERVAL_MS: u64 = 10;

/// Whether a run of a content was started.
pub(crate) enum StartOutcome {
    Started(InFlight),
    /// No endpoint accepts it.
    NoEndpoint,
    /// It waits until a run in progress shows whether it crashes endpoints.
    Wait,
    /// This VM must claim the late retry with this number first.
    Unclaimed(u32),
    /// It must not run before this time.
    Held {
        until_ms: u64,
    },
}

/// Starts a run if the quarantine permits it without a claim. One whose purpose is in the
/// background needs none: it was handed in for later, and is owed.
///
/// `choose` returns an endpoint that is not in the given set.
pub(crate) fn try_start<F>(
    server: &Arc<Server>,
    content: &Name,
    purpose: Purpose,
    choose: F,
) -> StartOutcome
where
    F: FnOnce(&BTreeSet<Name>) -> Option<Name>,
{
    if !crash_rows::have_been_read(server) {
        return StartOutcome::Wait;
    }
    let now_ms = now_ms();
    // Held until the run is recorded, so that no second trial starts concurrently.
    let mut quarantine = lock(&server.quarantine);
    let permit = if purpose.is_background() {
        quarantine.permit_owed(now_ms, content)
    } else {
        quarantine.permit(now_ms, content)
    };
    let avoid = match permit {
        Permit::Unrestricted => BTreeSet::new(),
        Permit::Trial { avoid } => avoid,
        Permit::Wait => return StartOutcome::Wait,
        Permit::Claim { avoid, number } => {
            return match choose(&avoid) {
                Some(_) => StartOutcome::Unclaimed(number),
                None => StartOutcome::NoEndpoint,
            };
        }
        Permit::Held { until_ms } => return StartOutcome::Held { until_ms },
        Permit::Quarantined => {
            return StartOutcome::Held {
                until_ms: now_ms + BLAME_DURATION_MS,
            };
        }
    };
    let Some(endpoint) = choose(&avoid) else {
        return StartOutcome::NoEndpoint;
    };
    quarantine.on_start(&endpoint, content, now_ms);
    drop(quarantine);
    StartOutcome::Started(server.track_request(&endpoint, content))
}

/// Claims a late retry and starts it.
async fn claim_and_start<F>(
    server: &Arc<Server>,
    content: &Name,
    number: u32,
    choose: F,
) -> Option<InFlight>
where
    F: FnOnce(&BTreeSet<Name>) -> Option<Name>,
{
    if !crash_rows::claim_late_retry(server, content, number).await {
        return None;
    }
    let mut quarantine = lock(&server.quarantine);
    let endpoint = choose(&quarantine.endpoints_of_suspects())?;
    quarantine.on_start(&endpoint, content, now_ms());
    drop(quarantine);
    Some(server.track_request(&endpoint, content))
}

/// Starts a run, after a wait or a claim if the quarantine requires it.
///
/// Returns `None` if no endpoint accepts the content.
///
/// # Errors
///
/// Returns `ContentHeld` if the content must not run now, `ConfigTooOld` if this VM
/// has just started and cannot tell, and `Overloaded` if a run in progress of the
/// same content lasts until `wait_until_ms`.
pub(crate) async fn start<F>(
    server: &Arc<Server>,
    content: &Name,
    wait_until_ms: u64,
    choose: F,
) -> Result<Option<InFlight>, Refusal>
where
    F: Fn(&BTreeSet<Name>) -> Option<Name>,
{
    if !crash_rows::have_been_read(server) {
        let message = "this VM has not read the rows of crashes yet";
        return Err(Refusal::new(ErrorKind::ConfigTooOld, message));
    }
    loop {
        match try_start(server, content, Purpose::Caller, &choose) {
            StartOutcome::Started(in_flight) => return Ok(Some(in_flight)),
            StartOutcome::NoEndpoint => return Ok(None),
            StartOutcome::Held { until_ms } => return Err(held_refusal(server, content, until_ms)),
            StartOutcome::Unclaimed(number) => {
                let claimed = claim_and_start(server, content, number, &choose).await;
                return match claimed {
                    Some(in_flight) => Ok(Some(in_flight)),
                    None => Err(held_refusal(
                        server,
                        content,
                        held_until_ms(server, content),
                    )),
                };
            }
            StartOutcome::Wait if now_ms() >= wait_until_ms => {
                let message = "another run of this content is still in progress";
                return Err(Refusal::new(ErrorKind::Overloaded, message));
            }
            StartOutcome::Wait => {
                tokio::time::sleep(Duration::from_millis(WAIT_INTERVAL_MS)).await;
            }
        }
    }
}

/// Returns until when a content is held at least.
fn held_until_ms(server: &Server, content: &Name) -> u64 {
    let now_ms = now_ms();
    match lock(&server.quarantine).permit(now_ms, content) {
        Permit::Held { until_ms } => until_ms,
        _ => now_ms,
    }
}

/// Returns the refusal of a content that must not run before a time.
fn held_refusal(server: &Server, content: &Name, until_ms: u64) -> Refusal {
    let crashes = lock(&server.quarantine).crash_count(content);
    let message = format!("content {content} has crashed {crashes} endpoints");
    Refusal::new(ErrorKind::ContentHeld, message).with_retry_at(until_ms)
}
