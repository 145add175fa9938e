//! The memory that bodies and answers take, until the last byte of each is sent on.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body as _, Incoming};
use tokio::sync::Notify;

use super::{connections::OpenConnection, state::lock};
use crate::{
    core::memory::{MemoryPool, MemoryShares},
    daemon::sleep_until,
};

/// A [`MemoryPool`] that tasks share.
#[derive(Debug)]
pub(crate) struct SharedPool {
    pool: Mutex<MemoryPool>,
    /// Notified when the pool or its queue has changed.
    changed: Notify,
    /// How many shares wait to grow.
    growth_waits: AtomicUsize,
}

/// A part of a pool, until it is dropped.
#[derive(Debug)]
pub(crate) struct MemoryShare {
    pool: Arc<SharedPool>,
    bytes: usize,
    /// Its number in the pool while it grows.
    growing: Option<u64>,
}

impl SharedPool {
    pub(crate) fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            pool: Mutex::new(MemoryPool::new(max_bytes)),
            changed: Notify::new(),
            growth_waits: AtomicUsize::new(0),
        })
    }

    /// Takes a part whether there is room or not.
    pub(crate) fn take(self: &Arc<Self>, bytes: usize) -> MemoryShare {
        lock(&self.pool).take(bytes);
        self.share(bytes)
    }

    /// Waits for a part until a deadline.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        bytes: usize,
        until_ms: u64,
    ) -> Option<MemoryShare> {
        if lock(&self.pool).try_take(bytes) {
            return Some(self.share(bytes));
        }
        let ticket = lock(&self.pool).wait_for(bytes);
        let is_granted = self.wait(ticket, until_ms).await;
        is_granted.then(|| self.share(bytes))
    }

    /// Waits until a deadline for the first step of a share that grows up to `most_bytes`.
    pub(crate) async fn reserve_growing(
        self: &Arc<Self>,
        bytes: usize,
        most_bytes: usize,
        until_ms: u64,
    ) -> Option<MemoryShare> {
        let ticket = lock(&self.pool).wait_to_grow(bytes, most_bytes);
        let is_granted = self.wait(ticket, until_ms).await;
        is_granted.then(|| {
            let mut share = self.share(bytes);
            share.growing = Some(ticket);
            share
        })
    }

    /// Waits for what a place in the queue asks for; returns whether it was granted.
    async fn wait(&self, ticket: u64, until_ms: u64) -> bool {
        let place = QueuePlace { pool: self, ticket };
        loop {
            let changed = self.changed.notified();
            if lock(&self.pool).try_take_waiting(place.ticket) {
                return true;
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(until_ms) => return false,
            }
        }
    }

    pub(crate) fn used_bytes(&self) -> usize {
        lock(&self.pool).used_bytes()
    }

    pub(crate) fn waiting_count(&self) -> usize {
        lock(&self.pool).waiting_count() + self.growth_waits.load(Ordering::SeqCst)
    }

    fn share(self: &Arc<Self>, bytes: usize) -> MemoryShare {
        MemoryShare {
            pool: self.clone(),
            bytes,
            growing: None,
        }
    }
}

/// A place in the queue of a pool, until it is dropped.
struct QueuePlace<'a> {
    pool: &'a SharedPool,
    ticket: u64,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        lock(&self.pool.pool).stop_waiting(self.ticket);
        self.pool.changed.notify_waiters();
    }
}

impl MemoryShare {
    /// Takes further bytes if there is room; returns whether it did.
    fn try_grow(&mut self, bytes: usize) -> bool {
        let is_taken = lock(&self.pool.pool).try_take(bytes);
        if is_taken {
            self.bytes += bytes;
        }
        is_taken
    }

    /// Waits until a deadline for a further step of a share that grows; returns whether it
    /// was granted.
    async fn grow(&mut self, bytes: usize, until_ms: u64) -> bool {
        let Some(number) = self.growing else {
            return false;
        };
        let pool = self.pool.clone();
        loop {
            let changed = pool.changed.notified();
            if lock(&pool.pool).try_grow(number, bytes) {
                self.bytes += bytes;
                return true;
            }
            let _waiting = GrowthWait::new(&pool);
            tokio::select! {
                () = changed => {}
                () = sleep_until(until_ms) => return false,
            }
        }
    }

    /// Records that the share grows no more.
    fn stop_growing(&mut self) {
        if let Some(number) = self.growing.take() {
            lock(&self.pool.pool).stop_growing(number);
            self.pool.changed.notify_waiters();
        }
    }

    /// Returns all but `bytes`.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        if excess > 0 {
            self.bytes -= excess;
            lock(&self.pool.pool).give_back(excess);
            self.pool.changed.notify_waiters();
        }
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.stop_growing();
        self.shrink_to(0);
    }
}

/// Counts a share as waiting to grow until it is dropped.
struct GrowthWait<'a>(&'a SharedPool);

impl<'a> GrowthWait<'a> {
    fn new(pool: &'a SharedPool) -> Self {
        pool.growth_waits.fetch_add(1, Ordering::SeqCst);
        Self(pool)
    }
}

impl Drop for GrowthWait<'_> {
    fn drop(&mut self) {
        self.0.growth_waits.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The memory for what one side sends.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory {
    small: Arc<SharedPool>,
    pub(crate) large: Arc<SharedPool>,
}

impl BodyMemory {
    pub(crate) fn new(small_bytes: usize, large_bytes: usize) -> Self {
        Self {
            small: SharedPool::new(small_bytes),
            large: SharedPool::new(large_bytes),
        }
    }
}

/// Why a body is not read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    /// It is longer than is allowed.
    TooLong,
    /// There is no memory for it in time.
    NoMemory,
}

