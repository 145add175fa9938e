use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::StreamOrigin;

/// The streams that one VM has begun and whose callers still wait.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::streams::{BegunStreams, StreamOrigin};
///
/// let origin = StreamOrigin { service: "demand-lm".into(), software: "v1".into() };
/// let mut begun = BegunStreams::default();
/// begun.insert("request-1", origin.clone(), 8_000);
/// let row = begun.to_row(0, 500_000, 10).expect("one stream is in progress");
/// assert_eq!(row.origin_of("request-1"), Some(&origin));
/// assert_eq!(begun.to_row(8_000, 508_000, 10), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BegunStreams {
    /// The origin of each stream and until when its caller waits, by the fingerprint of
    /// the request that began it.
    streams: BTreeMap<u64, (StreamOrigin, u64)>,
}

impl BegunStreams {
    /// How long a VM waits for further streams before it writes its row, in milliseconds.
    pub const WRITE_DELAY_MS: u64 = 10;

    /// Returns the shortest time between two writes of one VM's row, in milliseconds: all
    /// VMs together write 200 rows a second at most.
    #[must_use]
    pub const fn write_interval_ms(live_vms: u64) -> u64 {
        const MIN_INTERVAL_MS: u64 = 100;
        const INTERVAL_PER_VM_MS: u64 = 5;
        let interval_ms = live_vms * INTERVAL_PER_VM_MS;
        if interval_ms < MIN_INTERVAL_MS {
            MIN_INTERVAL_MS
        } else {
            interval_ms
        }
    }

    /// Records the origin of a stream whose caller waits until a time.
    pub fn insert(&mut self, request_id: &str, origin: StreamOrigin, until_ms: u64) {
        let fingerprint = xxh3_64(request_id.as_bytes());
        self.streams
            .entry(fingerprint)
            .or_insert((origin, until_ms));
    }

    /// Returns the row for the store with the streams in progress, those that last
    /// longest first if they are more than `max_streams`; `None` if there is none.
    pub fn to_row(
        &mut self,
        now_ms: u64,
        platform_ms: u64,
        max_streams: usize,
    ) -> Option<BegunStreamsRow> {
        self.streams.retain(|_, (_, until_ms)| now_ms < *until_ms);
        let mut latest: Vec<_> = self.streams.iter().collect();
        latest.sort_by_key(|(_, (_, until_ms))| std::cmp::Reverse(*until_ms));
        let (_, (_, last_ms)) = latest.first()?;
        let expires_platform_ms = platform_ms + (last_ms - now_ms);
        latest.truncate(max_streams);
        let origins: BTreeSet<&StreamOrigin> =
            latest.iter().map(|(_, (origin, _))| origin).collect();
        let origins: Vec<StreamOrigin> = origins.into_iter().cloned().collect();
        let index_of = |origin: &StreamOrigin| origins.iter().position(|known| known == origin);
        let streams = latest
            .iter()
            .filter_map(|(fingerprint, (origin, _))| Some((**fingerprint, index_of(origin)?)))
            .collect();
        Some(BegunStreamsRow {
            expires_platform_ms,
            origins,
            streams,
        })
    }
}

/// The streams that one VM has begun, as the store keeps them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BegunStreamsRow {
    /// When no caller waits for any of them, in milliseconds of the platform's clock.
    pub expires_platform_ms: u64,
    /// The origins that occur.
    origins: Vec<StreamOrigin>,
    /// The position of each stream's origin, by the fingerprint of its first request.
    streams: BTreeMap<u64, usize>,
}

impl BegunStreamsRow {
    /// About the bytes that the row takes for each stream.
    pub const BYTES_PER_STREAM: usize = 10;

    /// Returns the origin of the stream that a request began.
    #[must_use]
    pub fn origin_of(&self, request_id: &str) -> Option<&StreamOrigin> {
        let index = self.streams.get(&xxh3_64(request_id.as_bytes()))?;
        self.origins.get(*index)
    }
}
