//! Measures the cost of the request path. One run alternates between requests
//! through the daemons and the same requests sent directly to the endpoint.

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use chicoryreach::{
    daemon::HttpClient,
    wire::callers::{IDEMPOTENT_HEADER, REQUEST_ID_HEADER, TICKET_HEADER},
};
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Method, Request};
use serde::Serialize;
use serde_json::Value;
use strum::{Display, IntoStaticStr};
use tokio::task::JoinSet;

use crate::{
    caller::fetch_addresses,
    drive::{apply_config, wait_for_daemons},
    service::Service,
};

const CALL_TIMEOUT_MS: u64 = 5_000;
const BODY: &str = "hotel=wawel room=304 items=water-small:2,cola:1";
/// The largest number of requests that one run may send.
const MAX_REQUESTS: u64 = 100_000;

/// The settings of the measurement.
#[derive(Clone, Debug)]
pub struct PathSettings {
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The number of daemons to wait for.
    pub daemons: usize,
    /// The configuration to submit first.
    pub config: Value,
    /// The request rates per second, one round for each.
    pub rates: Vec<u64>,
    /// The length of one slice of a round, in milliseconds.
    pub slice_ms: u64,
    /// The number of slices of each request path in a round.
    pub slices: u64,
    /// The label of the run in the output.
    pub label: String,
}

impl PathSettings {
    /// Reads the files of a world and sets rates up to the planned peak.
    ///
    /// # Errors
    ///
    /// Returns a message that names the file that cannot be read or parsed.
    pub fn try_read(dir: &Path, daemons: usize, label: String) -> Result<Self, String> {
        let read = |name: &str| {
            let text = fs::read_to_string(dir.join(name));
            text.map_err(|error| format!("cannot read {name} in {}: {error}", dir.display()))
        };
        let platform = read("platform")?.parse();
        let config = serde_json::from_str(&read("config.json")?);
        Ok(Self {
            platform: platform.map_err(|error| format!("invalid platform address: {error}"))?,
            daemons,
            config: config.map_err(|error| format!("invalid config.json: {error}"))?,
            rates: vec![100, 400, 1_300],
            slice_ms: 2_000,
            slices: 3,
            label,
        })
    }
}

/// The path that requests take.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RequestPath {
    /// Directly to the endpoint.
    Direct,
    /// Through a daemon, as an idempotent call.
    Path,
    /// Through a daemon, as a call that may run only once.
    PathOnce,
}

const REQUEST_PATHS: [RequestPath; 3] = [
    RequestPath::Direct,
    RequestPath::Path,
    RequestPath::PathOnce,
];

/// One line of the output: the results for one rate and request path.
#[derive(Clone, Debug, Serialize)]
struct ResultLine {
    label: String,
    way: RequestPath,
    wanted_per_s: u64,
    sent: u64,
    failed: u64,
    answered_per_s: u64,
    p50_us: u64,
    p99_us: u64,
    max_us: u64,
}

/// The addresses that receive requests in turn, each with its ticket.
type Targets = Arc<Vec<(SocketAddr, String)>>;

