//! Real `serve` processes between a store and samplers that speak the
//! platform's protocol and run in the test's process.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::{self, File},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use chicoryreach::daemon::{HttpClient, HttpError};
use http_body_util::Full;
use hyper::{Method, Request};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use standins::fleet::{Sampler, SamplerSettings, StoreServer};

/// How long a test waits for something that it observes.
pub const PATIENCE: Duration = Duration::from_mins(1);
const LOOK: Duration = Duration::from_millis(20);
/// How long one call may take, in milliseconds.
const CALL_MS: u64 = 8_000;
/// The host of all routes.
pub const HOST: &str = "rollouts.example";

/// One VM's process and where it listens.
pub struct Vm {
    pub name: String,
    pub addresses: BTreeMap<String, SocketAddr>,
    child: Child,
    log: PathBuf,
}

/// VMs, and what stands around them.
pub struct Fleet {
    pub store: StoreServer,
    pub models: Vec<Sampler>,
    pub plain: Vec<Sampler>,
    pub vms: Vec<Vm>,
    /// Where each VM reaches the store.
    pub store_addresses: Vec<SocketAddr>,
    /// The logs outlive the value.
    pub keeps_logs: bool,
    /// How many processes were started.
    starts: usize,
    http: HttpClient,
    dir: PathBuf,
}

/// An answer: status, headers that matter, body.
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

/// What samplers do where a test wants nothing else.
pub const SAMPLERS: SamplerSettings = SamplerSettings {
    events: 6,
    event_ms: 20,
    work_ms: 20,
    load_ms: 200,
};

impl Fleet {
    /// Starts a store, samplers and VMs, and waits until all VMs are ready.
    pub async fn start(vms: usize, samplers: SamplerSettings) -> Self {
        let mut fleet = Self::prepare(vms, samplers).await;
        fleet.start_vms(vms).await;
        fleet
    }

    /// Starts a store and samplers, and no VM yet.
    pub async fn prepare(vms: usize, samplers: SamplerSettings) -> Self {
        let store = StoreServer::try_start(vms).await.expect("the store starts");
        store.with_store(|store| store.put("op", "config", STANDARD.encode(config(1).to_string())));
        let mut models = Vec::new();
        let mut plain = Vec::new();
        for number in 0..3 {
            let id = format!("i-model-{number}");
            let model = Sampler::try_start(&id, "lm", Some("advice"), samplers, &store).await;
            models.push(model.expect("a sampler starts"));
            let id = format!("i-plain-{number}");
            let sampler = Sampler::try_start(&id, "slips", None, samplers, &store).await;
            plain.push(sampler.expect("a sampler starts"));
        }
        let dir = format!(
            "chicoryreach-fleet-{}-{}",
            std::process::id(),
            store.addresses[0].port()
        );
        let dir = std::env::temp_dir().join(dir);
        fs::create_dir_all(&dir).expect("the folder is made");
        Self {
            store_addresses: store.addresses.clone(),
            store,
            models,
            plain,
            vms: Vec::new(),
            keeps_logs: false,
            starts: 0,
            http: HttpClient::new(),
            dir,
        }
    }

    /// Starts VMs, and waits until all are ready.
    pub async fn start_vms(&mut self, vms: usize) {
        for number in 0..vms {
            let vm = self.spawn(number).await;
            self.vms.push(vm);
        }
        for number in 0..vms {
            self.wait_until_ready(number).await;
        }
    }

    /// Starts a VM again whose process has ended.
    pub async fn restart(&mut self, number: usize) {
        self.vms[number] = self.spawn(number).await;
    }

