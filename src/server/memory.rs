//! The memory that bodies and answers take, until the last byte of each is sent on.

use std::sync::{Arc, Mutex};

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
}

/// A part of a pool, until it is dropped.
#[derive(Debug)]
pub(crate) struct MemoryShare {
    pool: Arc<SharedPool>,
    bytes: usize,
}

impl SharedPool {
    pub(crate) fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            pool: Mutex::new(MemoryPool::new(max_bytes)),
            changed: Notify::new(),
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
        let place = QueuePlace::new(self, bytes);
        loop {
            let changed = self.changed.notified();
            if lock(&self.pool).try_take_waiting(place.ticket) {
                return Some(self.share(bytes));
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(until_ms) => return None,
            }
        }
    }

    pub(crate) fn used_bytes(&self) -> usize {
        lock(&self.pool).used_bytes()
    }

    pub(crate) fn waiting_count(&self) -> usize {
        lock(&self.pool).waiting_count()
    }

    fn share(self: &Arc<Self>, bytes: usize) -> MemoryShare {
        MemoryShare {
            pool: self.clone(),
            bytes,
        }
    }
}

/// A place in the queue of a pool, until it is dropped.
struct QueuePlace<'a> {
    pool: &'a SharedPool,
    ticket: u64,
}

impl<'a> QueuePlace<'a> {
    fn new(pool: &'a SharedPool, bytes: usize) -> Self {
        Self {
            pool,
            ticket: lock(&pool.pool).wait_for(bytes),
        }
    }
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
        self.shrink_to(0);
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
/// little holds little. Beyond them, the whole body is granted before more is read: two
/// bodies cannot block each other half-read.
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
        let is_granted = self.is_large
            || (length <= MemoryShares::SMALL_BODY_BYTES && self.share.try_grow(bytes.len()));
        if !is_granted {
            self.reserve_whole(length).await?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Waits for the memory of the whole body, of which `length` bytes have come.
    async fn reserve_whole(&mut self, length: usize) -> Result<(), BodyError> {
        let whole = self.plan.stated_bytes.unwrap_or(self.plan.max_bytes);
        let bytes = whole.max(length) * self.plan.copies;
        if let Some(open) = self.open {
            open.begin_wait();
        }
        let granted = self.large.reserve(bytes, self.plan.wait_until_ms).await;
        self.share = granted.ok_or(BodyError::NoMemory)?;
        if let Some(open) = self.open {
            open.end_wait();
        }
        self.is_large = true;
        self.bytes.reserve(whole.saturating_sub(self.bytes.len()));
        Ok(())
    }

    /// Returns the whole body, whose memory is returned when the last reference to it is
    /// dropped.
    pub(crate) fn finish(mut self) -> Bytes {
        let bytes = self.bytes.freeze();
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
