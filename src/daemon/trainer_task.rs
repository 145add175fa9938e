//! Runs one trainer's ledger: its lease, its commits, and its hand-over to
//! another VM when this one leaves.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::{
    sync::{Notify, watch},
    task::JoinSet,
};

use super::{
    clock::{now_ms, sleep_until},
    lease_keeper::LeaseKeeper,
    ledger_io::{self, CommitResult},
    sample_task,
    state::{Daemon, lock},
};
use crate::{
    core::{
        Name,
        sample::{CommitPacer, CommitPlan, Ledger, SampleOutcome, UncommittedSample},
    },
    error::{ErrorKind, Refusal},
    wire::trainers::Slot,
};

/// How long a loop that has nothing to do waits unless it is woken.
pub(super) const IDLE_WAIT_MS: u64 = 1_000;
/// The delay after a failure of the platform, and between two checks whether this
/// VM is a candidate for the lease.
pub(super) const RETRY_DELAY_MS: u64 = 500;
/// How long a leaving holder waits for samples that are being generated.
const HAND_OVER_TIMEOUT_MS: u64 = 2_000;
const HAND_OVER_COMMIT_PAUSE_MS: u64 = 100;
/// No more samples are retained once the retained ones have this total size.
const MAX_RETAINED_BYTES: usize = 64 * 1024 * 1024;

/// What has been committed, for the calls that wait for their change.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CommitProgress {
    /// The number of the current ledger of this task. Uncommitted changes to an
    /// earlier ledger are lost.
    pub(crate) ledger_number: u64,
    /// The number of the last committed change.
    pub(crate) committed_change: u64,
    pub(crate) acknowledged_cursor: u64,
    /// The number of failures of the platform so far.
    pub(crate) failures: u64,
}

/// One trainer's ledger, if this VM holds its lease.
#[derive(Debug)]
pub(crate) struct TrainerTask {
    pub(crate) trainer: Name,
    pub(crate) wake_ledger: Notify,
    pub(crate) progress: watch::Sender<CommitProgress>,
    pub(crate) lease: LeaseKeeper,
    pub(super) wake_lease: Notify,
    is_leaving: AtomicBool,
    pub(super) state: Mutex<LedgerState>,
    /// Whether all slots of the next undelivered step have been started.
    pub(super) is_tail: Arc<AtomicBool>,
    pub(super) last_fetch: Mutex<LastFetch>,
}

/// The last fetch of the trainer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastFetch {
    /// The cursor that the fetch returned.
    pub(super) cursor: u64,
    pub(super) at_ms: u64,
}

/// The ledger, and the samples that are not in it yet.
#[derive(Debug, Default)]
pub(super) struct LedgerState {
    pub(super) ledger: Option<Ledger>,
    /// A commit whose result is unknown.
    unresolved_commit: Option<CommitPlan>,
    /// Samples that are in no ledger, for the next ledger of this VM.
    retained: Vec<UncommittedSample>,
    /// The slots for which a sample is being generated, also those taken from an
    /// earlier ledger. The next ledger of this VM must not take them again.
    pub(super) generating: BTreeSet<Slot>,
    pacer: CommitPacer,
    /// When to retry the platform, if the last attempt failed.
    retry_at_ms: Option<u64>,
}

impl LedgerState {
    /// Retains a sample for the next ledger; drops it if the limit is reached.
    fn retain_sample(&mut self, sample: UncommittedSample) {
        let retained_bytes: usize = self
            .retained
            .iter()
            .map(UncommittedSample::size_bytes)
            .sum();
        if retained_bytes < MAX_RETAINED_BYTES {
            self.retained.push(sample);
        }
    }

    /// Drops the ledger and retains its uncommitted samples. Returns whether there
    /// was a ledger.
    fn drop_ledger(&mut self) -> bool {
        let Some(mut ledger) = self.ledger.take() else {
            return false;
        };
        if let Some(plan) = self.unresolved_commit.take() {
            ledger.on_not_committed(plan);
        }
        for sample in ledger.into_uncommitted() {
            self.retain_sample(sample);
        }
        true
    }

    /// Installs a new ledger and offers it the retained samples. A sample whose
    /// slot is already filled is dropped.
    fn install_ledger(&mut self, mut ledger: Ledger) {
        for sample in std::mem::take(&mut self.retained) {
            ledger.on_sample(sample);
        }
        for slot in &self.generating {
            ledger.mark_generating(*slot);
        }
        self.ledger = Some(ledger);
    }
}