    async fn spawn(&mut self, number: usize) -> Vm {
        self.starts += 1;
        let name = format!("vm-{number}");
        let any = "127.0.0.1:0";
        let seeds: Vec<SocketAddr> = self.vms.iter().map(|vm| vm.addresses["peers"]).collect();
        let settings = json!({
            "vm": name, "data_centre": "dc-1", "caller_address": any,
            "readiness_address": any, "directory_address": any, "peer_address": any,
            "seed_addresses": seeds, "metrics_address": any,
            "store_address": self.store_addresses[number], "cpu_share": 0.5,
            "keep_addresses_s": 2, "keep_batches_ms": 120_000, "stop_grace_s": 4.0,
            "order_gap_ms": 500,
        });
        let file = self.dir.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("the settings are written");
        let log = self.dir.join(format!("{name}-{}.log", self.starts));
        let output = File::create(&log).expect("the log is made");
        let child = Command::new(env!("CARGO_BIN_EXE_chicoryreach"))
            .args(["serve", "--settings"])
            .arg(&file)
            .stdout(Stdio::from(output))
            .spawn()
            .expect("the VM starts");
        let mut vm = Vm {
            name,
            addresses: BTreeMap::new(),
            child,
            log,
        };
        let deadline = Instant::now() + PATIENCE;
        while vm.addresses.is_empty() {
            assert!(Instant::now() < deadline, "{} did not start", vm.name);
            tokio::time::sleep(LOOK).await;
            vm.addresses = vm.read_addresses();
        }
        vm
    }

    async fn wait_until_ready(&self, number: usize) {
        let address = self.vms[number].addresses["readiness"];
        let deadline = Instant::now() + PATIENCE;
        while !matches!(self.get(address, "/v1/ready", "ready").await, Some(a) if a.status == 200) {
            assert!(Instant::now() < deadline, "VM {number} is not ready");
            tokio::time::sleep(LOOK).await;
        }
        // Followed from here on: samplers and other VMs.
        let vm = &self.vms[number];
        while !vm.log_text().contains("endpoints read") {
            assert!(Instant::now() < deadline, "VM {number} knows no endpoint");
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Sends a request to a VM; none where the answer was not whole.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        id: &str,
        body: Bytes,
    ) -> Option<Answer> {
        call(&self.http, method, address, path, id, body).await
    }

    /// Sends a request without a body.
    pub async fn get(&self, address: SocketAddr, path: &str, id: &str) -> Option<Answer> {
        self.call(Method::GET, address, path, id, Bytes::new())
            .await
    }

    /// Hands a batch of samples in at a VM until it is accepted.
    pub async fn hand_in(&self, number: usize, batch: &str, samples: usize, least: u64) {
        let body = Bytes::from(batch_body(batch, samples, least).to_string());
        let address = self.vms[number].addresses["callers"];
        let deadline = Instant::now() + PATIENCE;
        loop {
            let path = format!("/lots/{batch}");
            let answer = self
                .call(Method::POST, address, &path, batch, body.clone())
                .await;
            match answer {
                Some(answer) if answer.status == 202 || answer.status == 200 => return,
                _ => tokio::time::sleep(LOOK).await,
            }
            assert!(Instant::now() < deadline, "the batch is not accepted");
        }
    }

    /// Reads a batch at a VM until all is listed.
    pub async fn read_all(&self, number: usize, batch: &str, samples: usize) -> Vec<Value> {
        let address = self.vms[number].addresses["callers"];
        let deadline = Instant::now() + PATIENCE;
        let mut results: Vec<Value> = Vec::new();
        while results.len() < samples {
            assert!(
                Instant::now() < deadline,
                "only {} are listed",
                results.len()
            );
            let path = format!("/v1/lots/{batch}?after={}", results.len());
            let answer = self.get(address, &path, "reader").await;
            if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                let page: Value = serde_json::from_slice(&answer.body).expect("JSON");
                assert_eq!(page["total"], samples);
                results.extend(page["results"].as_array().expect("a list").iter().cloned());
            }
            tokio::time::sleep(LOOK).await;
        }
        results
    }

    /// Fails unless every sample stands once, whole and scored by its own call.
    pub fn check_whole(&self, batch: &str, results: &[Value], samples: usize, events: u64) {
        let ids: BTreeSet<&str> = results.iter().filter_map(|r| r["id"].as_str()).collect();
        assert_eq!(ids.len(), samples, "each sample stands once");
        for result in results {
            let id = result["id"].as_str().expect("an id");
            assert!(id.starts_with(batch));
            assert_eq!(result["state"], "done", "{id}");
            let data: Vec<String> = (1..=events).map(|n| format!("{id} event {n}")).collect();
            assert_eq!(result["text"], data.join("\n"));
            assert_eq!(result["versions"], json!([1]));
            let call = id.replace("-s", "-score");
            let stamps = self.plain.iter();
            let mut stamps = stamps.map(|sampler| format!("stamp-{}-{call}", sampler.id));
            let score = result["score"].as_str().expect("a score");
            assert!(stamps.any(|stamp| stamp == score), "{score}");
        }
    }

