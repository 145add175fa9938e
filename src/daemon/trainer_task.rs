//! One trainer's ledger: the lease, the commits and the hand-over on leaving.

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

pub(super) const IDLE_MS: u64 = 1_000;
pub(super) const AFTER_FAILURE_MS: u64 = 500;
/// How long a leaving holder waits for what generates.
const HAND_OVER_MS: u64 = 2_000;
const LEAVING_COMMIT_MS: u64 = 100;
/// How many bytes of samples are kept while no ledger is held.
const MAX_KEPT_BYTES: usize = 64 * 1024 * 1024;

/// What has been committed, for those who wait for it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CommitProgress {
    /// Counts the ledgers of this task; changes of another one are void.
    pub(crate) ledger: u64,
    pub(crate) settled: u64,
    pub(crate) acknowledged_cursor: u64,
    /// Counts the commits that failed.
    pub(crate) failures: u64,
}

/// One trainer's ledger, if this VM holds its lease.
#[derive(Debug)]
pub(crate) struct TrainerTask {
    pub(crate) trainer: Name,
    pub(crate) wake: Notify,
    pub(crate) progress: watch::Sender<CommitProgress>,
    pub(crate) lease: LeaseKeeper,
    pub(super) wake_lease: Notify,
    is_leaving: AtomicBool,
    pub(super) state: Mutex<State>,
    /// Whether the step in hand has no slot left to start.
    pub(super) is_tail: Arc<AtomicBool>,
    pub(super) fetched: Mutex<LastFetch>,
}

/// What the trainer has fetched, and when.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastFetch {
    pub(super) cursor: u64,
    pub(super) at_ms: u64,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) ledger: Option<Ledger>,
    unsettled: Option<CommitPlan>,
    /// Samples that no ledger has taken, for the next one of this VM.
    kept: Vec<UncommittedSample>,
    /// The slots for which a sample is being generated, whichever ledger took
    /// them: the next ledger of this VM must not take them again.
    pub(super) generating: BTreeSet<Slot>,
    pace: CommitPacer,
    /// When the platform is tried again, if it failed when last tried.
    retry_at_ms: Option<u64>,
}

impl State {
    fn keep(&mut self, sample: UncommittedSample) {
        let kept: usize = self.kept.iter().map(UncommittedSample::size_bytes).sum();
        if kept < MAX_KEPT_BYTES {
            self.kept.push(sample);
        }
    }

    /// Gives the ledger up; what it could not commit is kept.
    fn lapse(&mut self) -> bool {
        let Some(mut ledger) = self.ledger.take() else {
            return false;
        };
        if let Some(plan) = self.unsettled.take() {
            ledger.on_not_committed(plan);
        }
        for sample in ledger.into_uncommitted() {
            self.keep(sample);
        }
        true
    }

    /// Goes on with a new ledger; a sample whose slot is filled is dropped.
    fn go_on(&mut self, mut ledger: Ledger) {
        for sample in std::mem::take(&mut self.kept) {
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
            wake: Notify::new(),
            progress: watch::Sender::default(),
            lease,
            wake_lease: Notify::new(),
            is_leaving: AtomicBool::new(false),
            state: Mutex::default(),
            is_tail: Arc::default(),
            fetched: Mutex::default(),
        }
    }

    /// Lets `act` use the ledger, or says which VM holds it; returns also the
    /// number of the ledger.
    pub(crate) fn with_ledger<F, T>(&self, daemon: &Daemon, act: F) -> Result<(u64, T), Refusal>
    where
        F: FnOnce(&mut Ledger) -> Result<T, Refusal>,
    {
        let is_held = self.lease.fence().is_some();
        let mut state = lock(&self.state);
        if let Some(ledger) = state.ledger.as_mut().filter(|_| is_held) {
            let result = act(ledger)?;
            return Ok((self.progress.borrow().ledger, result));
        }
        drop(state);
        // The trainer was sent here: the lease may be free by now.
        self.wake_lease.notify_one();
        Err(self.not_holder(daemon))
    }

    /// Returns when the platform is tried again, if it failed when last tried.
    pub(crate) fn retry_at_ms(&self) -> Option<u64> {
        lock(&self.state).retry_at_ms
    }

