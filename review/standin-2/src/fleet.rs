//! Starts `serve` processes of the project with a store and samplers, and acts as the
//! platform that kills a process over its memory and starts it again.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use standins::fleet::{OBJECT_BYTES, ROW_BYTES, Sampler, SamplerSettings, StoreServer};

use crate::client::exchange;

/// The program that the build of the deploy file makes.
const PROGRAM: &str = "target/release/chicoryreach";
pub const HOST: &str = "rollouts.example";
/// The deadline of the trainers of the sheets.
const CLIENT_PATIENCE: Duration = Duration::from_secs(12);
const POLL: Duration = Duration::from_millis(20);
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub const SAMPLER_SETTINGS: SamplerSettings = SamplerSettings {
    events: 6,
    event_ms: 20,
    padding_bytes: 0,
    work_ms: 20,
    load_ms: 200,
};

pub struct Vm {
    pub name: String,
    pub addresses: BTreeMap<String, SocketAddr>,
    pub child: Child,
    log: PathBuf,
}

/// What the platform gives a machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub store_address: SocketAddr,
    pub memory_mb: u64,
}

pub struct Fleet {
    pub store: StoreServer,
    pub model_samplers: Vec<Sampler>,
    pub plain_samplers: Vec<Sampler>,
    pub machines: Vec<Machine>,
    pub vms: Vec<Vm>,
    starts: usize,
    dir: PathBuf,
}

pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

impl Fleet {
    /// Starts a store and samplers, but no VM.
    pub async fn new(
        vms: usize,
        memory_mb: u64,
        config: &Value,
        settings: SamplerSettings,
    ) -> Self {
        let store = StoreServer::try_start(vms).await.expect("the store starts");
        let text = STANDARD.encode(config.to_string());
        store.with_store(|rows| rows.put("op", "config", text));
        let (mut model_samplers, mut plain_samplers) = (Vec::new(), Vec::new());
        for number in 0..3 {
            let id = format!("i-model-{number}");
            let model = Sampler::try_start(&id, "lm", Some("advice"), settings, &store);
            model_samplers.push(model.expect("a sampler starts"));
            let id = format!("i-plain-{number}");
            let plain = Sampler::try_start(&id, "slips", None, settings, &store);
            plain_samplers.push(plain.expect("a sampler starts"));
        }
        let port = store.addresses[0].port();
        let dir = std::env::temp_dir().join(format!("review-2-{}-{port}", std::process::id()));
        fs::create_dir_all(&dir).expect("the folder is made");
        let machine = |address: &SocketAddr| Machine {
            store_address: *address,
            memory_mb,
        };
        Self {
            machines: store.addresses.iter().map(machine).collect(),
            store,
            model_samplers,
            plain_samplers,
            vms: Vec::new(),
            starts: 0,
            dir,
        }
    }

