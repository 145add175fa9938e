//! Guards against refusals of requests that could be in time, starvation, and callers that
//! are sent away without a fair turn.

use chicoryreach::core::shortage::{
    Entry, FreePlaces, RefusalReason, Refused, RoomPolicy, Verdict, WaitingRoom, WorkKind,
};

const START: Verdict = Verdict::Start { is_reserved: false };

fn request(id: &str, priority: u8, now_ms: u64) -> Entry {
    Entry {
        id: id.into(),
        kind: WorkKind::Request,
        priority,
        account: Some("club".into()),
        came_ms: now_ms,
        objective_at_ms: now_ms + 300,
        deadline_ms: now_ms + 1_000,
        work_ms: 100,
    }
}

fn room(max_waiting: usize) -> WaitingRoom {
    WaitingRoom::new(RoomPolicy {
        max_waiting,
        ..RoomPolicy::DEFAULT
    })
}

fn places(count: u32) -> FreePlaces {
    FreePlaces::of_any_kind(count)
}

fn refusals(verdicts: &[(u64, Verdict)]) -> Vec<(u64, Refused)> {
    let refused = verdicts
        .iter()
        .filter_map(|(number, verdict)| match verdict {
            Verdict::Refuse(refused) => Some((*number, *refused)),
            Verdict::Start { .. } => None,
        });
    refused.collect()
}

#[test]
fn what_cannot_be_in_time_is_refused_at_once_and_nothing_else() {
    let mut room = room(8);
    let late = room.enter(Entry {
        deadline_ms: 99,
        ..request("late", 0, 0)
    });
    let possible = room.enter(request("possible", 9, 0));
    let refused = refusals(&room.advance(0, places(0)));
    assert_eq!(refused.len(), 1);
    assert_eq!(
        (refused[0].0, refused[0].1.reason),
        (late, RefusalReason::TooLate)
    );
    assert_eq!(
        room.advance(899, places(1)),
        [(possible, Verdict::Start { is_reserved: false })]
    );
}

#[test]
fn a_full_room_refuses_the_last_in_the_order_and_no_training_for_callers() {
    let mut room = room(2);
    let sample = room.enter(Entry {
        kind: WorkKind::Sample,
        ..request("sample", 9, 0)
    });
    let middle = room.enter(request("middle", 2, 0));
    let last = room.enter(request("last", 5, 0));
    assert!(room.advance(0, places(0)).is_empty());
    let urgent = room.enter(request("urgent", 0, 1));
    let refused = refusals(&room.advance(1, places(0)));
    assert_eq!((refused.len(), refused[0].0), (1, last));
    assert_eq!(refused[0].1.reason, RefusalReason::RoomFull);
    let started = [(urgent, START), (middle, START), (sample, START)];
    assert_eq!(room.advance(2, places(3)), started);
}

#[test]
fn refused_callers_return_in_their_order_and_go_first() {
    let mut room = room(1);
    let waiting = room.enter(request("waiting", 0, 0));
    let mut retry_at_ms = Vec::new();
    for (number, id) in ["first", "second", "third"].iter().enumerate() {
        let now_ms = u64::try_from(number).expect("few");
        room.enter(request(id, 2, now_ms));
        let refused = refusals(&room.advance(now_ms, places(0)));
        retry_at_ms.push(refused[0].1.retry_at_ms);
    }
    // A piece of work of 100 ms apart.
    assert!(
        retry_at_ms.windows(2).all(|pair| pair[1] >= pair[0] + 100),
        "{retry_at_ms:?}"
    );
    assert_eq!(room.advance(5, places(1)), [(waiting, START)]);
    room.on_started(waiting);
    // A new request on the same terms comes first, and one that was refused comes back.
    let new = room.enter(request("new", 2, 200));
    let back = room.enter(request("second", 2, 201));
    assert_eq!(room.advance(202, places(1))[0], (back, START));
    room.on_started(back);
    assert_eq!(room.advance(203, places(1)), [(new, START)]);
}

#[test]
fn work_that_found_no_endpoint_keeps_its_place_and_blocks_nobody() {
    let mut room = room(8);
    let stuck = room.enter(request("stuck", 0, 0));
    let other = room.enter(request("other", 1, 0));
    assert_eq!(room.advance(0, places(1)), [(stuck, START)]);
    room.on_not_placed(0, stuck);
    assert_eq!(room.advance(1, places(1)), [(other, START)]);
    room.on_started(other);
    assert_eq!(room.advance(30, places(1)), [(stuck, START)]);
}

/// Urgent requests come twice as fast as they can be run, and a sample and a stream of the
/// lowest priority wait.
#[test]
fn overdue_work_starts_within_the_stated_bound() {
    let mut room = room(256);
    let patient = |kind, priority| Entry {
        kind,
        account: Some("patient".into()),
        deadline_ms: 60_000,
        ..request("patient", priority, 0)
    };
    let waiting = [
        room.enter(patient(WorkKind::Sample, 9)),
        room.enter(patient(WorkKind::Stream, 9)),
    ];
    let mut started_ms = Vec::new();
    for now_ms in (0..20_000).step_by(50) {
        room.enter(request(&format!("u{now_ms}"), 0, now_ms));
        // One start of 100 ms each 100 ms.
        let free = u32::from(now_ms % 100 == 0);
        for (number, verdict) in room.advance(now_ms, places(free)) {
            if matches!(verdict, Verdict::Start { .. }) {
                room.on_started(number);
                started_ms.extend(waiting.contains(&number).then_some(now_ms));
            }
        }
    }
    println!("started after {started_ms:?} ms");
    // Overdue after 2 s; then three kinds take turns at one part in eight of the work.
    let bound_ms = 2_000 + 3 * 8 * 100;
    assert_eq!(started_ms.len(), waiting.len());
    assert!(
        started_ms.iter().all(|at_ms| *at_ms <= bound_ms),
        "{started_ms:?}"
    );
}
