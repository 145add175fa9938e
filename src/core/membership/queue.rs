use std::collections::BTreeMap;

use crate::core::Name;

/// News that still has to be told, each piece a bounded number of times.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    sent: BTreeMap<Name, u32>,
}

impl Queue {
    /// Queues a piece of news, or starts over with it.
    pub(super) fn push(&mut self, key: Name) {
        self.sent.insert(key, 0);
    }

    /// Returns up to `limit` pieces, those that were sent least first.
    ///
    /// A piece is dropped after `max_sends`: by then it has reached every
    /// member with high probability, and anti-entropy repairs the rest.
    pub(super) fn take(&mut self, limit: usize, max_sends: u32) -> Vec<Name> {
        let mut keys: Vec<(u32, Name)> = self
            .sent
            .iter()
            .map(|(key, sent)| (*sent, key.clone()))
            .collect();
        keys.sort();
        keys.truncate(limit);
        for (sent, key) in &keys {
            if sent + 1 >= max_sends {
                self.sent.remove(key);
            } else {
                self.sent.insert(key.clone(), sent + 1);
            }
        }
        keys.into_iter().map(|(_, key)| key).collect()
    }
}