    fn not_holder(&self, daemon: &Daemon) -> Refusal {
        let refusal = Refusal::new(
            ErrorKind::NotHolder,
            "another VM holds the trainer's ledger",
        );
        let holder = self.lease.holder_or_candidate(daemon);
        let members = lock(&daemon.membership);
        let address = members
            .records()
            .find(|record| Some(&record.vm) == holder.as_ref());
        match address {
            Some(record) => refusal.with_address(record.caller_address.to_string()),
            None => refusal,
        }
    }

    /// Takes a sample, for the ledger or for the next one.
    pub(super) fn offer(&self, sample: UncommittedSample) -> SampleOutcome {
        let mut state = lock(&self.state);
        let slot = sample.slot();
        let Some(ledger) = &mut state.ledger else {
            state.generating.remove(&slot);
            state.keep(sample);
            return SampleOutcome::NoOpenSlot;
        };
        let taken = ledger.on_sample(sample);
        if taken != SampleOutcome::Stale {
            state.generating.remove(&slot);
        }
        taken
    }

    pub(super) fn on_generation_failed(&self, slot: Slot) {
        let mut state = lock(&self.state);
        state.generating.remove(&slot);
        if let Some(ledger) = &mut state.ledger {
            ledger.on_generation_failed(slot);
        }
    }

    /// Takes and keeps the lease and works the ledger, until the daemon stops.
    pub(crate) async fn run(self: Arc<Self>, daemon: Arc<Daemon>) {
        // A slow commit must not keep the lease from being renewed.
        tokio::join!(self.keep_lease(&daemon), self.keep_ledger(&daemon));
        lock(&self.state).lapse();
        self.lease.release(&daemon).await;
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    async fn keep_ledger(self: &Arc<Self>, daemon: &Arc<Daemon>) {
        let mut stop = daemon.stop_tasks.subscribe();
        while !*stop.borrow_and_update() {
            if self.is_leaving() {
                self.hand_over(daemon).await;
            }
            let at_ms = self.turn(daemon).await;
            tokio::select! {
                () = sleep_until(at_ms) => {}
                () = self.wake.notified() => {}
                _ = stop.changed() => {}
            }
        }
    }

    /// Does what is due, and returns when to look again.
    async fn turn(self: &Arc<Self>, daemon: &Arc<Daemon>) -> u64 {
        if self.lease.fence().is_none() {
            self.lapse(daemon);
            return now_ms() + IDLE_MS;
        }
        if let Some(retry_at_ms) = self.retry_at_ms().filter(|at_ms| *at_ms > now_ms()) {
            return retry_at_ms;
        }
        if let Err(refusal) = self.ensure_ledger(daemon).await {
            tracing::debug!(trainer = %self.trainer, %refusal, "ledger not taken over");
            return self.on_failure(daemon);
        }
        if !self.is_leaving() {
            sample_task::start_wanted(self, daemon);
        }
        self.commit_due(daemon).await
    }

    fn lapse(&self, daemon: &Daemon) {
        let is_elsewhere = self.lease.is_held_elsewhere(daemon);
        let mut state = lock(&self.state);
        let had_ledger = state.lapse();
        state.retry_at_ms = None;
        if is_elsewhere {
            // The other VM has these made again.
            state.kept = Vec::new();
        }
        drop(state);
        if had_ledger {
            daemon.metrics.ledgers_lost.inc();
            tracing::warn!(trainer = %self.trainer, "ledger given up");
            self.progress.send_modify(|progress| progress.ledger += 1);
        }
    }

    fn on_failure(&self, daemon: &Daemon) -> u64 {
        let retry_at_ms = now_ms() + AFTER_FAILURE_MS;
        lock(&self.state).retry_at_ms = Some(retry_at_ms);
        daemon.metrics.commit_failures.inc();
        self.progress.send_modify(|progress| progress.failures += 1);
        retry_at_ms
    }

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
        lock(&self.state).go_on(ledger);
        self.progress.send_modify(|progress| {
            progress.ledger += 1;
            progress.settled = 0;
        });
        Ok(())
    }

    pub(super) fn service(&self, daemon: &Daemon) -> Option<Name> {
        let config = daemon.config.borrow();
        let trainer = config.document.trainers.get(&self.trainer)?;
        Some(trainer.service.clone())
    }

    /// Notes that the trainer asked for samples, which it does while it waits.
    pub(crate) fn record_fetch(&self, next_cursor: u64) {
        *lock(&self.fetched) = LastFetch {
            cursor: next_cursor,
            at_ms: now_ms(),
        };
    }

