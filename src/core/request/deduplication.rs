use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::ticket::{MAX_CLOCK_SKEW_MS, TICKET_LIFETIME_MS};
use crate::core::{
    Name,
    guard::{self, Guard},
};

/// How long an id is remembered after its request ended.
pub const ID_RETENTION_MS: u64 = 120_000;

/// Whatever ran under a ticket is remembered for longer than the ticket lets
/// unknown ids run.
const _: () = assert!(ID_RETENTION_MS > TICKET_LIFETIME_MS + MAX_CLOCK_SKEW_MS);

/// What is known of a request id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartOutcome<T> {
    /// It is new, and now runs.
    New,
    /// It runs now.
    Running,
    /// It ended with this.
    Ended(T),
    /// It was used with another body.
    Reused,
    /// This VM was told to run it.
    Sealed(Name),
    /// It is not known, and may have been forgotten.
    Unknown,
}

/// What the VM that a ticket names says of an id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReportedOutcome<T> {
    /// It never ran here, and never will.
    NeverRan,
    /// It runs now.
    Running,
    /// It ended with this.
    Ended(T),
    /// It was used with another body.
    Reused,
    /// This VM was told to run it.
    Sealed(Name),
    /// Nothing is known of it that can be answered for.
    Unknown,
}

/// One start of one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonIncarnation {
    /// The VM.
    pub vm: Name,
    /// The incarnation of its daemon.
    pub incarnation: u64,
}

/// Runs each request id once, and gives resends the first answer.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::request::{DaemonIncarnation, Deduplication, StartOutcome, ReportedOutcome};
///
/// let mut ids: Deduplication<u32> = Deduplication::default();
/// let asker = DaemonIncarnation { vm: "vm-2".into(), incarnation: 1 };
/// let settled = ids.report_outcome(0, &"slip-7".into(), &"body".into(), &asker, true);
/// assert_eq!(settled, ReportedOutcome::NeverRan);
/// let seen = ids.start(&"slip-7".into(), &"body".into(), true);
/// assert_eq!(seen, StartOutcome::Sealed("vm-2".into()));
/// ```
#[derive(Clone, Debug)]
pub struct Deduplication<T> {
    entries: BTreeMap<Arc<str>, Entry<T>>,
    forget: BTreeSet<(u64, Arc<str>)>,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    fingerprint: Arc<str>,
    state: State<T>,
}

#[derive(Clone, Debug)]
enum State<T> {
    Running,
    Ended(T),
    Sealed(DaemonIncarnation),
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
    /// Looks up an id, and starts it if it is new and `may_start`.
    pub fn start(
        &mut self,
        id: &Arc<str>,
        fingerprint: &Arc<str>,
        may_start: bool,
    ) -> StartOutcome<T> {
        if !guard::is_on(Guard::RequestDeduplication) {
            return StartOutcome::New;
        }
        let Some(entry) = self.entries.get(id) else {
            if !may_start {
                return StartOutcome::Unknown;
            }
            let entry = Entry {
                fingerprint: fingerprint.clone(),
                state: State::Running,
            };
            self.entries.insert(id.clone(), entry);
            return StartOutcome::New;
        };
        if entry.fingerprint != *fingerprint {
            return StartOutcome::Reused;
        }
        match &entry.state {
            State::Running => StartOutcome::Running,
            State::Ended(with) => StartOutcome::Ended(with.clone()),
            State::Sealed(asker) => StartOutcome::Sealed(asker.vm.clone()),
        }
    }

    /// Answers another VM that was sent a ticket of this one.
    ///
    /// An id that is not known is sealed for the asker, if `may_seal`: the
    /// asker may run it, nobody else will. The same asker is told the same
    /// again, for its answer may have been lost; it remembers itself whether
    /// it has run the id since.
    pub fn report_outcome(
        &mut self,
        now_ms: u64,
        id: &Arc<str>,
        fingerprint: &Arc<str>,
        asker: &DaemonIncarnation,
        may_seal: bool,
    ) -> ReportedOutcome<T> {
        let Some(entry) = self.entries.get(id) else {
            if !may_seal {
                return ReportedOutcome::Unknown;
            }
            if guard::is_on(Guard::SettleSeal) {
                let entry = Entry {
                    fingerprint: fingerprint.clone(),
                    state: State::Sealed(asker.clone()),
                };
                self.entries.insert(id.clone(), entry);
                self.forget.insert((now_ms + ID_RETENTION_MS, id.clone()));
            }
            return ReportedOutcome::NeverRan;
        };
        if entry.fingerprint != *fingerprint {
            return ReportedOutcome::Reused;
        }
        match &entry.state {
            State::Running => ReportedOutcome::Running,
            State::Ended(with) => ReportedOutcome::Ended(with.clone()),
            State::Sealed(sealed) if sealed != asker => ReportedOutcome::Sealed(sealed.vm.clone()),
            State::Sealed(_) if may_seal => ReportedOutcome::NeverRan,
            State::Sealed(_) => ReportedOutcome::Unknown,
        }
    }

    /// Notes how a request ended.
    pub fn finish(&mut self, now_ms: u64, id: &Arc<str>, with: T) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.state = State::Ended(with);
            self.forget.insert((now_ms + ID_RETENTION_MS, id.clone()));
        }
    }

    /// Forgets a request that did not run, so that it can be sent again.
    pub fn remove(&mut self, id: &Arc<str>) {
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
