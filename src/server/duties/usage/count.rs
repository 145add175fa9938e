use std::{
    fmt,
    sync::{Arc, Mutex},
};

use super::{super::Duties, UsageState};
use crate::{
    core::{Name, duties::RequestCount},
    daemon::now_ms,
    server::state::{Server, lock},
};

/// How a caller's request is counted for its account.
pub(crate) struct RequestUsage {
    server: Arc<Server>,
    duties: Arc<Duties>,
    account: Name,
    count: Mutex<Counted>,
}

#[derive(Default)]
struct Counted {
    request: RequestCount,
    /// The window in which the request is counted.
    window: Option<u64>,
}

impl fmt::Debug for RequestUsage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let account = &self.account;
        formatter
            .debug_struct("RequestUsage")
            .field("account", account)
            .finish_non_exhaustive()
    }
}

impl RequestUsage {
    /// Returns the count of a request, if requests of its account are counted.
    pub(crate) fn of(server: &Arc<Server>, account: Option<&Name>) -> Option<Arc<Self>> {
        let duties = server.duties.clone()?;
        duties.usage.as_ref()?;
        Some(Arc::new(Self {
            server: server.clone(),
            duties,
            account: account?.clone(),
            count: Mutex::default(),
        }))
    }

    fn change<C>(&self, change: C)
    where
        C: FnOnce(&mut RequestCount, u64),
    {
        let Some(usage) = &self.duties.usage else {
            return;
        };
        let mut count = lock(&self.count);
        change(&mut count.request, usage.true_ms(&self.server.store));
        let begun_ms = count.request.begun_ms();
        let window = begun_ms.map(|begun_ms| usage.windows.window_of(begun_ms));
        let before = std::mem::replace(&mut count.window, window);
        if before != window {
            self.move_count(usage, before, window);
        }
    }

    fn move_count(&self, usage: &UsageState, before: Option<u64>, window: Option<u64>) {
        let mut counts = lock(&usage.counts);
        if let Some(before) = before {
            counts.on_not_run(before, &self.account, now_ms());
        }
        if let Some(window) = window {
            counts.on_begun(window, &self.account, now_ms());
        }
        usage.changed.notify_one();
    }
}

/// How one attempt of a caller's request changes the count of the request.
#[derive(Clone, Debug)]
pub(crate) struct AttemptUsage {
    pub(crate) request: Arc<RequestUsage>,
    /// The number of the attempt, which no other attempt of the request has.
    pub(crate) attempt: u32,
}

impl AttemptUsage {
    /// Records that the attempt is sent.
    pub(crate) fn on_sent(&self) {
        let attempt = self.attempt;
        self.request
            .change(|request, true_ms| request.on_sent(attempt, true_ms));
    }

    /// Records that the endpoint has not run it.
    pub(crate) fn on_not_run(&self) {
        let attempt = self.attempt;
        self.request
            .change(|request, _| request.on_not_run(attempt));
    }
}
