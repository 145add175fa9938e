use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::core::guard::{self, Guard};

/// How long an id is remembered after its request ended.
pub const REMEMBER_MS: u64 = 120_000;

/// What is known of a request id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Seen<T> {
    /// It is new, and now runs.
    New,
    /// It runs now.
    Running,
    /// It ended with this.
    Ended(T),
    /// It was used with another body.
    Reused,
}

/// Runs each request id once, and gives resends the first answer.
#[derive(Clone, Debug)]
pub struct Deduplication<T> {
    entries: BTreeMap<Arc<str>, Entry<T>>,
    forget: BTreeSet<(u64, Arc<str>)>,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    fingerprint: Arc<str>,
    ended: Option<T>,
}

impl<T> Default for Deduplication<T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            forget: BTreeSet::new(),
        }
    }
}

impl<T> Deduplication<T>
where
    T: Clone,
{
    /// Looks up an id, and starts it if it is new.
    pub fn start(&mut self, id: &Arc<str>, fingerprint: &Arc<str>) -> Seen<T> {
        if !guard::is_on(Guard::RequestDeduplication) {
            return Seen::New;
        }
        let Some(entry) = self.entries.get(id) else {
            let entry = Entry {
                fingerprint: fingerprint.clone(),
                ended: None,
            };
            self.entries.insert(id.clone(), entry);
            return Seen::New;
        };
        if entry.fingerprint != *fingerprint {
            return Seen::Reused;
        }
        entry.ended.clone().map_or(Seen::Running, Seen::Ended)
    }

    /// Notes how a request ended.
    pub fn end(&mut self, now_ms: u64, id: &Arc<str>, with: T) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.ended = Some(with);
            self.forget.insert((now_ms + REMEMBER_MS, id.clone()));
        }
    }

    /// Forgets a request that did not run, so that it can be sent again.
    pub fn cancel(&mut self, id: &Arc<str>) {
        self.entries.remove(id);
    }

    /// Forgets what ended long enough ago.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some((at_ms, id)) = self.forget.pop_first() {
            if at_ms > now_ms {
                self.forget.insert((at_ms, id));
                return;
            }
            self.entries.remove(&id);
        }
    }
}