/// What is known of a body before it is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyPlan {
    pub(crate) max_bytes: usize,
    /// The length that its sender has stated.
    pub(crate) stated_bytes: Option<usize>,
    /// How many times its length it takes at most, while it is processed.
    pub(crate) copies: usize,
    /// Until when it may wait for memory, unread.
    pub(crate) wait_until_ms: u64,
}

/// A body that is being read, in memory that was granted before.
///
/// The first bytes count as they come, so that a sender who states a length and sends
/// little holds little. Beyond them, a body of a stated length is granted whole before
/// more is read, and others grow in steps such that one of them can always be completed:
/// two bodies cannot block each other half-read.
#[derive(Debug)]
pub(crate) struct BodyBuffer<'a> {
    plan: BodyPlan,
    bytes: BytesMut,
    share: MemoryShare,
    large: Arc<SharedPool>,
    is_large: bool,
    /// The accepted connection that it comes from.
    open: Option<&'a OpenConnection>,
}

impl<'a> BodyBuffer<'a> {
    pub(crate) fn new(memory: &BodyMemory, plan: BodyPlan) -> Self {
        Self {
            plan,
            bytes: BytesMut::new(),
            share: memory.small.take(0),
            large: memory.large.clone(),
            is_large: false,
            open: None,
        }
    }

    /// Tells an accepted connection while the body waits for memory.
    pub(crate) const fn on_connection(mut self, open: &'a OpenConnection) -> Self {
        self.open = Some(open);
        self
    }

    /// Checks the length that the sender has stated.
    ///
    /// # Errors
    ///
    /// Returns `TooLong` if it is more than is allowed.
    pub(crate) fn check_stated(&self) -> Result<(), BodyError> {
        let stated = self.plan.stated_bytes.unwrap_or(0);
        if stated > self.plan.max_bytes {
            return Err(BodyError::TooLong);
        }
        Ok(())
    }

    /// Adds the next bytes, once there is memory for them.
    ///
    /// # Errors
    ///
    /// Returns `TooLong` if the body is longer than is allowed, and `NoMemory` if none is
    /// granted in time.
    pub(crate) async fn push(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        let length = self.bytes.len() + bytes.len();
        if length > self.plan.max_bytes {
            return Err(BodyError::TooLong);
        }
        if self.is_large {
            self.grow_to(length).await?;
        } else if length > MemoryShares::SMALL_BODY_BYTES || !self.share.try_grow(bytes.len()) {
            self.reserve_large(length).await?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Waits for memory beyond the first bytes: for the whole body if its length is stated,
    /// else for a first step.
    async fn reserve_large(&mut self, length: usize) -> Result<(), BodyError> {
        self.begin_wait();
        let (copies, until_ms) = (self.plan.copies, self.plan.wait_until_ms);
        let capacity = match self.plan.stated_bytes {
            Some(stated) => stated.max(length),
            None => self.step_to(length),
        };
        let bytes = capacity * copies;
        let granted = if self.plan.stated_bytes.is_some() {
            self.large.reserve(bytes, until_ms).await
        } else {
            let most_bytes = self.plan.max_bytes * copies;
            self.large
                .reserve_growing(bytes, most_bytes, until_ms)
                .await
        };
        self.share = granted.ok_or(BodyError::NoMemory)?;
        self.end_wait(capacity);
        self.is_large = true;
        Ok(())
    }

    /// Waits until a body without a stated length may have `length` bytes.
    async fn grow_to(&mut self, length: usize) -> Result<(), BodyError> {
        let copies = self.plan.copies;
        if length * copies <= self.share.bytes {
            return Ok(());
        }
        self.begin_wait();
        let capacity = self.step_to(length);
        let bytes = capacity * copies - self.share.bytes;
        if !self.share.grow(bytes, self.plan.wait_until_ms).await {
            return Err(BodyError::NoMemory);
        }
        self.end_wait(capacity);
        Ok(())
    }

    /// Returns the size of the next step of a body of `length` bytes or more.
    fn step_to(&self, length: usize) -> usize {
        (2 * length).min(self.plan.max_bytes)
    }

    fn begin_wait(&self) {
        if let Some(open) = self.open {
            open.begin_wait();
        }
    }

    fn end_wait(&mut self, capacity: usize) {
        if let Some(open) = self.open {
            open.end_wait();
        }
        self.bytes
            .reserve(capacity.saturating_sub(self.bytes.len()));
    }

    /// Returns the whole body, whose memory is returned when the last reference to it is
    /// dropped.
    pub(crate) fn finish(mut self) -> Bytes {
        let bytes = self.bytes.freeze();
        self.share.stop_growing();
        self.share.shrink_to(bytes.len() * self.plan.copies);
        Bytes::from_owner(CountedBytes {
            bytes,
            _share: self.share,
        })
    }
}

/// Returns the length of a body, if its sender has stated it.
pub(crate) fn stated_bytes(body: &Incoming) -> Option<usize> {
    let stated = body.size_hint().exact()?;
    Some(usize::try_from(stated).unwrap_or(usize::MAX))
}

impl BodyMemory {
    /// Counts bytes that are there already, until the last reference to them is dropped.
    pub(crate) fn count<B>(&self, bytes: B) -> Bytes
    where
        B: Into<Bytes>,
    {
        let bytes = bytes.into();
        let pool = if bytes.len() <= MemoryShares::SMALL_BODY_BYTES {
            &self.small
        } else {
            &self.large
        };
        let share = pool.take(bytes.len());
        Bytes::from_owner(CountedBytes {
            bytes,
            _share: share,
        })
    }
}

/// Bytes and the memory that they take.
struct CountedBytes {
    bytes: Bytes,
    _share: MemoryShare,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
