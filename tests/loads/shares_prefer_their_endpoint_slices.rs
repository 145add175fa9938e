//! Guards against shares that overload a sampler because their VMs choose it at
//! the same time, and against shares whose prompts are read at too many
//! samplers.
//!
//! Three VMs run one share each of every step on the same fifteen samplers, and
//! none learns of the others' requests in time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use chicoryreach::core::{
    Name,
    pool::{EndpointRequirements, EndpointSlice, Pool},
    rate_limit::Purpose,
};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

use super::support::{SERVICE, endpoint_name, pool};

const VMS: u32 = 3;
const ENDPOINTS: usize = 15;
const SLOTS: u32 = 8;
const SAMPLES_PER_SHARE: usize = 30;
const STEPS: usize = 5;

/// The figures of one simulation.
struct Outcome {
    /// Requests beyond the slots of their sampler.
    excess_requests: u32,
    new_connections: u32,
    /// The number of samplers that a share used, summed over all shares and
    /// steps.
    used_samplers: usize,
}

struct Vm {
    pool: Pool,
    /// The number of idle connections by address.
    idle_connections: BTreeMap<SocketAddr, u32>,
}

impl Vm {
    /// Starts a request; returns its sampler and whether it needs a new
    /// connection.
    fn start_request(&mut self, slice: Option<EndpointSlice>, rng: &mut SmallRng) -> (Name, bool) {
        let connected: BTreeSet<SocketAddr> = self.idle_connections.keys().copied().collect();
        let requirements = EndpointRequirements {
            service: SERVICE,
            data_centre: "dc-0",
            avoid: &BTreeSet::new(),
            weights: None,
            max_occupancy: 1.0,
            connected: &connected,
            software: None,
            purpose: Purpose::Sample,
            length_weight: 0.0,
            slice,
        };
        let chosen = self
            .pool
            .choose(0, &requirements, rng)
            .expect("a slot is free");
        let endpoint = self.pool.get_mut(&chosen).expect("it was chosen");
        endpoint.load.in_flight += 1;
        let address = endpoint.record.address;
        let is_new = match self.idle_connections.get_mut(&address) {
            Some(count) => {
                *count -= 1;
                false
            }
            None => true,
        };
        self.idle_connections.retain(|_, count| *count > 0);
        (chosen, is_new)
    }
}

fn simulate(seed: u64, has_slices: bool) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let started = (0..VMS).map(|_| Vm {
        pool: pool(ENDPOINTS, SLOTS, &[]),
        idle_connections: BTreeMap::new(),
    });
    let mut vms: Vec<Vm> = started.collect();
    let mut outcome = Outcome {
        excess_requests: 0,
        new_connections: 0,
        used_samplers: 0,
    };
    for _ in 0..STEPS {
        let mut requests_by_sampler: BTreeMap<Name, u32> = BTreeMap::new();
        for _ in 0..SAMPLES_PER_SHARE {
            for (share, vm) in (0..VMS).zip(&mut vms) {
                let slice = EndpointSlice {
                    share,
                    share_count: VMS,
                };
                let (endpoint, is_new) = vm.start_request(has_slices.then_some(slice), &mut rng);
                *requests_by_sampler.entry(endpoint).or_default() += 1;
                outcome.new_connections += u32::from(is_new);
            }
        }
        let excess = requests_by_sampler
            .values()
            .map(|count| count.saturating_sub(SLOTS));
        outcome.excess_requests += excess.sum::<u32>();
        for vm in &mut vms {
            outcome.used_samplers += end_step(vm);
        }
    }
    outcome
}

/// Ends all requests and keeps their connections open; returns how many
/// samplers had requests.
fn end_step(vm: &mut Vm) -> usize {
    let mut used = 0;
    for number in 0..ENDPOINTS {
        let endpoint = vm.pool.get_mut(&endpoint_name(number)).expect("listed");
        let count = std::mem::take(&mut endpoint.load.in_flight);
        if count > 0 {
            *vm.idle_connections
                .entry(endpoint.record.address)
                .or_default() += count;
            used += 1;
        }
    }
    used
}

#[rstest]
fn with_slices_at_most_5_percent_of_requests_exceed_the_slots(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let outcome = simulate(seed, true);
    let all = VMS * u32::try_from(SAMPLES_PER_SHARE * STEPS).expect("few");
    assert!(
        outcome.excess_requests * 20 <= all,
        "{} of {all} requests exceed the slots",
        outcome.excess_requests
    );
}

#[rstest]
fn with_slices_a_share_uses_a_fifth_fewer_samplers(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let (with, without) = (simulate(seed, true), simulate(seed, false));
    assert!(
        5 * with.used_samplers <= 4 * without.used_samplers,
        "{} samplers with slices, {} without",
        with.used_samplers,
        without.used_samplers
    );
}

#[rstest]
fn with_slices_later_steps_reuse_most_connections(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let outcome = simulate(seed, true);
    let requests_per_step = VMS * u32::try_from(SAMPLES_PER_SHARE).expect("few");
    assert!(
        outcome.new_connections * 2 <= requests_per_step * 3,
        "{} new connections for {requests_per_step} requests per step",
        outcome.new_connections
    );
}
