use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

use tokio::{
    sync::{Notify, watch},
    task::JoinSet,
};

use super::{
    clock::{now_ms, sleep_until},
    dispatch::Route,
    endpoints,
    lease_keeper::LeaseKeeper,
    platform::Written,
    state::{Daemon, lock},
};
use crate::{
    core::{
        Name,
        admission::{Priority, sample_room},
        rendezvous,
        request::Spec,
        routing,
        run_ahead::{last_step, min_weights_version},
        sample::{
            ChunkRow, CommitPlan, Head, Ledger, Loaded, chunks_prefix, head_key, steps_prefix,
        },
    },
    error::{ErrorKind, Refusal},
    wire::trainers::{OpenStep, Sample, Slot},
};

const IDLE_MS: u64 = 200;
const AFTER_FAILURE_MS: u64 = 500;
const SAMPLE_TIMEOUT_MS: u64 = 60_000;
/// A trainer that has not asked for samples for this long does not wait for them.
const WAITING_MS: u64 = 1_000;

/// What has been committed, for those who wait for it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) commit: u64,
    pub(crate) acknowledged_cursor: u64,
}

/// One trainer's ledger, if this VM holds its lease.
#[derive(Debug)]
pub(crate) struct TrainerTask {
    pub(crate) trainer: Name,
    pub(crate) wake: Notify,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) lease: LeaseKeeper,
    ledger: Mutex<Option<Ledger>>,
    generating: AtomicU32,
    /// Whether the step in hand has no slot left to start.
    is_tail: Arc<AtomicBool>,
    fetched: Mutex<Fetched>,
}

/// What the trainer has fetched, and when.
#[derive(Clone, Copy, Debug, Default)]
struct Fetched {
    cursor: u64,
    at_ms: u64,
}

impl TrainerTask {
    pub(crate) fn new(daemon: &Daemon, trainer: Name) -> Self {
        let lease = LeaseKeeper::new(daemon, format!("trainer/{trainer}").into());
        Self {
            trainer,
            wake: Notify::new(),
            progress: watch::Sender::default(),
            lease,
            ledger: Mutex::default(),
            generating: AtomicU32::new(0),
            is_tail: Arc::default(),
            fetched: Mutex::default(),
        }
    }

