//! Guards against two VMs that send load orders within one order gap.
//!
//! VMs freeze, lose the store and restart at random times, also while they renew the
//! leader lease, and the answers of the store are late.

use chicoryreach::core::leader_lease::{LeaderLease, LeaderLeaseRow, PlatformClock};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const VMS: usize = 5;
const ORDER_GAP_MS: u64 = 3_000;
const END_MS: u64 = 120_000;
const TICK_MS: u64 = 20;

struct Vm {
    leader_lease: LeaderLease,
    clock: PlatformClock,
    clock_offset_ms: u64,
    /// The time until which this VM runs nothing.
    frozen_until_ms: u64,
    /// The time until which it cannot reach the store.
    disconnected_until_ms: u64,
    incarnation: u64,
}

#[derive(Default)]
struct StoredLease {
    row: Option<LeaderLeaseRow>,
    version: u64,
}

/// A moment at which a VM considers itself the leader.
struct LeaderAct {
    at_ms: u64,
    vm: usize,
    fence: u64,
}

fn new_vm(number: usize, incarnation: u64) -> Vm {
    Vm {
        leader_lease: LeaderLease::new(format!("vm-{number}").into(), incarnation, ORDER_GAP_MS),
        clock: PlatformClock::default(),
        clock_offset_ms: 7_000 * u64::try_from(number).expect("few"),
        frozen_until_ms: 0,
        disconnected_until_ms: 0,
        incarnation,
    }
}

/// Reads the lease row and claims it if possible; the answer arrives `late_ms`
/// later, which is less than 60.
fn read_and_claim(vm: &mut Vm, store: &mut StoredLease, now_ms: u64, late_ms: u64, is_lost: bool) {
    let local_ms = now_ms + vm.clock_offset_ms;
    vm.clock.on_answer(local_ms, local_ms + late_ms, now_ms);
    vm.leader_lease.on_read(store.row.clone(), store.version);
    let Some(earliest_ms) = vm.clock.earliest_ms(local_ms) else {
        return;
    };
    let Some(claim) = vm.leader_lease.claim(local_ms, earliest_ms) else {
        return;
    };
    if claim.row_version != store.version {
        return;
    }
    store.version += 1;
    store.row = Some(claim.row.clone());
    if is_lost {
        vm.leader_lease.on_unknown();
    } else {
        vm.leader_lease.on_written(claim.row, store.version);
    }
}

fn simulate(seed: u64) -> Vec<LeaderAct> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut store = StoredLease::default();
    let mut vms: Vec<Vm> = (0..VMS).map(|number| new_vm(number, 1)).collect();
    let mut acts: Vec<LeaderAct> = Vec::new();
    let mut now_ms = 10_000;
    while now_ms < END_MS {
        now_ms += TICK_MS;
        for (number, vm) in vms.iter_mut().enumerate() {
            if rng.random_bool(0.0015) {
                vm.frozen_until_ms = now_ms + rng.random_range(500..9_000);
            }
            if rng.random_bool(0.0015) {
                vm.disconnected_until_ms = now_ms + rng.random_range(500..12_000);
            }
            if rng.random_bool(0.0005) {
                *vm = new_vm(number, vm.incarnation + 1);
                vm.frozen_until_ms = now_ms + 1_000;
            }
            if now_ms < vm.frozen_until_ms {
                continue;
            }
            if now_ms >= vm.disconnected_until_ms && rng.random_bool(0.05) {
                let (late_ms, is_lost) = (rng.random_range(0..60), rng.random_bool(0.05));
                read_and_claim(vm, &mut store, now_ms, late_ms, is_lost);
            }
            let local_ms = now_ms + vm.clock_offset_ms;
            let latest_ms = vm.clock.latest_ms(local_ms);
            if let Some(fence) = latest_ms.and_then(|latest_ms| vm.leader_lease.fence(latest_ms)) {
                acts.push(LeaderAct {
                    at_ms: now_ms,
                    vm: number,
                    fence,
                });
            }
        }
    }
    acts
}

#[rstest]
fn two_vms_never_lead_within_one_order_gap(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64) {
    for seed in seed * 20..seed * 20 + 20 {
        let acts = simulate(seed);
        let mut holders = std::collections::BTreeSet::new();
        for pair in acts.windows(2) {
            let (before, after) = (&pair[0], &pair[1]);
            holders.insert(after.vm);
            assert!(
                after.fence >= before.fence,
                "seed {seed}: the fence decreased"
            );
            if before.vm != after.vm {
                let gap_ms = after.at_ms - before.at_ms;
                assert!(
                    gap_ms >= ORDER_GAP_MS,
                    "seed {seed}: the leader changed after {gap_ms} ms"
                );
                assert!(
                    after.fence > before.fence,
                    "seed {seed}: two VMs have the same fence"
                );
            }
        }
        assert!(holders.len() > 1, "seed {seed}: the leader never changed");
    }
}

#[test]
fn after_a_step_down_another_vm_leads_once_the_gap_is_over() {
    let mut first = LeaderLease::new("vm-1".into(), 1, ORDER_GAP_MS);
    first.on_read(None, 0);
    let claim = first.claim(0, 50_000).expect("the lease is free");
    first.on_written(claim.row, 1);
    let released = first.step_down(50_400).expect("it is held");
    let mut second = LeaderLease::new("vm-2".into(), 1, ORDER_GAP_MS);
    second.on_read(Some(released.row), 2);
    assert!(second.claim(0, 50_400 + ORDER_GAP_MS - 1).is_none());
    let claim = second
        .claim(0, 50_400 + ORDER_GAP_MS)
        .expect("the gap is over");
    assert_eq!(claim.row.fence, 2);
}
