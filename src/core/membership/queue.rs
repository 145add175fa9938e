use std::collections::BTreeMap;

use crate::core::Name;

/// Keys of items to gossip, each of which is sent a bounded number of times.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    send_counts: BTreeMap<Name, u32>,
}

impl GossipQueue {
    /// Adds a key, or resets its count if it is queued already.
    pub(super) fn push(&mut self, key: Name) {
        self.send_counts.insert(key, 0);
    }

    /// Returns up to `limit` keys, those sent least often first, and counts them as
    /// sent.
    ///
    /// A key is removed after `max_sends`: by then the item has reached every
    /// member with high probability, and anti-entropy repairs the rest.
    pub(super) fn take(&mut self, limit: usize, max_sends: u32) -> Vec<Name> {
        let mut keys: Vec<(u32, Name)> = self
            .send_counts
            .iter()
            .map(|(key, send_count)| (*send_count, key.clone()))
            .collect();
        keys.sort();
        keys.truncate(limit);
        for (send_count, key) in &keys {
            if send_count + 1 >= max_sends {
                self.send_counts.remove(key);
            } else {
                self.send_counts.insert(key.clone(), send_count + 1);
            }
        }
        keys.into_iter().map(|(_, key)| key).collect()
    }
}
