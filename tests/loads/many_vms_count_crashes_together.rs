//! Contents that crash samplers come to many VMs at the planned size, among
//! harmless ones: the runs after the third crash stay bounded, harmless contents
//! are served, and the exchange between VMs is affordable.

use chicoryreach::core::{Name, quarantine::LATE_RETRY_DELAY_MS};
use rstest::rstest;

use super::crash_world::{
    Culprit, HEARTBEAT_MS, MAX_CONTROL_BYTES_PER_S, MAX_LATE_RETRIES, PATIENT_CALLER_DEADLINE_MS,
    PLANNED, RESEND_INTERVAL_MS, TICK_MS, TODAY, World,
};

/// Guards against counts that VMs keep each for itself, and against an exchange that
/// costs more than the control traffic of a daemon may.
#[test]
fn one_culprit_a_second_stays_bounded_and_affordable() {
    const SECONDS: u64 = 20;
    let mut world = World::new(1, PLANNED);
    for tick in 0..SECONDS * 1_000 / TICK_MS {
        let at_ms = tick * TICK_MS;
        if at_ms.is_multiple_of(1_000) {
            let name = format!("culprit-{at_ms}").into();
            world.culprits.insert(name, Culprit::default());
        }
        if at_ms.is_multiple_of(RESEND_INTERVAL_MS) {
            for culprit in world.culprits.keys().cloned().collect::<Vec<_>>() {
                world.send(&culprit, TICK_MS);
            }
        }
        world.tick();
    }
    let seconds = usize::try_from(SECONDS).expect("few");
    let bytes_per_s = (world.row_bytes + world.received_bytes) / seconds;
    let crashes: Vec<usize> = world.culprits.values().map(|c| c.crashes.len()).collect();
    println!(
        "{} culprits, crashes {crashes:?}, late runs at most {}, {} served, {} harmless contents \
         refused, {} rows, {bytes_per_s} bytes/s a VM",
        crashes.len(),
        world.late_runs(),
        world.served,
        world.refused.len(),
        world.rows.len(),
    );
    assert!(world.late_runs() <= MAX_LATE_RETRIES);
    assert!(bytes_per_s <= MAX_CONTROL_BYTES_PER_S, "{bytes_per_s}");
    assert_eq!(world.refused.len(), 0, "{:?}", world.refused);
}

/// Guards against harmless contents that stay refused after a data centre was lost
/// three times within seconds.
#[rstest]
fn harmless_contents_come_free_after_data_centres_were_lost(#[values(1, 2, 3)] seed: u64) {
    const LOST_SAMPLERS: usize = PLANNED.samplers / 9;
    let mut world = World::new(seed, PLANNED);
    for tick in 0..12_000 / TICK_MS {
        if tick.is_multiple_of(100) && (100..=300).contains(&tick) {
            let first = LOST_SAMPLERS * usize::try_from(tick / 100).expect("few");
            for sampler in first..first + LOST_SAMPLERS {
                world.crash(sampler);
            }
        }
        world.tick();
    }
    println!(
        "seed {seed}: {} served, {} harmless contents refused, for {} ms at most, {} rows",
        world.served,
        world.refused.len(),
        world.longest_refusal_ms(),
        world.rows.len()
    );
    // Two late retries, the second after twice the delay, and a heartbeat.
    let max_ms = 3 * LATE_RETRY_DELAY_MS + HEARTBEAT_MS;
    assert!(world.longest_refusal_ms() <= max_ms, "{:?}", world.refused);
    let all = world.served + world.refused.len();
    assert!(world.refused.len() * 1_000 <= all, "{:?}", world.refused);
}

/// Plays a culprit under which samplers go silent, and returns the runs that began too
/// late.
fn late_runs_before_silent_samplers(mut world: World, seed: u64) -> usize {
    const SECONDS: u64 = 40;
    world.is_silent = true;
    let culprit: Name = "culprit".into();
    world.culprits.insert(culprit.clone(), Culprit::default());
    for tick in 0..SECONDS * 1_000 / TICK_MS {
        if (tick * TICK_MS).is_multiple_of(RESEND_INTERVAL_MS) {
            world.send(&culprit, TICK_MS);
        }
        world.tick();
    }
    println!(
        "seed {seed}: {} crashes, {} late runs, {} harmless contents refused, for {} ms at most",
        world.culprits[&culprit].crashes.len(),
        world.late_runs(),
        world.refused.len(),
        world.longest_refusal_ms()
    );
    world.late_runs()
}

/// Guards against a content that reaches samplers freely until the list of samplers
/// tells that those on which it ran are gone.
#[rstest]
fn samplers_that_go_silent_are_counted_in_time(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let late = late_runs_before_silent_samplers(World::new(seed, TODAY), seed);
    assert!(late <= MAX_LATE_RETRIES);
}

/// Guards against many samplers that become unreachable before the list of samplers
/// tells of the first ones.
#[rstest]
fn many_silent_samplers_are_counted_before_the_list_tells(#[values(1, 2)] seed: u64) {
    let mut world = World::new(seed, PLANNED);
    world.is_unreachable = true;
    let late = late_runs_before_silent_samplers(world, seed);
    assert!(late <= MAX_LATE_RETRIES);
}

/// Guards against many samplers that accept connections and answer nothing before the
/// list of samplers tells of the first ones.
#[rstest]
fn many_hanging_samplers_are_counted_before_the_list_tells(#[values(1, 2)] seed: u64) {
    let late = late_runs_before_silent_samplers(World::new(seed, PLANNED), seed);
    assert!(late <= MAX_LATE_RETRIES);
}

/// Guards against crashes that are never counted because their runs still wait when
/// the list of samplers tells.
#[rstest]
fn silent_samplers_are_counted_although_callers_still_wait(#[values(1, 2, 3, 4)] seed: u64) {
    let mut world = World::new(seed, TODAY);
    world.caller_deadline_ms = PATIENT_CALLER_DEADLINE_MS;
    let late = late_runs_before_silent_samplers(world, seed);
    assert!(late <= MAX_LATE_RETRIES);
}
