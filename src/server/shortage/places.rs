use std::collections::BTreeSet;

use crate::{
    core::{
        pool::{EndpointStage, Pool, PoolEndpoint},
        rate_limit::Purpose,
        routes::RouteTable,
        shortage::FreePlaces,
    },
    server::{
        forward::ATTEMPT_MAX_OCCUPANCY, sample::MAX_RUN_OCCUPANCY, score::MAX_SCORE_OCCUPANCY,
    },
};

/// Returns whether requests of a service wait for each other: where accounts are configured,
/// or routes of several priorities lead to it.
pub(super) fn is_in_force(routes: &RouteTable, service: &str) -> bool {
    if routes.accounts().is_some() {
        return true;
    }
    let leads_there = |services: &[crate::core::routes::WeightedService]| {
        services.iter().any(|entry| &*entry.service == service)
    };
    let to_service = routes.all().filter(|route| leads_there(&route.services));
    let priorities: BTreeSet<u8> = to_service.map(|route| route.priority).collect();
    priorities.len() > 1
}

/// Returns how many requests the endpoints of a service can take, as far as is known.
pub(super) fn free_places(pool: &Pool, service: &str, now_ms: u64) -> FreePlaces {
    let usable = pool.of_service(service).filter(|endpoint| {
        endpoint.record.stage == EndpointStage::Ready
            && endpoint.named_limit.allows(now_ms, Purpose::Caller)
    });
    usable.fold(FreePlaces::default(), |sum, endpoint| {
        let below = |max_occupancy| places_below(endpoint, now_ms, max_occupancy);
        FreePlaces {
            callers: sum.callers + below(ATTEMPT_MAX_OCCUPANCY),
            samples: sum.samples + below(MAX_RUN_OCCUPANCY),
            score_calls: sum.score_calls + below(MAX_SCORE_OCCUPANCY),
        }
    })
}

/// Returns the number of slots of the endpoints of a service that accept work.
pub(super) fn slots(pool: &Pool, service: &str) -> u32 {
    let ready = pool
        .of_service(service)
        .filter(|endpoint| endpoint.record.stage == EndpointStage::Ready);
    ready.map(|endpoint| endpoint.record.slots).sum()
}

/// Returns how many requests an endpoint can take until it has reached an occupancy.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "slots are few, and the product is positive"
)]
fn places_below(endpoint: &PoolEndpoint, now_ms: u64, max_occupancy: f64) -> u32 {
    let slots = f64::from(endpoint.record.slots.max(1));
    let most = (slots * max_occupancy).ceil() as u32;
    most.saturating_sub(endpoint.load.total(now_ms))
}
