use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::ticket::{MAX_CLOCK_SKEW_MS, TICKET_LIFETIME_MS};
use crate::core::{
    Name,
    guard::{self, Guard},
};

/// How long an id is kept after its request ended.
pub const ID_RETENTION_MS: u64 = 120_000;

// The id of a request that ran under a ticket is kept for longer than the
// ticket allows requests with unknown ids to run.
const _: () = assert!(ID_RETENTION_MS > TICKET_LIFETIME_MS + MAX_CLOCK_SKEW_MS);

/// What [`Deduplication::start`] found for a request id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartOutcome<T> {
    /// The id was not known; its request is now recorded as running.
    New,
    /// The request is running.
    Running,
    /// The request ended with this outcome.
    Ended(T),
    /// The id was used with another body.
    Reused,
    /// The id is sealed for the named VM, which alone may run the request.
    Sealed(Name),
    /// The id is not known, and its entry may have expired.
    Unknown,
}

/// What the VM named by a ticket reports to another VM about a request id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReportedOutcome<T> {
    /// The request never ran on this VM and never will.
    NeverRan,
    /// The request is running.
    Running,
    /// The request ended with this outcome.
    Ended(T),
    /// The id was used with another body.
    Reused,
    /// The id is sealed for the named VM, which alone may run the request.
    Sealed(Name),
    /// This VM cannot tell whether the request ran.
    Unknown,
}

/// A daemon process: a VM and the incarnation of its daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonIncarnation {
    /// The VM.
    pub vm: Name,
    /// The incarnation of its daemon.
    pub incarnation: u64,
}

/// Ensures that each request id runs once, and that resends get its outcome.
///
/// An id is sealed when this VM has reported to another VM that the request
/// never ran: from then on only that VM's daemon may run it.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::request::{
///     DaemonIncarnation, Deduplication, ReportedOutcome, StartOutcome,
/// };
///
/// let mut ids: Deduplication<u32> = Deduplication::default();
/// let requester = DaemonIncarnation { vm: "vm-2".into(), incarnation: 1 };
/// let reported = ids.report_outcome(0, &"slip-7".into(), &"body".into(), &requester, true);
/// assert_eq!(reported, ReportedOutcome::NeverRan);
/// let started = ids.start(&"slip-7".into(), &"body".into(), true);
/// assert_eq!(started, StartOutcome::Sealed("vm-2".into()));
/// ```
#[derive(Clone, Debug)]
pub struct Deduplication<T> {
    entries: BTreeMap<Arc<str>, Entry<T>>,
    /// Ids with the time at which their entry expires, earliest first.
    expirations: BTreeSet<(u64, Arc<str>)>,
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
            expirations: BTreeSet::new(),
        }
    }
}

impl<T> Deduplication<T>
where
    T: Clone,
{
    /// Looks up an id, and records its request as running if the id is not known.
    ///
    /// If `may_start` is false, an unknown id is not started, because its entry
    /// may have expired.
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
            State::Ended(outcome) => StartOutcome::Ended(outcome.clone()),
            State::Sealed(sealed_for) => StartOutcome::Sealed(sealed_for.vm.clone()),
        }
    }

    /// Reports what is known of an id to another VM that received it with a
    /// ticket of this VM.
    ///
    /// If `may_seal`, an unknown id is sealed for the requester: the requester
    /// may run the request and no other daemon will. A requester that repeats
    /// the query gets the same answer, because the first one may have been
    /// lost; the requester keeps track itself of whether it has run the id
    /// since.
    pub fn report_outcome(
        &mut self,
        now_ms: u64,
        id: &Arc<str>,
        fingerprint: &Arc<str>,
        requester: &DaemonIncarnation,
        may_seal: bool,
    ) -> ReportedOutcome<T> {
        let Some(entry) = self.entries.get(id) else {
            if !may_seal {
                return ReportedOutcome::Unknown;
            }
            if guard::is_on(Guard::SettleSeal) {
                let entry = Entry {
                    fingerprint: fingerprint.clone(),
                    state: State::Sealed(requester.clone()),
                };
                self.entries.insert(id.clone(), entry);
                self.expirations
                    .insert((now_ms + ID_RETENTION_MS, id.clone()));
            }
            return ReportedOutcome::NeverRan;
        };
        if entry.fingerprint != *fingerprint {
            return ReportedOutcome::Reused;
        }
        match &entry.state {
            State::Running => ReportedOutcome::Running,
            State::Ended(outcome) => ReportedOutcome::Ended(outcome.clone()),
            State::Sealed(sealed_for) if sealed_for != requester => {
                ReportedOutcome::Sealed(sealed_for.vm.clone())
            }
            State::Sealed(_) if may_seal => ReportedOutcome::NeverRan,
            State::Sealed(_) => ReportedOutcome::Unknown,
        }
    }

    /// Records the outcome of a request, and keeps it for [`ID_RETENTION_MS`].
    pub fn finish(&mut self, now_ms: u64, id: &Arc<str>, outcome: T) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.state = State::Ended(outcome);
            self.expirations
                .insert((now_ms + ID_RETENTION_MS, id.clone()));
        }
    }

    /// Removes the id of a request that did not run, so that it can be sent again.
    pub fn remove(&mut self, id: &Arc<str>) {
        self.entries.remove(id);
    }

    /// Removes the ids whose retention time has passed.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some((expires_at_ms, id)) = self.expirations.pop_first() {
            if expires_at_ms > now_ms {
                self.expirations.insert((expires_at_ms, id));
                return;
            }
            self.entries.remove(&id);
        }
    }
}
