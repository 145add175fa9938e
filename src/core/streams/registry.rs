use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::StreamOrigin;
use crate::core::Name;

/// How long an origin stays registered after its last endpoint was listed, in
/// milliseconds: endpoints serve on for some time, also to VMs whose list is old.
const KEEP_UNLISTED_MS: u64 = 600_000;

/// An origin at which streams of a route may begin.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct RegisteredOrigin {
    host: Name,
    /// The prefix of the route's paths.
    prefix: Name,
    origin: StreamOrigin,
    /// Since when no endpoint of the origin is listed, in milliseconds of the platform's
    /// clock.
    unlisted_since_ms: Option<u64>,
}

/// The origins at which streams may have begun that are in progress.
///
/// It is kept in the store. An origin is registered before the first stream begins
/// there: where a single one is registered for a path, it began all streams of that
/// path, whoever asks.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::streams::{OriginRegistry, StreamOrigin};
///
/// let v1 = StreamOrigin { service: "demand-lm".into(), software: "v1".into() };
/// let mut registry = OriginRegistry::default();
/// assert!(registry.register("host", "/chats/", &v1));
/// assert_eq!(registry.only_origin("host", "/chats/1"), Some(&v1));
/// assert_eq!(registry.only_origin("host", "/other/"), None);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginRegistry {
    origins: Vec<RegisteredOrigin>,
}

impl OriginRegistry {
    /// Registers an origin for the paths of a route; returns whether it was not
    /// registered before.
    pub fn register(&mut self, host: &str, prefix: &str, origin: &StreamOrigin) -> bool {
        if self.contains(host, prefix, origin) {
            return false;
        }
        self.origins.push(RegisteredOrigin {
            host: host.into(),
            prefix: prefix.into(),
            origin: origin.clone(),
            unlisted_since_ms: None,
        });
        true
    }

    /// Returns whether an origin is registered for the paths of a route.
    #[must_use]
    pub fn contains(&self, host: &str, prefix: &str, origin: &StreamOrigin) -> bool {
        self.origins.iter().any(|known| {
            &*known.host == host && &*known.prefix == prefix && known.origin == *origin
        })
    }

    /// Returns the origin that began all streams of a path, if there is just one.
    #[must_use]
    pub fn only_origin(&self, host: &str, path: &str) -> Option<&StreamOrigin> {
        let matches =
            |known: &&RegisteredOrigin| &*known.host == host && path.starts_with(&*known.prefix);
        let mut origins = self
            .origins
            .iter()
            .filter(matches)
            .map(|known| &known.origin);
        let first = origins.next()?;
        origins.all(|other| other == first).then_some(first)
    }

    /// Records which origins are listed, and removes those that have not been listed for
    /// long; returns whether the registry changed.
    pub fn on_listed(&mut self, platform_ms: u64, listed: &BTreeSet<StreamOrigin>) -> bool {
        let before = self.origins.clone();
        for known in &mut self.origins {
            if listed.contains(&known.origin) {
                known.unlisted_since_ms = None;
            } else {
                known.unlisted_since_ms.get_or_insert(platform_ms);
            }
        }
        self.origins.retain(|known| {
            known
                .unlisted_since_ms
                .is_none_or(|since_ms| platform_ms < since_ms + KEEP_UNLISTED_MS)
        });
        before != self.origins
    }
}