impl TrainerTask {
    pub(crate) fn new(daemon: &Daemon, trainer: Name) -> Self {
        let lease = LeaseKeeper::new(daemon, format!("trainer/{trainer}").into());
        Self {
            trainer,
            wake_ledger: Notify::new(),
            progress: watch::Sender::default(),
            lease,
            wake_lease: Notify::new(),
            is_leaving: AtomicBool::new(false),
            state: Mutex::default(),
            is_tail: Arc::default(),
            last_fetch: Mutex::default(),
        }
    }

    /// Calls `act` with the ledger, and returns the number of the ledger with the
    /// result.
    ///
    /// # Errors
    ///
    /// The error of `act`, or [`ErrorKind::NotHolder`] with the address of the
    /// holder, if known, when this VM does not hold the ledger.
    pub(crate) fn with_ledger<F, T>(&self, daemon: &Daemon, act: F) -> Result<(u64, T), Refusal>
    where
        F: FnOnce(&mut Ledger) -> Result<T, Refusal>,
    {
        let is_held = self.lease.fence().is_some();
        let mut state = lock(&self.state);
        if let Some(ledger) = state.ledger.as_mut().filter(|_| is_held) {
            let result = act(ledger)?;
            return Ok((self.progress.borrow().ledger_number, result));
        }
        drop(state);
        // The trainer was referred to this VM, so the lease may be free by now.
        self.wake_lease.notify_one();
        Err(self.not_holder_refusal(daemon))
    }

    /// Returns when the platform is retried, if the last attempt failed.
    pub(crate) fn retry_at_ms(&self) -> Option<u64> {
        lock(&self.state).retry_at_ms
    }

    /// Returns a refusal with the address of the holder, or of its first candidate.
    fn not_holder_refusal(&self, daemon: &Daemon) -> Refusal {
        let refusal = Refusal::new(
            ErrorKind::NotHolder,
            "another VM holds the trainer's ledger",
        );
        let holder = self.lease.holder_or_candidate(daemon);
        let members = lock(&daemon.membership);
        let record = members
            .records()
            .find(|record| Some(&record.vm) == holder.as_ref());
        match record {
            Some(record) => refusal.with_address(record.caller_address.to_string()),
            None => refusal,
        }
    }

    /// Offers a sample to the ledger, or retains it for the next one.
    pub(super) fn offer_sample(&self, sample: UncommittedSample) -> SampleOutcome {
        let mut state = lock(&self.state);
        let slot = sample.slot();
        let Some(ledger) = &mut state.ledger else {
            state.generating.remove(&slot);
            state.retain_sample(sample);
            return SampleOutcome::NoOpenSlot;
        };
        let outcome = ledger.on_sample(sample);
        if outcome != SampleOutcome::Stale {
            state.generating.remove(&slot);
        }
        outcome
    }

    /// Opens the slot of a sample that could not be generated.
    pub(super) fn on_generation_failed(&self, slot: Slot) {
        let mut state = lock(&self.state);
        state.generating.remove(&slot);
        if let Some(ledger) = &mut state.ledger {
            ledger.on_generation_failed(slot);
        }
    }