    /// Commits what may not wait any longer, and returns when to look again.
    async fn commit_due(&self, daemon: &Daemon) -> u64 {
        let unsettled = lock(&self.state).unsettled.take();
        if let Some(plan) = unsettled {
            return self.settle(daemon, plan).await;
        }
        let now_ms = now_ms();
        let plan = {
            let mut state = lock(&self.state);
            let Some(urgency) = state.ledger.as_ref().and_then(Ledger::urgency) else {
                return now_ms + IDLE_MS;
            };
            let due_ms = state.pace.due_ms(now_ms, urgency);
            if due_ms > now_ms {
                return due_ms;
            }
            state.pace.on_commit(now_ms);
            state.ledger.as_mut().and_then(Ledger::begin_commit)
        };
        match plan {
            Some(plan) => self.commit(daemon, plan).await,
            None => now_ms + IDLE_MS,
        }
    }

    async fn commit(&self, daemon: &Daemon, plan: CommitPlan) -> u64 {
        let dropped = plan.dropped_count() as u64;
        match ledger_io::commit(daemon, &self.trainer, &plan).await {
            CommitResult::Committed(row_version) => {
                daemon.metrics.commits.inc();
                daemon.metrics.samples_dropped.inc_by(dropped);
                self.on_ledger(|ledger| ledger.on_committed(plan, row_version));
                self.on_committed(daemon);
                now_ms()
            }
            CommitResult::NotCommitted => {
                self.on_ledger(|ledger| ledger.on_not_committed(plan));
                self.on_failure(daemon)
            }
            CommitResult::Unknown => self.settle(daemon, plan).await,
        }
    }

    /// Finds out by reading whether a commit took effect.
    async fn settle(&self, daemon: &Daemon, plan: CommitPlan) -> u64 {
        let Ok((head, row_version)) = ledger_io::read_head(daemon, &self.trainer).await else {
            lock(&self.state).unsettled = Some(plan);
            return self.on_failure(daemon);
        };
        let is_ours = {
            let mut state = lock(&self.state);
            let ledger = state.ledger.as_mut();
            ledger.is_some_and(|ledger| ledger.resolve_commit(plan, head.as_ref(), row_version))
        };
        if is_ours {
            self.on_committed(daemon);
        } else {
            self.lapse(daemon);
        }
        now_ms()
    }

    fn on_ledger<F>(&self, act: F)
    where
        F: FnOnce(&mut Ledger),
    {
        if let Some(ledger) = &mut lock(&self.state).ledger {
            act(ledger);
        }
    }

    fn on_committed(&self, daemon: &Daemon) {
        let mut state = lock(&self.state);
        state.retry_at_ms = None;
        let Some(ledger) = &mut state.ledger else {
            return;
        };
        let settled = ledger.last_committed_change();
        let acknowledged_cursor = ledger.acknowledged_cursor();
        let spent = ledger.take_unreferenced_objects();
        drop(state);
        self.progress.send_modify(|progress| {
            progress.settled = settled;
            progress.acknowledged_cursor = acknowledged_cursor;
        });
        if !spent.is_empty() {
            tokio::spawn(ledger_io::delete_objects(
                daemon.platform.clone(),
                daemon.metrics.objects_deleted.clone(),
                spent,
            ));
        }
    }

    /// Finishes what generates, commits it and gives the lease back, so that
    /// the next holder need not wait for the term to end.
    async fn hand_over(self: &Arc<Self>, daemon: &Arc<Daemon>) {
        let deadline_ms = now_ms() + HAND_OVER_MS;
        while now_ms() < deadline_ms && self.lease.fence().is_some() {
            let urgency = lock(&self.state).ledger.as_ref().and_then(Ledger::urgency);
            if urgency.is_some() {
                self.commit_now(daemon).await;
            } else if lock(&self.state).generating.is_empty() {
                break;
            }
            sleep_until(now_ms() + LEAVING_COMMIT_MS).await;
        }
        self.commit_now(daemon).await;
        self.lease.release(daemon).await;
        self.lapse(daemon);
    }

    async fn commit_now(&self, daemon: &Daemon) {
        lock(&self.state).pace = CommitPacer::default();
        self.commit_due(daemon).await;
    }
}

/// Has every ledger of this VM handed over, because the VM leaves.
pub(crate) fn hand_over_ledgers(daemon: &Daemon) {
    for task in lock(&daemon.trainers).values() {
        task.is_leaving.store(true, Ordering::SeqCst);
        task.wake.notify_one();
    }
}

/// Keeps one task for each trainer of the configuration.
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
