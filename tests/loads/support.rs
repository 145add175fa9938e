//! Endpoints and samples for the load patterns.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use chicoryreach::core::{
    Name,
    batch::SampleSpec,
    pool::{EndpointRecord, EndpointStage, Pool},
    weights::SentOrder,
};
use rand::{Rng, rngs::SmallRng};

/// The service that every endpoint offers.
pub const SERVICE: &str = "demand-lm";

/// Returns the name of an endpoint.
pub fn endpoint_name(number: usize) -> Name {
    format!("endpoint-{number:02}").into()
}

/// Returns the record that an endpoint registers.
pub fn endpoint_record(number: usize, slots: u32, weights: &[(&str, u64)]) -> EndpointRecord {
    let weights = weights.iter();
    let weights = weights.map(|(model, version)| (Arc::from(*model), *version));
    EndpointRecord {
        id: endpoint_name(number),
        started_unix_ms: 1,
        service: SERVICE.into(),
        software: "v1".into(),
        address: ([127, 0, 0, 1], 9_000 + u16::try_from(number).expect("few")).into(),
        data_centre: format!("dc-{}", number % 3).into(),
        slots,
        stage: EndpointStage::Ready,
        is_spot: false,
        leaves_ms: None,
        weights: weights.collect::<BTreeMap<_, _>>(),
    }
}

/// Returns a pool of `count` endpoints.
pub fn pool(count: usize, slots: u32, weights: &[(&str, u64)]) -> Pool {
    let mut pool = Pool::default();
    for number in 0..count {
        pool.on_listed(endpoint_record(number, slots, weights));
    }
    pool
}

/// Completes the loads whose time is over at `now_ms`.
pub fn complete_due_loads(pool: &mut Pool, sent: &mut BTreeMap<Name, SentOrder>, now_ms: u64) {
    sent.retain(|id, order| {
        let is_complete = order.until_ms <= now_ms;
        if is_complete {
            let weights = &mut pool.get_mut(id).expect("listed").record.weights;
            weights.insert(order.model.clone(), order.version);
        }
        !is_complete
    });
}

/// Draws the number of events of a sample; a tenth of the samples is five
/// times longer.
pub fn draw_event_count(rng: &mut SmallRng) -> u32 {
    let base = rng.random_range(3..30);
    if rng.random_bool(0.1) { base * 5 } else { base }
}

/// Returns a sample that belongs to the given group.
pub fn sample(number: usize, group: usize, length_hint: u64) -> SampleSpec {
    SampleSpec {
        id: format!("sample-{number}").into(),
        path: "/rollout/1".into(),
        headers: Vec::new(),
        body: Bytes::new(),
        group: format!("group-{group}").into(),
        length_hint,
        max_tokens: None,
        score: None,
    }
}