/// Measures and prints one JSON line for each rate and request path.
///
/// # Errors
///
/// Returns a message if the run would send too many requests or cannot start.
pub async fn bench_path(settings: PathSettings) -> Result<(), String> {
    const START_TIMEOUT_MS: u64 = 30_000;
    let path_count = REQUEST_PATHS.len() as u64;
    let total_rate: u64 = settings.rates.iter().sum();
    let requests = total_rate * settings.slice_ms * settings.slices * path_count / 1_000;
    if requests > MAX_REQUESTS {
        return Err(format!(
            "the run would send {requests} requests; the limit is {MAX_REQUESTS}"
        ));
    }
    let deadline = Instant::now() + Duration::from_millis(START_TIMEOUT_MS);
    let (services, config) = start_services(settings.config.clone()).await?;
    let daemons = wait_for_daemons(settings.platform, settings.daemons, deadline).await?;
    apply_config(&daemons, config, deadline).await?;
    let http = HttpClient::new();
    let daemon_targets = loop {
        let listed = fetch_addresses(&http, daemons[0].caller_address).await;
        let entries = listed.map_err(|error| error.to_string())?.entries;
        if entries.len() == settings.daemons {
            let entries = entries.iter();
            break entries
                .map(|entry| (entry.address, entry.ticket.to_string()))
                .collect();
        }
        if Instant::now() >= deadline {
            return Err(format!(
                "a daemon does not list all {} daemons in time",
                settings.daemons
            ));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let endpoint_targets = services
        .iter()
        .map(|service| (service.address, String::new()))
        .collect();
    let (daemon_targets, endpoint_targets): (Targets, Targets) =
        (Arc::new(daemon_targets), Arc::new(endpoint_targets));
    for rate in &settings.rates {
        let mut rounds = REQUEST_PATHS.map(|path| (path, Round::new(), 0));
        for slice in 0..settings.slices {
            for (path, round, ran_ms) in &mut rounds {
                let targets = if *path == RequestPath::Direct {
                    &endpoint_targets
                } else {
                    &daemon_targets
                };
                let started = Instant::now();
                round
                    .run(&http, *path, targets, *rate, settings.slice_ms, slice)
                    .await;
                *ran_ms += started.elapsed().as_millis();
            }
        }
        for (path, round, ran_ms) in rounds {
            let ran_ms = u64::try_from(ran_ms).unwrap_or(u64::MAX);
            let line = round.result_line(&settings.label, path, *rate, ran_ms);
            println!("{}", serde_json::to_string(&line).unwrap_or_default());
        }
    }
    Ok(())
}

/// Starts endpoints that answer immediately and replaces those of the
/// configuration with them, so that only the request path is measured.
async fn start_services(mut config: Value) -> Result<(Vec<Service>, Value), String> {
    let endpoints = config["services"]["slip-api"]["endpoints"].as_object_mut();
    let endpoints = endpoints.ok_or("the configuration has no endpoints of service slip-api")?;
    let mut services = Vec::new();
    for endpoint in endpoints.values_mut() {
        let service = Service::try_start(0)
            .await
            .map_err(|error| format!("cannot start a service: {error}"))?;
        endpoint["address"] = Value::from(service.address.to_string());
        services.push(service);
    }
    Ok((services, config))
}

/// The results for one rate and request path.
struct Round {
    latencies_us: Histogram<u64>,
    sent: u64,
    failed: u64,
}

impl Round {
    fn new() -> Self {
        const MAX_US: u64 = 10_000_000;
        Self {
            latencies_us: Histogram::new_with_bounds(1, MAX_US, 3).expect("the bounds are valid"),
            sent: 0,
            failed: 0,
        }
    }

    /// Sends requests at a fixed rate, independent of the answers.
    async fn run(
        &mut self,
        http: &HttpClient,
        path: RequestPath,
        targets: &Targets,
        rate: u64,
        slice_ms: u64,
        slice: u64,
    ) {
        let started = Instant::now();
        let mut running = JoinSet::new();
        for number in 0..rate * slice_ms / 1_000 {
            let send_at = started + Duration::from_micros(number * 1_000_000 / rate);
            tokio::time::sleep_until(send_at.into()).await;
            let (http, targets) = (http.clone(), targets.clone());
            let id = format!("{path}-{rate}-{slice}-{number}");
            running.spawn(async move {
                let started = Instant::now();
                let target = usize::try_from(number).unwrap_or_default() % targets.len();
                let is_answered = send(&http, path, &targets[target], &id).await;
                (is_answered, started.elapsed())
            });
            self.sent += 1;
        }
        while let Some(finished) = running.join_next().await {
            let Ok((true, latency)) = finished else {
                self.failed += 1;
                continue;
            };
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.latencies_us.saturating_record(latency_us);
        }
    }

    fn result_line(&self, label: &str, path: RequestPath, rate: u64, ran_ms: u64) -> ResultLine {
        ResultLine {
            label: label.to_owned(),
            way: path,
            wanted_per_s: rate,
            sent: self.sent,
            failed: self.failed,
            answered_per_s: (self.sent - self.failed) * 1_000 / ran_ms.max(1),
            p50_us: self.latencies_us.value_at_quantile(0.5),
            p99_us: self.latencies_us.value_at_quantile(0.99),
            max_us: self.latencies_us.max(),
        }
    }
}

/// Sends one request and returns whether it was answered.
async fn send(
    http: &HttpClient,
    path: RequestPath,
    target: &(SocketAddr, String),
    id: &str,
) -> bool {
    let (address, ticket) = target;
    let uri_path = match path {
        RequestPath::Direct => "/restock",
        RequestPath::Path | RequestPath::PathOnce => "/services/slip-api/restock",
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{uri_path}"))
        .header(REQUEST_ID_HEADER, id)
        .header(
            IDEMPOTENT_HEADER,
            (path != RequestPath::PathOnce).to_string(),
        )
        .header(TICKET_HEADER, ticket)
        .body(Full::new(BODY.into()));
    let Ok(request) = request else { return false };
    http.exchange(*address, request, CALL_TIMEOUT_MS)
        .await
        .is_ok()
}