    /// Starts all VMs and waits until they are ready and know each other.
    pub async fn start_vms(&mut self) {
        for number in 0..self.machines.len() {
            let vm = self.spawn(number).await;
            self.vms.push(vm);
        }
        for number in 0..self.vms.len() {
            self.wait_until_ready(number).await;
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }

    pub async fn restart(&mut self, number: usize) {
        let _ = self.vms[number].child.wait();
        self.vms[number] = self.spawn(number).await;
    }

    async fn spawn(&mut self, number: usize) -> Vm {
        self.starts += 1;
        let name = format!("vm-{number}");
        let machine = self.machines[number].clone();
        let any = "127.0.0.1:0";
        let seeds: Vec<SocketAddr> = self.vms.iter().map(|vm| vm.addresses["peers"]).collect();
        let settings = json!({
            "vm": name, "data_centre": "dc-1", "caller_address": any,
            "readiness_address": any, "directory_address": any, "peer_address": any,
            "seed_addresses": seeds, "metrics_address": any,
            "store_address": machine.store_address, "row_bytes": ROW_BYTES,
            "object_bytes": OBJECT_BYTES, "memory_mb": machine.memory_mb, "cpu_share": 0.5,
            "keep_addresses_s": 2, "keep_batches_ms": 120_000, "stop_grace_s": 8,
            "order_gap_ms": 3_000,
        });
        let file = self.dir.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("the settings are written");
        let log = self.dir.join(format!("{name}-{}.log", self.starts));
        let child = Command::new(PROGRAM)
            .args(["serve", "--settings"])
            .arg(&file)
            .stdout(Stdio::from(File::create(&log).expect("the log is made")))
            .spawn()
            .expect("the VM starts");
        let mut vm = Vm {
            name,
            addresses: BTreeMap::new(),
            child,
            log,
        };
        let deadline = Instant::now() + START_TIMEOUT;
        while vm.addresses.is_empty() {
            assert!(Instant::now() < deadline, "{} logged no addresses", vm.name);
            tokio::time::sleep(POLL).await;
            vm.addresses = vm.read_addresses();
        }
        vm
    }

    pub async fn wait_until_ready(&self, number: usize) {
        let deadline = Instant::now() + START_TIMEOUT;
        while !self.is_ready(number).await
            || !self.vms[number].log_text().contains("endpoints read")
        {
            assert!(Instant::now() < deadline, "VM {number} is not ready");
            tokio::time::sleep(POLL).await;
        }
    }

    pub async fn is_ready(&self, number: usize) -> bool {
        let address = self.vms[number].addresses["readiness"];
        matches!(self.get(address, "/v1/ready", "ready").await, Some(a) if a.status == 200)
    }

    pub fn callers(&self, number: usize) -> SocketAddr {
        self.vms[number].addresses["callers"]
    }

    pub async fn call(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        id: &str,
        body: Bytes,
    ) -> Option<Answer> {
        call(method, to, path, id, body).await
    }

    pub async fn get(&self, to: SocketAddr, path: &str, id: &str) -> Option<Answer> {
        self.call(Method::GET, to, path, id, Bytes::new()).await
    }

    /// Sends a request to a VM; returns the status of its answer, 0 if there is none.
    pub async fn status(
        &self,
        method: Method,
        number: usize,
        path: &str,
        id: &str,
        body: Bytes,
    ) -> u16 {
        let answer = self
            .call(method, self.callers(number), path, id, body)
            .await;
        answer.map_or(0, |answer| answer.status)
    }

    pub fn signal(&self, number: usize, signal: Signal) {
        let id = i32::try_from(self.vms[number].child.id()).expect("an id");
        let pid = Pid::from_raw(id).expect("a process");
        let _ = kill_process(pid, signal);
    }
}

/// Sends a request as a client does; returns `None` if there is no complete answer in time.
pub async fn call(
    method: Method,
    to: SocketAddr,
    path: &str,
    id: &str,
    body: Bytes,
) -> Option<Answer> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", CLIENT_PATIENCE.as_millis().to_string())
        .body(Full::new(body))
        .expect("the request is valid");
    let answer = tokio::time::timeout(CLIENT_PATIENCE, exchange(to, request)).await;
    let (parts, body) = answer.ok()??;
    Some(Answer {
        status: parts.status.as_u16(),
        body,
    })
}

impl Vm {
    fn status_kb(&self, field: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(field))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// The memory that the process has in use now, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.status_kb("VmRSS:").unwrap_or(0) * 1_024
    }

    /// The most memory that the process has had in use so far, in bytes.
    pub fn peak_bytes(&self) -> u64 {
        self.status_kb("VmHWM:").unwrap_or(0) * 1_024
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn read_addresses(&self) -> BTreeMap<String, SocketAddr> {
        let text = self.log_text();
        let mut lines = text
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let Some(start) = lines.find(|line| line["message"] == "start") else {
            return BTreeMap::new();
        };
        let address = |name: &str| start[name].as_str().and_then(|text| text.parse().ok());
        ["callers", "readiness", "directory", "peers", "metrics"]
            .into_iter()
            .filter_map(|name| Some((name.to_owned(), address(name)?)))
            .collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            let _ = vm.child.kill();
            let _ = vm.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            eprintln!("logs: {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// The configuration of a small deployment, as `fleetbench wire` prints it.
pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            {"name": "slips", "host": HOST, "prefix": "/slips/", "kind": "safe",
             "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2,
             "service": "slips", "attempts": 4},
            {"name": "lots", "host": HOST, "prefix": "/lots/", "kind": "rollout",
             "timeout_ms": 10_000, "target_latency_ms": 400, "priority": 1, "service": "lm",
             "attempts": 3, "queue_ttl_s": 120.0, "run_target_ms": 7500, "resumable": true}
        ],
        "services": [
            {"name": "lm", "health_path": "/health", "max_conns": 170,
             "engine": {"slots": 12, "models": [{"name": "advice"}]}},
            {"name": "slips", "health_path": "/health", "max_conns": 110}
        ],
        "limits": {"header_bytes": 16384, "body_bytes": 33_554_432, "header_ms": 3000,
                   "idle_ms": 15_000}
    })
}

/// A batch job of `items` items whose bodies have `body_bytes` each.
pub fn batch_body(batch: &str, items: usize, body_bytes: usize) -> Value {
    let body = STANDARD.encode("x".repeat(body_bytes));
    let items: Vec<Value> = (0..items)
        .map(|number| {
            json!({
                "id": format!("{batch}-s{number}"), "path": format!("/lots/run/{number}"),
                "headers": {"X-Model": "advice", "X-Token-Counts": "16,400"},
                "body": body, "tokens": 416, "group": format!("g{}", number / 8),
                "scorer": {"id": format!("{batch}-score{number}"), "host": HOST,
                           "path": "/slips/score", "body": STANDARD.encode("text")}
            })
        })
        .collect();
    json!({"step": 0, "model": "advice", "min_version": 1, "target_groups": 1,
           "requests": items})
}
