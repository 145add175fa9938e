//! Guards against connections that together exceed the memory of a VM, and against closing
//! one whose request may be running.

use std::collections::BTreeSet;

use chicoryreach::core::connections::{
    CloseReason, ConnectionLimits, ConnectionPhase, ConnectionTable,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_connections: 200,
    max_bytes: 2_500_000,
    buffer_bytes: 16_384,
    head_timeout_ms: 3_000,
    answer_timeout_ms: 15_000,
};
const PHASES: [ConnectionPhase; 4] = [
    ConnectionPhase::Idle,
    ConnectionPhase::Head,
    ConnectionPhase::Body,
    ConnectionPhase::Waiting,
];

/// Opens connections in all phases without end; some run requests.
#[rstest]
fn a_flood_stays_within_the_limits(#[values(1, 2, 3, 4)] seed: u64) {
    const MAX_RUNNING: usize = 20;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut table = ConnectionTable::new();
    let mut running = BTreeSet::new();
    for now_ms in (0..100_000).step_by(10) {
        let id = table.open(&LIMITS, now_ms);
        let phase = PHASES[rng.random_range(0..PHASES.len())];
        table.set_phase(&LIMITS, id, phase, now_ms);
        if running.len() < MAX_RUNNING
            && table.set_phase(&LIMITS, id, ConnectionPhase::Running, now_ms)
        {
            running.insert(id);
        }
        let mut closed = table.take_excess(&LIMITS, now_ms);
        closed.extend(table.take_expired(&LIMITS, now_ms, true));
        for (id, reason) in closed {
            assert!(!running.contains(&id), "{reason} closed a running request");
            let begins = table.set_phase(&LIMITS, id, ConnectionPhase::Running, now_ms);
            assert!(!begins, "a request began on a connection that is closed");
            table.remove(id);
        }
        assert!(table.open_count() <= LIMITS.max_connections);
        assert!(table.used_bytes() <= LIMITS.max_bytes);
        if rng.random_bool(0.1)
            && let Some(id) = running.pop_first()
        {
            table.remove(id);
        }
    }
}

#[test]
fn the_longest_stalled_is_closed_first_then_idle_ones_then_the_largest() {
    let limits = ConnectionLimits {
        max_connections: 1,
        ..LIMITS
    };
    let mut table = ConnectionTable::new();
    let mut open = |phase, at_ms| {
        let id = table.open(&limits, at_ms);
        table.set_phase(&limits, id, phase, at_ms);
        id
    };
    let idle = open(ConnectionPhase::Idle, 0);
    let late = open(ConnectionPhase::Body, 200);
    let early = open(ConnectionPhase::Head, 100);
    let small = open(ConnectionPhase::Idle, 4_900);
    let large = open(ConnectionPhase::Body, 4_900);
    let waiting = open(ConnectionPhase::Waiting, 4_950);
    let running = open(ConnectionPhase::Running, 0);
    let excess = table.take_excess(&limits, 5_000);
    let order: Vec<u64> = excess.into_iter().map(|(id, _)| id).collect();
    assert_eq!(order, [early, late, idle, small, large, waiting]);
    assert!(!order.contains(&running));
}

#[test]
fn heads_bodies_and_unread_answers_have_their_times() {
    let mut table = ConnectionTable::new();
    let [head, body, answer, stream] = [0; 4].map(|at_ms| table.open(&LIMITS, at_ms));
    table.set_phase(&LIMITS, head, ConnectionPhase::Head, 0);
    table.set_phase(&LIMITS, body, ConnectionPhase::Body, 0);
    table.set_blocked(&LIMITS, answer, Some(0));
    table.set_phase(&LIMITS, stream, ConnectionPhase::Running, 0);
    table.set_blocked(&LIMITS, stream, Some(0));
    assert_eq!(table.take_expired(&LIMITS, 2_999, false), []);
    assert_eq!(
        table.take_expired(&LIMITS, 3_000, false),
        [(head, CloseReason::HeadTime)]
    );
    table.on_progress(body, 2_500);
    assert_eq!(table.take_expired(&LIMITS, 3_000, true), []);
    assert_eq!(
        table.take_expired(&LIMITS, 3_500, true),
        [(body, CloseReason::StalledBody)]
    );
    assert_eq!(
        table.take_expired(&LIMITS, 60_000, true),
        [(answer, CloseReason::UnreadAnswer)]
    );
}
