use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::{Notify, watch};

use super::{
    log_budget::LogBudget,
    places::{free_places, slots},
};
use crate::{
    core::{
        Name,
        shortage::{Entry, RoomPolicy, Verdict, WaitingRoom},
    },
    daemon::now_ms,
    server::state::{Server, lock},
};

/// How often waiting work is looked at while no request ends, in milliseconds.
const ADVANCE_INTERVAL_MS: u64 = 10;

/// What has been decided about one piece of work; `None` while it waits.
pub(super) type Decided = Option<Verdict>;

/// The waiting rooms of a VM, by service.
#[derive(Default)]
pub(crate) struct Rooms {
    by_service: Mutex<BTreeMap<Name, ServiceRoom>>,
    place_free: Notify,
    pub(super) log_budget: Mutex<LogBudget>,
}

struct ServiceRoom {
    room: WaitingRoom,
    decided: BTreeMap<u64, watch::Sender<Decided>>,
    /// Whether a task looks at it as places become free.
    is_attended: bool,
}

impl Rooms {
    /// Records that an endpoint may have a free place.
    pub(crate) fn on_place_free(&self) {
        self.place_free.notify_waiters();
    }

    /// Applies a change to the room of a service; there is one while work of it waits.
    pub(super) fn with_room<F, T>(&self, service: &Name, act: F) -> Option<T>
    where
        F: FnOnce(&mut WaitingRoom) -> T,
    {
        let mut rooms = lock(&self.by_service);
        rooms.get_mut(service).map(|known| act(&mut known.room))
    }
}

/// Adds work and decides about it and what else waits.
pub(super) fn enter(
    server: &Arc<Server>,
    service: &Name,
    entry: Entry,
) -> (u64, watch::Receiver<Decided>) {
    let (sender, receiver) = watch::channel(None);
    let number = {
        let mut rooms = lock(&server.waiting_rooms.by_service);
        let known = rooms.entry(service.clone()).or_insert_with(|| ServiceRoom {
            room: WaitingRoom::new(RoomPolicy::DEFAULT),
            decided: BTreeMap::new(),
            is_attended: false,
        });
        let number = known.room.enter(entry);
        known.decided.insert(number, sender);
        number
    };
    advance(server, service);
    attend(server, service);
    (number, receiver)
}

/// Removes work that is started or no longer wanted.
pub(super) fn leave(server: &Server, service: &Name, number: u64) {
    let mut rooms = lock(&server.waiting_rooms.by_service);
    if let Some(known) = rooms.get_mut(service) {
        known.room.leave(number);
        known.decided.remove(&number);
    }
}

/// Records that work which was told to start has found no endpoint.
pub(super) fn on_not_placed(server: &Arc<Server>, service: &Name, number: u64) {
    if let Some(known) = lock(&server.waiting_rooms.by_service).get_mut(service) {
        known.room.on_not_placed(now_ms(), number);
        if let Some(decided) = known.decided.get(&number) {
            decided.send_replace(None);
        }
    }
    attend(server, service);
}

/// Decides about the work that waits for a service.
fn advance(server: &Server, service: &Name) {
    let mut rooms = lock(&server.waiting_rooms.by_service);
    let Some(known) = rooms.get_mut(service) else {
        return;
    };
    let now_ms = now_ms();
    let (places, slots) = {
        let pool = lock(&server.pool);
        (free_places(&pool, service, now_ms), slots(&pool, service))
    };
    known.room.set_slots(slots);
    for (number, verdict) in known.room.advance(now_ms, places) {
        if let Some(decided) = known.decided.get(&number) {
            decided.send_replace(Some(verdict));
        }
    }
    let waiting: usize = rooms.values().map(|known| known.room.waiting()).sum();
    server.metrics.shortage.set_waiting(waiting);
}

/// Starts a task that looks at a room until nothing waits in it, unless there is one.
fn attend(server: &Arc<Server>, service: &Name) {
    {
        let mut rooms = lock(&server.waiting_rooms.by_service);
        let unattended = rooms.get_mut(service).filter(|known| !known.is_attended);
        match unattended {
            Some(known) if known.room.waiting() > 0 => known.is_attended = true,
            _ => return,
        }
    }
    let (server, service) = (server.clone(), service.clone());
    tokio::spawn(async move {
        loop {
            let place_free = server.waiting_rooms.place_free.notified();
            let interval = Duration::from_millis(ADVANCE_INTERVAL_MS);
            let _ = tokio::time::timeout(interval, place_free).await;
            advance(&server, &service);
            let mut rooms = lock(&server.waiting_rooms.by_service);
            match rooms.get_mut(&service) {
                Some(known) if known.room.waiting() > 0 => {}
                Some(known) => {
                    known.is_attended = false;
                    return;
                }
                None => return,
            }
        }
    });
}
