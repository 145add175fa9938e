use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// The most streams whose origins are kept; beyond that, those that end first are
/// forgotten.
const MAX_STREAMS: usize = 20_000;

/// The service and the software version that began a stream.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: Name,
    /// The version of the software.
    pub software: Name,
}

impl fmt::Display for StreamOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "software {} of service {}",
            self.software, self.service
        )
    }
}

/// Tells another VM who began a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamNotice {
    /// The request that brought the stream's first event.
    pub request_id: Name,
    /// Who began the stream.
    pub origin: StreamOrigin,
    /// How long the caller still waits, in milliseconds.
    pub remaining_ms: u64,
}

/// The origins of streams, by the request that brought the first event.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::streams::{StreamOrigin, StreamOrigins};
///
/// let mut origins = StreamOrigins::default();
/// let origin = StreamOrigin { service: "demand-lm".into(), software: "v1".into() };
/// origins.insert(0, "request-1".into(), origin.clone(), 8_000);
/// assert_eq!(origins.get(7_999, "request-1"), Some(&origin));
/// assert_eq!(origins.get(8_000, "request-1"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    origins: BTreeMap<Name, (StreamOrigin, u64)>,
    /// The requests by when they are forgotten.
    by_end: BTreeSet<(u64, Name)>,
}

impl StreamOrigins {
    /// Keeps the origin of a stream until a time.
    ///
    /// The first origin of a request stays: it is the one that brought events.
    pub fn insert(&mut self, now_ms: u64, request_id: Name, origin: StreamOrigin, until_ms: u64) {
        self.expire(now_ms);
        if self.origins.contains_key(&request_id) {
            return;
        }
        self.by_end.insert((until_ms, request_id.clone()));
        self.origins.insert(request_id, (origin, until_ms));
        while self.origins.len() > MAX_STREAMS {
            self.forget_first();
        }
    }

    /// Returns the origin of a stream, if it is known.
    #[must_use]
    pub fn get(&self, now_ms: u64, request_id: &str) -> Option<&StreamOrigin> {
        let (origin, until_ms) = self.origins.get(request_id)?;
        (now_ms < *until_ms).then_some(origin)
    }

    /// Returns the number of streams whose origins are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no origin is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((until_ms, _)) = self.by_end.first()
            && *until_ms <= now_ms
        {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, request_id)) = self.by_end.pop_first() {
            self.origins.remove(&request_id);
        }
    }
}
