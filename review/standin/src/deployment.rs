//! A small deployment: the platform's store, a configuration, samplers that keep their
//! entries, and `serve` processes with settings like those of the template.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use standins::fleet::{OBJECT_BYTES, ROW_BYTES, StoreServer, StoreWriter};

use crate::http::Connection;

/// The host of all routes.
pub const HOST: &str = "rollouts.example";
/// How often a sampler writes its entry, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_200;
/// The time that a process has to stop, in seconds.
pub const GRACE_S: f64 = 8.0;
/// The memory of a machine, in MB, as the sheet of emra-smt says.
pub const MEMORY_MB: u64 = 140;

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// One `serve` process.
#[derive(Debug)]
pub struct Vm {
    pub name: String,
    pub addresses: BTreeMap<String, SocketAddr>,
    child: Child,
}

impl Drop for Vm {
    fn drop(&mut self) {
        // Both may fail if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Vm {
    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("an id");
        let pid = Pid::from_raw(id).expect("a process");
        // Fails if the process has ended.
        let _ = kill_process(pid, signal);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the resident memory of the process in MB.
    #[must_use]
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024 / 1_000_000
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.addresses["callers"]
    }
}

/// Starts VMs.
#[derive(Debug)]
pub struct Starter {
    dir: PathBuf,
    count: usize,
}

impl Starter {
    /// Keeps settings and logs in a temporary folder.
    ///
    /// # Panics
    ///
    /// Panics if the folder cannot be made.
    #[must_use]
    pub fn new(case: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("the folder is made");
        Self { dir, count: 0 }
    }

    /// Starts a process and waits until it is ready.
    ///
    /// # Panics
    ///
    /// Panics if the process does not become ready.
    pub async fn start(
        &mut self,
        name: &str,
        zone: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Vm {
        self.count += 1;
        let any_port = "127.0.0.1:0";
        let settings = json!({
            "vm": name, "data_centre": zone, "caller_address": any_port,
            "readiness_address": any_port, "directory_address": any_port,
            "peer_address": any_port, "seed_addresses": seeds, "metrics_address": any_port,
            "store_address": store, "row_bytes": ROW_BYTES, "object_bytes": OBJECT_BYTES,
            "memory_mb": MEMORY_MB, "cpu_share": 0.5, "keep_addresses_s": 2,
            "keep_batches_ms": 120_000, "stop_grace_s": GRACE_S, "order_gap_ms": 3_000,
        });
        let file = self.dir.join(format!("{name}-{}.json", self.count));
        fs::write(&file, settings.to_string()).expect("the settings are written");
        let log = self.dir.join(format!("{name}-{}.log", self.count));
        let output = File::create(&log).expect("the log is made");
        let program = std::env::var_os("CHICORYREACH_PROGRAM")
            .unwrap_or_else(|| "target/release/chicoryreach".into());
        let child = Command::new(program)
            .args(["serve", "--settings"])
            .arg(&file)
            .stdout(Stdio::from(output))
            .spawn()
            .expect("the VM starts");
        let mut vm = Vm {
            name: name.to_owned(),
            addresses: BTreeMap::new(),
            child,
        };
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            assert!(Instant::now() < deadline, "{name} is not ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
            let text = fs::read_to_string(&log).unwrap_or_default();
            if vm.addresses.is_empty() {
                vm.addresses = read_addresses(&text);
            }
            // From this line on, the VM knows the samplers.
            if !vm.addresses.is_empty()
                && text.contains("endpoints read")
                && is_ready(vm.addresses["readiness"]).await
            {
                return vm;
            }
        }
    }
}

impl Drop for Starter {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs: {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn read_addresses(log: &str) -> BTreeMap<String, SocketAddr> {
    let mut lines = log
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

async fn is_ready(address: SocketAddr) -> bool {
    let check = async {
        let mut connection = Connection::open(address).await.ok()?;
        let request = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        connection.write(request.as_bytes()).await.ok()?;
        connection.read_answer().await.ok()?
    };
    check.await.is_some_and(|answer| answer.status == 200)
}

/// Writes the operator's configuration.
pub fn put_config(store: &StoreServer, version: u64, routes: Value) {
    let config = json!({
        "version": version, "routes": routes,
        "services": [
            {"name": "lm", "health_path": "/health", "max_conns": 170,
             "engine": {"slots": 12, "models": [{"name": "advice"}]}},
            {"name": "slips", "health_path": "/health", "max_conns": 110}
        ],
        "limits": {"header_bytes": 16_384, "body_bytes": 33_554_432, "header_ms": 3_000,
                   "idle_ms": 15_000}
    });
    let value = STANDARD.encode(config.to_string());
    store.with_store(|store| store.put("op", "config", value));
}

/// What a sampler writes about itself.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub software: String,
    pub slots: u32,
    pub state: String,
    pub seq: u64,
}

impl Entry {
    /// Returns the value of the sampler's row.
    #[must_use]
    pub fn value(&self) -> String {
        let entry = json!({"service": self.service, "address": self.address, "zone": self.zone,
            "slots": self.slots, "version": self.software, "state": self.state, "cold_ms": 0,
            "seq": self.seq, "born": 1_700_000_000_000_u64, "stage": "both", "models": []});
        STANDARD.encode(entry.to_string())
    }
}

/// Writes a sampler's entry each heartbeat until `is_on` is false.
pub fn keep_entry(writer: StoreWriter, entry: Entry, is_on: Arc<AtomicBool>) {
    tokio::spawn(async move {
        let mut entry = entry;
        while is_on.load(Ordering::SeqCst) {
            entry.seq += 1;
            writer.put("servers", &entry.id, entry.value());
            tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
        }
    });
}

/// Returns the path of the record in the folder that is given as the first argument.
///
/// # Panics
///
/// Panics if no folder is given.
#[must_use]
pub fn record_path() -> PathBuf {
    let folder = std::env::args()
        .nth(1)
        .expect("the folder of the case is given");
    Path::new(&folder).join("record.txt")
}
