//! Guards against a service with too few endpoints for its batches that gets no more, and
//! against orders where the configuration asks for none.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use standins::fleet::{DutyCall, PlatformApi, Sampler, SamplerSettings};

use crate::fleet::{Fleet, SAMPLER_SETTINGS, Vm, WAIT_TIMEOUT, config};

/// A sample takes 0.6 s.
const SLOW_SAMPLERS: SamplerSettings = SamplerSettings {
    event_ms: 100,
    ..SAMPLER_SETTINGS
};
/// They keep 30 slots busy for four seconds; the three samplers have 24.
const SAMPLES: usize = 200;

/// Starts VMs with the duty of scaling; `dc-2` has no endpoint available.
async fn start(autoscale: Option<Value>) -> (Fleet, PlatformApi) {
    let api = PlatformApi::try_start().await.expect("a port is free");
    api.set_dry("dc-2");
    let mut fleet = Fleet::start_without_vms(2, SLOW_SAMPLERS).await;
    fleet.platform_api = Some(json!({"address": api.address, "calls_per_s": 50.0,
        "duties": ["scale"], "usage_window_s": 5.0, "usage_due_s": 10.0}));
    let mut document = config(2);
    if let Some(autoscale) = autoscale {
        document["services"][0]["autoscale"] = autoscale;
    }
    let text = STANDARD.encode(document.to_string());
    fleet
        .store
        .with_store(|store| store.put("op", "config", text));
    fleet.start_vms(2).await;
    (fleet, api)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn batches_get_endpoints_where_some_are_available() {
    let autoscale = json!({"min": 1, "max": 8, "boot_s": 0.5, "spot_price": 0.15,
        "zone_prices": {"dc-1": 1.0, "dc-2": 0.8}});
    let (fleet, api) = start(Some(autoscale)).await;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    // The first order, for the data centre without endpoints, shows that the list of
    // endpoints is taken for whole.
    while api.calls().is_empty() {
        assert!(Instant::now() < deadline, "nothing is ordered");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.submit_batch(0, "b1", SAMPLES, 1).await;
    let is_for_batch =
        |order: &DutyCall| order.body["zone"] == "dc-1" && order.body["spot"] == true;
    while !api.calls().iter().any(is_for_batch) {
        assert!(Instant::now() < deadline, "orders: {:?}", api.calls());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let ordered = api.calls();
    let ordered = ordered.iter().find(|order| is_for_batch(order));
    let count = ordered.and_then(|order| order.body["target_groups"].as_u64());
    let count = count.expect("a number");
    assert!((1..=8).contains(&count), "{count} endpoints");
    let mut spot = Vec::new();
    for number in 0..count {
        let id = format!("i-spot-{number}");
        let sampler = Sampler::try_start(&id, "lm", Some("advice"), SLOW_SAMPLERS, &fleet.store);
        let sampler = sampler.expect("a sampler starts");
        sampler.place("dc-1", true);
        spot.push(sampler);
    }
    fleet.read_all_results(1, "b1", SAMPLES).await;
    let orders = api.calls();
    assert!(orders.iter().all(|order| order.path == "/scale"));
    let holders = orders.iter().map(|order| (&order.holder, order.fence));
    let holders: BTreeSet<_> = holders.collect();
    assert_eq!(holders.len(), 1, "{holders:?}");
    let dry = orders.iter().filter(|order| order.body["zone"] == "dc-2");
    let dry: Vec<Instant> = dry.map(|order| order.at).collect();
    assert!(!dry.is_empty(), "dc-2 has fewer than one endpoint");
    assert!(
        dry.windows(2)
            .all(|pair| pair[1] - pair[0] >= Duration::from_millis(4_500)),
        "dc-2 is asked again too soon"
    );
    let logs: String = fleet.vms.iter().map(Vm::log_text).collect();
    let logged = logs.matches("\"endpoints ordered\"").count();
    assert_eq!(logged, orders.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_ordered_for_services_that_are_not_scaled() {
    let (fleet, api) = start(None).await;
    fleet.submit_batch(0, "b1", SAMPLES, 1).await;
    fleet.read_all_results(1, "b1", SAMPLES).await;
    let logs: String = fleet.vms.iter().map(Vm::log_text).collect();
    assert!(logs.contains("duties won"), "no VM holds the duties");
    assert!(api.calls().is_empty(), "{:?}", api.calls());
}
