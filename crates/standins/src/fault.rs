//! Injects faults into a running platform from the command line.

use std::{net::SocketAddr, time::Duration};

use chicoryreach::daemon::HttpClient;

use crate::platform::Faults;

const CALL_TIMEOUT_MS: u64 = 2_000;

/// Sets the platform's faults, and clears them after `duration_ms`.
///
/// # Errors
///
/// Returns a message if a call to the platform fails.
pub async fn inject_for(
    platform: SocketAddr,
    faults: Faults,
    duration_ms: u64,
) -> Result<(), String> {
    set_faults(platform, faults).await?;
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
    set_faults(platform, Faults::default()).await
}

async fn set_faults(platform: SocketAddr, faults: Faults) -> Result<(), String> {
    let answer: Result<Faults, _> = HttpClient::new()
        .post_json(platform, "/admin/faults", &faults, CALL_TIMEOUT_MS)
        .await;
    answer
        .map(|_| ())
        .map_err(|error| format!("cannot set the faults of platform {platform}: {error}"))
}
