//! Three VMs run a share each of every step on the same fifteen samplers, and
//! none knows the requests of the others in time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use chicoryreach::core::{
    Name,
    pool::{EndpointRequirements, EndpointSlice, Pool},
};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

use super::support::{SERVICE, name, pool};

const VMS: u32 = 3;
const ENDPOINTS: usize = 15;
const SLOTS: u32 = 8;
const SAMPLES: usize = 30;
const STEPS: usize = 5;

/// What a run of the pattern showed.
struct Seen {
    /// Requests beyond the slots of their sampler.
    crowded: u32,
    new_connections: u32,
    /// The samplers that each share used, over all shares and steps.
    samplers_of_shares: usize,
}

struct Vm {
    pool: Pool,
    /// Idle connections by address.
    idle: BTreeMap<SocketAddr, u32>,
}

impl Vm {
    fn start(&mut self, slice: Option<EndpointSlice>, rng: &mut SmallRng) -> (Name, bool) {
        let connected: BTreeSet<SocketAddr> = self.idle.keys().copied().collect();
        let wanted = EndpointRequirements {
            service: SERVICE,
            data_centre: "dc-0",
            avoid: &BTreeSet::new(),
            weights: None,
            max_occupancy: 1.0,
            connected: &connected,
            slice,
        };
        let chosen = self.pool.choose(0, &wanted, rng).expect("there is room");
        let endpoint = self.pool.get_mut(&chosen).expect("it was chosen");
        endpoint.load.in_flight += 1;
        let address = endpoint.record.address;
        let is_new = match self.idle.get_mut(&address) {
            Some(count) => {
                *count -= 1;
                false
            }
            None => true,
        };
        self.idle.retain(|_, count| *count > 0);
        (chosen, is_new)
    }
}

fn play(number: u64, has_slices: bool) -> Seen {
    let mut rng = SmallRng::seed_from_u64(number);
    let vms = (0..VMS).map(|_| Vm {
        pool: pool(ENDPOINTS, SLOTS, &[]),
        idle: BTreeMap::new(),
    });
    let mut members: Vec<Vm> = vms.collect();
    let mut seen = Seen {
        crowded: 0,
        new_connections: 0,
        samplers_of_shares: 0,
    };
    for _ in 0..STEPS {
        let mut total: BTreeMap<Name, u32> = BTreeMap::new();
        for _ in 0..SAMPLES {
            for (share, vm) in (0..VMS).zip(&mut members) {
                let slice = EndpointSlice {
                    share,
                    share_count: VMS,
                };
                let (endpoint, is_new) = vm.start(has_slices.then_some(slice), &mut rng);
                *total.entry(endpoint).or_default() += 1;
                seen.new_connections += u32::from(is_new);
            }
        }
        let over = total.values().map(|count| count.saturating_sub(SLOTS));
        seen.crowded += over.sum::<u32>();
        for vm in &mut members {
            seen.samplers_of_shares += end_step(vm);
        }
    }
    seen
}

/// All requests end, and their connections stay open; returns how many
/// samplers had some.
fn end_step(vm: &mut Vm) -> usize {
    let mut used = 0;
    for number in 0..ENDPOINTS {
        let endpoint = vm.pool.get_mut(&name(number)).expect("listed");
        let count = std::mem::take(&mut endpoint.load.in_flight);
        if count > 0 {
            *vm.idle.entry(endpoint.record.address).or_default() += count;
            used += 1;
        }
    }
    used
}

#[rstest]
fn few_requests_meet_at_a_full_sampler(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let seen = play(seed, true);
    let all = VMS * u32::try_from(SAMPLES * STEPS).expect("few");
    assert!(seen.crowded * 20 <= all, "{} of {all}", seen.crowded);
}

#[rstest]
fn a_share_has_its_prompts_read_at_fewer_samplers(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let (with, without) = (play(seed, true), play(seed, false));
    assert!(
        5 * with.samplers_of_shares <= 4 * without.samplers_of_shares,
        "{} samplers with slices, {} without",
        with.samplers_of_shares,
        without.samplers_of_shares
    );
}

#[rstest]
fn connections_of_one_step_serve_the_next(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let seen = play(seed, true);
    let of_one_step = VMS * u32::try_from(SAMPLES).expect("few");
    assert!(
        seen.new_connections * 2 <= of_one_step * 3,
        "{} for steps of {of_one_step}",
        seen.new_connections
    );
}