    /// Keeps the lease and runs the ledger until the daemon stops.
    pub(crate) async fn run(self: Arc<Self>, daemon: Arc<Daemon>) {
        // The two run concurrently, so that a slow commit does not delay the
        // renewal of the lease.
        tokio::join!(self.keep_lease(&daemon), self.run_ledger(&daemon));
        lock(&self.state).drop_ledger();
        self.lease.release(&daemon).await;
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Runs the ledger until the daemon stops, and hands it over if this VM leaves.
    async fn run_ledger(self: &Arc<Self>, daemon: &Arc<Daemon>) {
        let mut stop = daemon.stop_tasks.subscribe();
        while !*stop.borrow_and_update() {
            if self.is_leaving() {
                self.hand_over(daemon).await;
            }
            let at_ms = self.run_round(daemon).await;
            tokio::select! {
                () = sleep_until(at_ms) => {}
                () = self.wake_ledger.notified() => {}
                _ = stop.changed() => {}
            }
        }
    }

    /// Takes the ledger over if needed, starts samples and commits what is due.
    /// Returns when to call this again.
    async fn run_round(self: &Arc<Self>, daemon: &Arc<Daemon>) -> u64 {
        if self.lease.fence().is_none() {
            self.drop_ledger(daemon);
            return now_ms() + IDLE_WAIT_MS;
        }
        if let Some(retry_at_ms) = self.retry_at_ms().filter(|at_ms| *at_ms > now_ms()) {
            return retry_at_ms;
        }
        if let Err(refusal) = self.ensure_ledger(daemon).await {
            tracing::debug!(trainer = %self.trainer, %refusal, "failed to take the ledger over");
            return self.on_failure(daemon);
        }
        if !self.is_leaving() {
            sample_task::start_samples(self, daemon);
        }
        self.commit_due(daemon).await
    }

    /// Drops the ledger, if there is one. Retained samples are discarded if another
    /// VM holds the lease.
    fn drop_ledger(&self, daemon: &Daemon) {
        let is_held_elsewhere = self.lease.is_held_elsewhere(daemon);
        let mut state = lock(&self.state);
        let had_ledger = state.drop_ledger();
        state.retry_at_ms = None;
        if is_held_elsewhere {
            // The VM that holds the lease generates these samples again.
            state.retained = Vec::new();
        }
        drop(state);
        if had_ledger {
            daemon.metrics.ledgers_lost.inc();
            tracing::warn!(trainer = %self.trainer, "ledger dropped");
            self.progress
                .send_modify(|progress| progress.ledger_number += 1);
        }
    }

    /// Records a failure of the platform, and returns when to retry.
    fn on_failure(&self, daemon: &Daemon) -> u64 {
        let retry_at_ms = now_ms() + RETRY_DELAY_MS;
        lock(&self.state).retry_at_ms = Some(retry_at_ms);
        daemon.metrics.commit_failures.inc();
        self.progress.send_modify(|progress| progress.failures += 1);
        retry_at_ms
    }

    /// Loads the ledger if this VM holds the lease and has not loaded it yet.
    async fn ensure_ledger(&self, daemon: &Daemon) -> Result<(), Refusal> {
        let Some(fence) = self.lease.fence() else {
            return Ok(());
        };
        if lock(&self.state).ledger.is_some() {
            return Ok(());
        }
        let loaded = ledger_io::load(daemon, &self.trainer).await?;
        let ledger = Ledger::try_new(self.trainer.clone(), fence, loaded)?;
        daemon.metrics.takeovers.inc();
        tracing::info!(trainer = %self.trainer, fence, "ledger taken over");
        lock(&self.state).install_ledger(ledger);
        self.progress.send_modify(|progress| {
            progress.ledger_number += 1;
            progress.committed_change = 0;
        });
        Ok(())
    }

    pub(super) fn service(&self, daemon: &Daemon) -> Option<Name> {
        let config = daemon.config.borrow();
        let trainer = config.document.trainers.get(&self.trainer)?;
        Some(trainer.service.clone())
    }

    /// Records a fetch. A trainer that waits for samples fetches repeatedly.
    pub(crate) fn record_fetch(&self, next_cursor: u64) {
        *lock(&self.last_fetch) = LastFetch {
            cursor: next_cursor,
            at_ms: now_ms(),
        };
    }

    /// Resolves an unresolved commit or starts the next one if it is due. Returns
    /// when to call this again.
    async fn commit_due(&self, daemon: &Daemon) -> u64 {
        let unresolved = lock(&self.state).unresolved_commit.take();
        if let Some(plan) = unresolved {
            return self.resolve_commit(daemon, plan).await;
        }
        let now_ms = now_ms();
        let plan = {
            let mut state = lock(&self.state);
            let Some(urgency) = state.ledger.as_ref().and_then(Ledger::urgency) else {
                return now_ms + IDLE_WAIT_MS;
            };
            let due_ms = state.pacer.due_ms(now_ms, urgency);
            if due_ms > now_ms {
                return due_ms;
            }
            state.pacer.on_commit(now_ms);
            state.ledger.as_mut().and_then(Ledger::begin_commit)
        };
        match plan {
            Some(plan) => self.commit(daemon, plan).await,
            None => now_ms + IDLE_WAIT_MS,
        }
    }

    async fn commit(&self, daemon: &Daemon, plan: CommitPlan) -> u64 {
        let dropped_count = plan.dropped_count() as u64;
        match ledger_io::commit(daemon, &self.trainer, &plan).await {
            CommitResult::Committed(row_version) => {
                daemon.metrics.commits.inc();
                daemon.metrics.samples_dropped.inc_by(dropped_count);
                self.update_ledger(|ledger| ledger.on_committed(plan, row_version));
                self.on_committed(daemon);
                now_ms()
            }
            CommitResult::NotCommitted => {
                self.update_ledger(|ledger| ledger.on_not_committed(plan));
                self.on_failure(daemon)
            }
            CommitResult::Unknown => self.resolve_commit(daemon, plan).await,
        }
    }

    /// Reads the head to find out whether a commit took effect, and drops the
    /// ledger if it did not.
    async fn resolve_commit(&self, daemon: &Daemon, plan: CommitPlan) -> u64 {
        let Ok((head, row_version)) = ledger_io::read_head(daemon, &self.trainer).await else {
            lock(&self.state).unresolved_commit = Some(plan);
            return self.on_failure(daemon);
        };
        let is_committed = {
            let mut state = lock(&self.state);
            let ledger = state.ledger.as_mut();
            ledger.is_some_and(|ledger| ledger.resolve_commit(plan, head.as_ref(), row_version))
        };
        if is_committed {
            self.on_committed(daemon);
        } else {
            self.drop_ledger(daemon);
        }
        now_ms()
    }

    /// Calls `act` with the ledger, if there is one.
    fn update_ledger<F>(&self, act: F)
    where
        F: FnOnce(&mut Ledger),
    {
        if let Some(ledger) = &mut lock(&self.state).ledger {
            act(ledger);
        }
    }

    /// Publishes the progress and deletes the objects that the ledger no longer
    /// refers to.
    fn on_committed(&self, daemon: &Daemon) {
        let mut state = lock(&self.state);
        state.retry_at_ms = None;
        let Some(ledger) = &mut state.ledger else {
            return;
        };
        let committed_change = ledger.last_committed_change();
        let acknowledged_cursor = ledger.acknowledged_cursor();
        let unreferenced = ledger.take_unreferenced_objects();
        drop(state);
        self.progress.send_modify(|progress| {
            progress.committed_change = committed_change;
            progress.acknowledged_cursor = acknowledged_cursor;
        });
        if !unreferenced.is_empty() {
            tokio::spawn(ledger_io::delete_objects(
                daemon.platform.clone(),
                daemon.metrics.objects_deleted.clone(),
                unreferenced,
            ));
        }
    }

    /// Waits for samples that are being generated, commits them and releases the
    /// lease, so that the next holder need not wait until it expires.
    async fn hand_over(self: &Arc<Self>, daemon: &Arc<Daemon>) {
        let deadline_ms = now_ms() + HAND_OVER_TIMEOUT_MS;
        while now_ms() < deadline_ms && self.lease.fence().is_some() {
            let urgency = lock(&self.state).ledger.as_ref().and_then(Ledger::urgency);
            if urgency.is_some() {
                self.commit_now(daemon).await;
            } else if lock(&self.state).generating.is_empty() {
                break;
            }
            sleep_until(now_ms() + HAND_OVER_COMMIT_PAUSE_MS).await;
        }
        self.commit_now(daemon).await;
        self.lease.release(daemon).await;
        self.drop_ledger(daemon);
    }

    /// Commits without waiting for the pacer.
    async fn commit_now(&self, daemon: &Daemon) {
        lock(&self.state).pacer = CommitPacer::default();
        self.commit_due(daemon).await;
    }
}

/// Makes every task hand its ledger over because this VM is leaving.
pub(crate) fn hand_over_ledgers(daemon: &Daemon) {
    for task in lock(&daemon.trainers).values() {
        task.is_leaving.store(true, Ordering::SeqCst);
        task.wake_ledger.notify_one();
    }
}

/// Runs one [`TrainerTask`] for each trainer of the configuration until the daemon
/// stops.
pub(crate) async fn supervise(daemon: Arc<Daemon>) {
    let mut config = daemon.config.subscribe();
    let mut stop = daemon.stop_tasks.subscribe();
    let mut tasks = JoinSet::new();
    loop {
        let names: Vec<Name> = config
            .borrow_and_update()
            .document
            .trainers
            .keys()
            .cloned()
            .collect();
        for name in names {
            let mut trainers = lock(&daemon.trainers);
            trainers.entry(name).or_insert_with_key(|name| {
                let task = Arc::new(TrainerTask::new(&daemon, name.clone()));
                tasks.spawn(task.clone().run(daemon.clone()));
                task
            });
        }
        tokio::select! {
            _ = config.changed() => {}
            _ = stop.changed() => break,
        }
    }
    while tasks.join_next().await.is_some() {}
}
