//! The cost of the path: the same requests through the daemons and straight to
//! the endpoint, in turns, in one run.

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

const TIMEOUT_MS: u64 = 5_000;
const BODY: &str = "hotel=wawel room=304 items=water-small:2,cola:1";
/// The most requests that one run may send.
const MAX_REQUESTS: u64 = 100_000;

/// What to measure.
#[derive(Clone, Debug)]
pub struct PathSettings {
    /// The platform.
    pub platform: SocketAddr,
    /// How many daemons to wait for.
    pub daemons: usize,
    /// The configuration to submit first.
    pub config: Value,
    /// Requests a second, one round each.
    pub rates: Vec<u64>,
    /// How long one slice of a round goes on, in milliseconds.
    pub slice_ms: u64,
    /// How many slices each way has in a round.
    pub slices: u64,
    /// What the run is called in the output.
    pub label: String,
}

impl PathSettings {
    /// Reads the files of a world, and takes the rates up to the planned peak.
    ///
    /// # Errors
    ///
    /// A sentence that says which file cannot be read.
    pub fn try_read(dir: &Path, daemons: usize, label: String) -> Result<Self, String> {
        let read = |name: &str| {
            let text = fs::read_to_string(dir.join(name));
            text.map_err(|error| format!("{name}: {error}"))
        };
        let platform = read("platform")?.parse();
        let config = serde_json::from_str(&read("config.json")?);
        Ok(Self {
            platform: platform.map_err(|error| format!("platform: {error}"))?,
            daemons,
            config: config.map_err(|error| error.to_string())?,
            rates: vec![100, 400, 1_300],
            slice_ms: 2_000,
            slices: 3,
            label,
        })
    }
}

/// Which way the requests take.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Way {
    /// Straight to the endpoint.
    Direct,
    /// Through a daemon, as an idempotent call.
    Path,
    /// Through a daemon, as a call that runs once.
    PathOnce,
}

const WAYS: [Way; 3] = [Way::Direct, Way::Path, Way::PathOnce];

/// One line of the output.
#[derive(Clone, Debug, Serialize)]
struct Line {
    label: String,
    way: Way,
    wanted_per_s: u64,
    sent: u64,
    failed: u64,
    answered_per_s: u64,
    p50_us: u64,
    p99_us: u64,
    max_us: u64,
}

/// Where requests go in turn, each with its ticket.
type Targets = Arc<Vec<(SocketAddr, String)>>;

/// Measures, and prints one JSON line for each rate and way.
///
/// # Errors
///
/// A sentence if the run would be too long or cannot start.
pub async fn bench_path(settings: PathSettings) -> Result<(), String> {
    const START_MS: u64 = 30_000;
    let ways = WAYS.len() as u64;
    let per_s: u64 = settings.rates.iter().sum();
    let requests = per_s * settings.slice_ms * settings.slices * ways / 1_000;
    if requests > MAX_REQUESTS {
        return Err(format!("{requests} requests are more than {MAX_REQUESTS}"));
    }
    let deadline = Instant::now() + Duration::from_millis(START_MS);
    let (services, config) = start_services(settings.config.clone()).await?;
    let daemons = wait_for_daemons(settings.platform, settings.daemons, deadline).await?;
    apply_config(&daemons, config, deadline).await?;
    let http = HttpClient::new();
    let path = loop {
        let listed = fetch_addresses(&http, daemons[0].caller_address).await;
        let entries = listed.map_err(|error| error.to_string())?.entries;
        if entries.len() == settings.daemons {
            let entries = entries.iter();
            break entries
                .map(|entry| (entry.address, entry.ticket.to_string()))
                .collect();
        }
        if Instant::now() >= deadline {
            return Err("the daemons do not list each other".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let direct = services
        .iter()
        .map(|service| (service.address, String::new()))
        .collect();
    let (path, direct): (Targets, Targets) = (Arc::new(path), Arc::new(direct));
    for rate in &settings.rates {
        let mut rounds = WAYS.map(|way| (way, Round::new(), 0));
        for slice in 0..settings.slices {
            for (way, round, ran_ms) in &mut rounds {
                let targets = if *way == Way::Direct { &direct } else { &path };
                let started = Instant::now();
                round
                    .run(&http, *way, targets, *rate, settings.slice_ms, slice)
                    .await;
                *ran_ms += started.elapsed().as_millis();
            }
        }
        for (way, round, ran_ms) in rounds {
            let ran_ms = u64::try_from(ran_ms).unwrap_or(u64::MAX);
            let line = round.line(&settings.label, way, *rate, ran_ms);
            println!("{}", serde_json::to_string(&line).unwrap_or_default());
        }
    }
    Ok(())
}

/// Starts endpoints that answer at once, and puts them in the place of those
/// that the configuration names: what is measured is the way there.
async fn start_services(mut config: Value) -> Result<(Vec<Service>, Value), String> {
    let endpoints = config["services"]["slip-api"]["endpoints"].as_object_mut();
    let endpoints = endpoints.ok_or("the configuration has no slip-api")?;
    let mut services = Vec::new();
    for endpoint in endpoints.values_mut() {
        let service = Service::try_start(0)
            .await
            .map_err(|error| error.to_string())?;
        endpoint["address"] = Value::from(service.address.to_string());
        services.push(service);
    }
    Ok((services, config))
}

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

    /// Sends at a fixed rate, whatever the answers do.
    async fn run(
        &mut self,
        http: &HttpClient,
        way: Way,
        targets: &Targets,
        rate: u64,
        slice_ms: u64,
        slice: u64,
    ) {
        let started = Instant::now();
        let mut running = JoinSet::new();
        for number in 0..rate * slice_ms / 1_000 {
            let due = started + Duration::from_micros(number * 1_000_000 / rate);
            tokio::time::sleep_until(due.into()).await;
            let (http, targets) = (http.clone(), targets.clone());
            let id = format!("{way}-{rate}-{slice}-{number}");
            running.spawn(async move {
                let started = Instant::now();
                let target = usize::try_from(number).unwrap_or_default() % targets.len();
                let is_answered = send(&http, way, &targets[target], &id).await;
                (is_answered, started.elapsed())
            });
            self.sent += 1;
        }
        while let Some(ended) = running.join_next().await {
            let Ok((true, took)) = ended else {
                self.failed += 1;
                continue;
            };
            let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            self.latencies_us.saturating_record(took_us);
        }
    }

    fn line(&self, label: &str, way: Way, rate: u64, ran_ms: u64) -> Line {
        Line {
            label: label.to_owned(),
            way,
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

async fn send(http: &HttpClient, way: Way, target: &(SocketAddr, String), id: &str) -> bool {
    let (address, ticket) = target;
    let path = match way {
        Way::Direct => "/restock",
        Way::Path | Way::PathOnce => "/services/slip-api/restock",
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header(REQUEST_ID_HEADER, id)
        .header(IDEMPOTENT_HEADER, (way != Way::PathOnce).to_string())
        .header(TICKET_HEADER, ticket)
        .body(Full::new(BODY.into()));
    let Ok(request) = request else { return false };
    http.exchange(*address, request, TIMEOUT_MS).await.is_ok()
}
