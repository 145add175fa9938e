//! Faults of a running platform, switched from the command line.

use std::{net::SocketAddr, time::Duration};

use chicoryreach::daemon::HttpClient;

use crate::platform::Faults;

const TIMEOUT_MS: u64 = 2_000;

/// Switches faults on for a while, then off again.
///
/// # Errors
///
/// A sentence if the platform cannot be told.
pub async fn inject_for(platform: SocketAddr, faults: Faults, for_ms: u64) -> Result<(), String> {
    set(platform, faults).await?;
    tokio::time::sleep(Duration::from_millis(for_ms)).await;
    set(platform, Faults::default()).await
}

async fn set(platform: SocketAddr, faults: Faults) -> Result<(), String> {
    let answer: Result<Faults, _> = HttpClient::new()
        .post_json(platform, "/admin/faults", &faults, TIMEOUT_MS)
        .await;
    answer.map(|_| ()).map_err(|error| error.to_string())
}