    /// Returns the ids of all runs of samples so far.
    pub fn sample_runs(&self) -> Vec<String> {
        self.models.iter().flat_map(Sampler::runs).collect()
    }

    /// Sends a signal to a VM's process.
    pub fn signal(&self, number: usize, signal: Signal) {
        assert!(self.try_signal(number, signal), "the process has ended");
    }

    /// Sends a signal to a VM's process, unless it has ended.
    pub fn try_signal(&self, number: usize, signal: Signal) -> bool {
        let id = i32::try_from(self.vms[number].child.id()).expect("an id");
        let pid = Pid::from_raw(id).expect("a process");
        kill_process(pid, signal).is_ok()
    }

    /// Returns whether a VM's process still runs.
    pub fn is_running(&mut self, number: usize) -> bool {
        let child = &mut self.vms[number].child;
        child.try_wait().expect("it is our child").is_none()
    }
}

impl Vm {
    /// Returns what the VM has logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn read_addresses(&self) -> BTreeMap<String, SocketAddr> {
        let text = self.log_text();
        let mut lines = text
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let start = lines.find(|line| line["message"] == "start");
        let doors = ["callers", "readiness", "directory", "peers", "metrics"];
        let Some(start) = start else {
            return BTreeMap::new();
        };
        let address = |door: &str| start[door].as_str().and_then(|text| text.parse().ok());
        doors
            .into_iter()
            .filter_map(|door| Some((door.to_owned(), address(door)?)))
            .collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            // It may have ended by itself.
            let _ = vm.child.kill();
            let _ = vm.child.wait();
        }
        if self.keeps_logs {
            println!("logs: {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Sends a request; none where the answer was not whole.
pub async fn call(
    http: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    id: &str,
    body: Bytes,
) -> Option<Answer> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", "5000")
        .body(Full::new(body))
        .expect("the request is valid");
    match http.exchange(address, request, CALL_MS).await {
        Ok(body) => Some(Answer { status: 200, body }),
        Err(HttpError::Status(status, body)) => Some(Answer {
            status: status.as_u16(),
            body,
        }),
        Err(_) => None,
    }
}

/// Returns a configuration with a plain route and one for batches.
pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            {"name": "slips", "host": HOST, "prefix": "/slips/", "kind": "safe",
             "timeout_ms": 2000, "target_latency_ms": 150, "priority": 2,
             "service": "slips", "attempts": 3},
            {"name": "lots", "host": HOST, "prefix": "/lots/", "kind": "rollout",
             "timeout_ms": 10_000, "target_latency_ms": 400, "priority": 1, "service": "lm",
             "attempts": 3, "queue_ttl_s": 40.0, "run_target_ms": 7500, "resumable": true}
        ],
        "services": [
            {"name": "lm", "health_path": "/health", "max_conns": 100,
             "engine": {"slots": 8, "models": [{"name": "advice"}]}},
            {"name": "slips", "health_path": "/health", "max_conns": 100}
        ],
        "limits": {"header_bytes": 16384, "body_bytes": 1_000_000, "header_ms": 3000,
                   "idle_ms": 15_000}
    })
}

/// Returns a batch as a trainer hands it in.
pub fn batch_body(batch: &str, samples: usize, least: u64) -> Value {
    let samples: Vec<Value> = (0..samples)
        .map(|number| {
            json!({
                "id": format!("{batch}-s{number}"), "path": format!("/lots/run/{number}"),
                "headers": {"X-Model": "advice", "X-Token-Counts": "16,400"},
                "body": STANDARD.encode(format!("prompt {number}")), "tokens": 416,
                "group": format!("g{}", number / 4),
                "scorer": {"id": format!("{batch}-score{number}"), "host": HOST,
                           "path": "/slips/score", "body": STANDARD.encode("text")}
            })
        })
        .collect();
    json!({"step": 0, "model": "advice", "min_version": least, "target_groups": 1,
           "requests": samples})
}