    /// Lets `act` use the ledger, or says which VM holds it.
    pub(crate) fn with_ledger<F, T>(&self, daemon: &Daemon, act: F) -> Result<T, Refusal>
    where
        F: FnOnce(&mut Ledger) -> Result<T, Refusal>,
    {
        let is_held = self.lease.fence().is_some();
        match lock(&self.ledger).as_mut().filter(|_| is_held) {
            Some(ledger) => act(ledger),
            None => Err(self.not_holder(daemon)),
        }
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

    /// Takes and keeps the lease and works the ledger, until the daemon stops.
    pub(crate) async fn run(self: Arc<Self>, daemon: Arc<Daemon>) {
        let mut stop = daemon.stop.subscribe();
        while !*stop.borrow_and_update() {
            let at_ms = self.turn(&daemon).await;
            tokio::select! {
                () = sleep_until(at_ms) => {}
                () = self.wake.notified() => {}
                _ = stop.changed() => {}
            }
        }
        self.release(&daemon).await;
    }

    /// Does what is due, and returns when to look again.
    async fn turn(self: &Arc<Self>, daemon: &Arc<Daemon>) -> u64 {
        if !self.lease.is_candidate(daemon) {
            *lock(&self.ledger) = None;
            return now_ms() + AFTER_FAILURE_MS;
        }
        let lease_at_ms = self.lease.turn(daemon).await;
        if self.lease.fence().is_none() {
            *lock(&self.ledger) = None;
            return lease_at_ms;
        }
        let is_worked = match self.ensure_ledger(daemon).await {
            Ok(()) => self.work(daemon).await,
            Err(_) => false,
        };
        let again_ms = if is_worked { IDLE_MS } else { AFTER_FAILURE_MS };
        lease_at_ms.min(now_ms() + again_ms)
    }

    async fn release(&self, daemon: &Daemon) {
        *lock(&self.ledger) = None;
        self.lease.release(daemon).await;
    }

    async fn ensure_ledger(&self, daemon: &Daemon) -> Result<(), Refusal> {
        let Some(fence) = self.lease.fence() else {
            return Ok(());
        };
        if lock(&self.ledger).is_some() {
            return Ok(());
        }
        let loaded = self.load(daemon).await?;
        tracing::info!(trainer = %self.trainer, fence, "ledger taken over");
        *lock(&self.ledger) = Some(Ledger::new(self.trainer.clone(), fence, loaded));
        Ok(())
    }

    async fn load(&self, daemon: &Daemon) -> Result<Loaded, Refusal> {
        let (head, row_version) = self.read_head(daemon).await?;
        let acknowledged = head.as_ref().map_or(0, |head| head.acknowledged_cursor);
        let mut steps = Vec::new();
        for row in daemon.platform.scan(&steps_prefix(&self.trainer)).await? {
            let step: OpenStep = serde_json::from_value(row.value).map_err(internal)?;
            steps.push(step);
        }
        let prefix = chunks_prefix(&self.trainer);
        let mut chunks = Vec::new();
        for row in daemon.platform.scan(&prefix).await? {
            let number = row.key[prefix.len()..].parse().map_err(internal)?;
            let chunk: ChunkRow = serde_json::from_value(row.value).map_err(internal)?;
            let end = chunk.first_cursor + chunk.samples.len() as u64;
            let payloads: Vec<Sample> = if end > acknowledged {
                let object = daemon.platform.get_object(&chunk.object).await?;
                rmp_serde::from_slice(&object).map_err(internal)?
            } else {
                Vec::new()
            };
            chunks.push((number, chunk, payloads));
        }
        Ok(Loaded {
            head,
            row_version,
            steps,
            chunks,
        })
    }

    async fn read_head(&self, daemon: &Daemon) -> Result<(Option<Head>, u64), Refusal> {
        daemon.metrics.platform_reads.inc();
        let row = daemon.platform.get(&head_key(&self.trainer)).await?;
        let row_version = row.as_ref().map_or(0, |row| row.row_version);
        let head = row
            .map(|row| serde_json::from_value(row.value).map_err(internal))
            .transpose()?;
        Ok((head, row_version))
    }

    /// Commits what is due and starts what is wanted.
    async fn work(self: &Arc<Self>, daemon: &Arc<Daemon>) -> bool {
        let mut is_worked = true;
        loop {
            let plan = lock(&self.ledger).as_mut().and_then(Ledger::begin_commit);
            let Some(plan) = plan else { break };
            is_worked = self.commit(daemon, plan).await;
            if !is_worked {
                break;
            }
        }
        self.start_wanted(daemon);
        is_worked
    }

    async fn commit(&self, daemon: &Daemon, plan: CommitPlan) -> bool {
        if let Some(payload) = &plan.payload {
            let bytes = payload.bytes.clone().into();
            if daemon
                .platform
                .put_object(&payload.object, bytes)
                .await
                .is_err()
            {
                self.on_ledger(|ledger| ledger.on_not_committed(plan));
                return false;
            }
        }
        daemon.metrics.platform_writes.inc();
        match daemon.platform.transact(&plan.transaction).await {
            Written::Committed(outcome) => {
                let key = head_key(&self.trainer);
                let versions = outcome.row_versions.iter();
                let row_version = versions
                    .filter(|(row, _)| *row == key)
                    .map(|(_, version)| *version)
                    .max();
                daemon.metrics.commits.inc();
                self.on_ledger(|ledger| ledger.on_committed(plan, row_version.unwrap_or_default()));
                self.note_progress(true);
                true
            }
            Written::Refused => {
                self.on_ledger(|ledger| ledger.on_not_committed(plan));
                false
            }
            Written::Conflict | Written::Unknown => self.settle(daemon, plan).await,
        }
    }

    /// Finds out by reading whether a commit took effect.
    async fn settle(&self, daemon: &Daemon, plan: CommitPlan) -> bool {
        loop {
            if self.lease.fence().is_none() {
                *lock(&self.ledger) = None;
                return false;
            }
            if let Ok((head, row_version)) = self.read_head(daemon).await {
                let mut ledger = lock(&self.ledger);
                let is_ours = ledger
                    .as_mut()
                    .is_some_and(|ledger| ledger.settle(plan, head.as_ref(), row_version));
                if !is_ours {
                    tracing::warn!(trainer = %self.trainer, "ledger lost to another VM");
                    *ledger = None;
                }
                drop(ledger);
                self.note_progress(is_ours);
                return is_ours;
            }
            sleep_until(now_ms() + AFTER_FAILURE_MS).await;
        }
    }

    fn on_ledger<F>(&self, act: F)
    where
        F: FnOnce(&mut Ledger),
    {
        if let Some(ledger) = lock(&self.ledger).as_mut() {
            act(ledger);
        }
    }

    fn note_progress(&self, is_ours: bool) {
        let ledger = lock(&self.ledger);
        if let Some(ledger) = ledger.as_ref().filter(|_| is_ours) {
            let progress = Progress {
                commit: ledger.committed(),
                acknowledged_cursor: ledger.acknowledged_cursor(),
            };
            self.progress.send_replace(progress);
        }
    }

    fn start_wanted(self: &Arc<Self>, daemon: &Arc<Daemon>) {
        let Some(service) = self.service(daemon) else {
            return;
        };
        let Fetched { cursor, at_ms } = *lock(&self.fetched);
        let is_training = now_ms() > at_ms + WAITING_MS;
        let mut ledger = lock(&self.ledger);
        let Some(ledger) = ledger.as_mut() else {
            return;
        };
        let Some(next) = ledger.next_step(cursor) else {
            return;
        };
        let is_waited_for = !is_training && ledger.has_wanted_until(next);
        let newest = daemon
            .service(&service)
            .map_or(0, |service| service.weights_version);
        let min_weights_version = min_weights_version(newest, is_waited_for);
        let last_step = if is_waited_for {
            next
        } else {
            last_step(next, is_training, 0)
        };
        let room = self.room(daemon, &service, min_weights_version);
        let slots = ledger.take_wanted_until(last_step, room as usize);
        let is_tail = !ledger.has_wanted_until(next);
        self.is_tail.store(is_tail, Ordering::Relaxed);
        for slot in slots {
            let Some(step) = ledger.step(slot.step).cloned() else {
                continue;
            };
            self.generating.fetch_add(1, Ordering::Relaxed);
            let (task, daemon) = (self.clone(), daemon.clone());
            let route = Route {
                affinity: Some(format!("{}/{}/{}", self.trainer, slot.step, slot.group).into()),
                min_weights_version,
                is_tail: Some(self.is_tail.clone()),
            };
            tokio::spawn(async move {
                let sample = task.generate(&daemon, slot, &step, route).await;
                task.generating.fetch_sub(1, Ordering::Relaxed);
                task.on_generated(&daemon, slot, sample).await;
            });
        }
    }

    /// Returns how many samples may be started now.
    fn room(&self, daemon: &Daemon, service: &str, min_weights_version: u64) -> u32 {
        let generating = self.generating.load(Ordering::Relaxed);
        let most = daemon.settings.limits.max_generating;
        let trainers = daemon.trainers_of(service);
        let table = lock(&daemon.endpoints);
        let free = routing::free_slots(&table, now_ms(), service, min_weights_version);
        let share = sample_room(free, trainers);
        share.min(most.saturating_sub(generating))
    }

    fn service(&self, daemon: &Daemon) -> Option<Name> {
        let config = daemon.config.borrow();
        let trainer = config.document.trainers.get(&self.trainer)?;
        Some(trainer.service.clone())
    }

    /// Notes that the trainer asked for samples, which it does while it waits.
    pub(crate) fn note_fetched(&self, next_cursor: u64) {
        *lock(&self.fetched) = Fetched {
            cursor: next_cursor,
            at_ms: now_ms(),
        };
    }

    async fn on_generated(&self, daemon: &Daemon, slot: Slot, sample: Option<Sample>) {
        let Some(sample) = sample else {
            // A slot that just failed is not tried again at once.
            sleep_until(now_ms() + AFTER_FAILURE_MS).await;
            self.on_ledger(|ledger| ledger.on_generation_failed(slot));
            return;
        };
        daemon.metrics.samples_generated.inc();
        self.on_ledger(|ledger| {
            ledger.on_sample(sample);
        });
        self.wake.notify_one();
    }

    async fn generate(
        &self,
        daemon: &Arc<Daemon>,
        slot: Slot,
        step: &OpenStep,
        route: Route,
    ) -> Option<Sample> {
        let service = self.service(daemon)?;
        let prompt = step.prompts.get(slot.group as usize)?.clone();
        let seed = rendezvous::weight(
            &self.trainer,
            &format!("{}/{}/{}", slot.step, slot.group, slot.index),
        );
        let now_ms = now_ms();
        let nonce: u64 = rand::random();
        let spec = Spec {
            id: format!("{}.{}.{nonce:016x}", daemon.me.vm, daemon.me.incarnation).into(),
            prompt: prompt.clone(),
            max_tokens: step.max_tokens,
            seed,
            priority: Priority::Background as u8,
            deadline_ms: now_ms + SAMPLE_TIMEOUT_MS,
            is_idempotent: true,
            max_attempts: 4,
            continue_elsewhere: true,
        };
        let generated = endpoints::generate(
            daemon,
            &service,
            spec,
            route,
            |_, _| {},
            std::future::pending(),
        )
        .await;
        match generated {
            Ok(generated) => Some(Sample {
                slot,
                prompt,
                tokens: generated.tokens,
                weights: generated.spans,
                seed,
            }),
            Err(refusal) => {
                daemon.metrics.on_refusal(refusal.kind());
                None
            }
        }
    }
}

/// Keeps one task for each trainer of the configuration.
pub(crate) async fn supervise(daemon: Arc<Daemon>) {
    let mut config = daemon.config.subscribe();
    let mut stop = daemon.stop.subscribe();
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

fn internal<E>(error: E) -> Refusal
where
    E: std::fmt::Display,
{
    Refusal::new(ErrorKind::Internal, error.to_string())
}
