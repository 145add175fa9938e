//! Guards against a service with too few endpoints for its batches that gets no more, and
//! against orders where the configuration asks for none.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use http_body_util::{BodyExt, Empty};
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use standins::{
    fleet::{Sampler, SamplerSettings},
    http::{Answer, bind, serve},
};

use crate::fleet::{Fleet, SAMPLER_SETTINGS, WAIT_TIMEOUT, config};

/// A sample takes 0.6 s.
const SLOW_SAMPLERS: SamplerSettings = SamplerSettings {
    event_ms: 100,
    ..SAMPLER_SETTINGS
};
/// They keep 30 slots busy for four seconds; the three samplers have 24.
const SAMPLES: usize = 200;

/// An order that the platform's API got.
#[derive(Clone, Debug)]
struct Order {
    at: Instant,
    holder: String,
    fence: u64,
    body: Value,
}

/// The platform's API; it has no endpoint available in `dc-2`.
#[derive(Clone, Default)]
struct Api {
    orders: Arc<Mutex<Vec<Order>>>,
}

impl Api {
    async fn start(&self) -> SocketAddr {
        let (listener, address) = bind().await.expect("a port is free");
        let api = self.clone();
        let handler = move |request| {
            let api = api.clone();
            async move { api.answer(request).await }
        };
        tokio::spawn(serve(listener, handler));
        address
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        assert_eq!(request.uri().path(), "/scale");
        let header = |name: &str| request.headers()[name].to_str().expect("text").to_owned();
        let (holder, fence) = (header("x-duty-holder"), header("x-fence-token"));
        let body = request.into_body().collect().await.expect("a body");
        let body: Value = serde_json::from_slice(&body.to_bytes()).expect("JSON");
        let status = if body["zone"] == "dc-2" {
            StatusCode::CONFLICT
        } else {
            StatusCode::OK
        };
        self.orders.lock().expect("no panic").push(Order {
            at: Instant::now(),
            holder,
            fence: fence.parse().expect("a number"),
            body,
        });
        let body = Empty::new().map_err(|never| match never {}).boxed();
        let mut answer = Response::new(body);
        *answer.status_mut() = status;
        answer
    }

    fn orders(&self) -> Vec<Order> {
        self.orders.lock().expect("no panic").clone()
    }
}

async fn start(api: &Api, autoscale: Option<Value>) -> Fleet {
    let mut fleet = Fleet::start_without_vms(2, SLOW_SAMPLERS).await;
    let address = api.start().await;
    fleet.platform_api = Some(json!({"address": address, "calls_per_s": 50.0,
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
    fleet
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn batches_get_endpoints_where_some_are_available() {
    let api = Api::default();
    let autoscale = json!({"min": 1, "max": 8, "boot_s": 0.5, "spot_price": 0.15,
        "zone_prices": {"dc-1": 1.0, "dc-2": 0.8}});
    let fleet = start(&api, Some(autoscale)).await;
    fleet.submit_batch(0, "b1", SAMPLES, 1).await;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let is_for_batch = |order: &Order| order.body["zone"] == "dc-1" && order.body["spot"] == true;
    while !api.orders().iter().any(is_for_batch) {
        assert!(Instant::now() < deadline, "orders: {:?}", api.orders());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let ordered = api.orders();
    let ordered = ordered.iter().find(|order| is_for_batch(order));
    let count = ordered.and_then(|order| order.body["target_groups"].as_u64());
    let count = count.expect("a number");
    assert!((1..=8).contains(&count), "{count} endpoints");
    for number in 0..count {
        let id = format!("i-spot-{number}");
        let sampler = Sampler::try_start(&id, "lm", Some("advice"), SLOW_SAMPLERS, &fleet.store);
        let sampler = sampler.expect("a sampler starts");
        sampler.place("dc-1", true);
        // It stays up for the rest of the test.
        std::mem::forget(sampler);
    }
    fleet.read_all_results(1, "b1", SAMPLES).await;
    let orders = api.orders();
    println!("{orders:#?}");
    let holders = orders.iter().map(|order| (&order.holder, order.fence));
    let holders: std::collections::BTreeSet<_> = holders.collect();
    assert_eq!(holders.len(), 1, "{holders:?}");
    let dry = orders.iter().filter(|order| order.body["zone"] == "dc-2");
    let dry: Vec<Instant> = dry.map(|order| order.at).collect();
    assert!(!dry.is_empty(), "dc-2 has fewer than one endpoint");
    assert!(
        dry.windows(2)
            .all(|pair| pair[1] - pair[0] >= Duration::from_millis(4_500)),
        "dc-2 is asked again too soon"
    );
    let logs: String = fleet.vms.iter().map(crate::fleet::Vm::log_text).collect();
    let logged = logs.matches("\"endpoints ordered\"").count();
    assert_eq!(logged, orders.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_ordered_for_services_that_are_not_scaled() {
    let api = Api::default();
    let fleet = start(&api, None).await;
    fleet.submit_batch(0, "b1", SAMPLES, 1).await;
    fleet.read_all_results(1, "b1", SAMPLES).await;
    let logs: String = fleet.vms.iter().map(crate::fleet::Vm::log_text).collect();
    assert!(logs.contains("duties won"), "no VM holds the duties");
    assert!(api.orders().is_empty(), "{:?}", api.orders());
}
