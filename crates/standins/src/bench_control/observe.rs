use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path};

use chicoryreach::{daemon::HttpClient, wire::operators::Status};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

const CALL_TIMEOUT_MS: u64 = 5_000;

/// The counters and gauges of one daemon, by name.
pub(super) type Counters = BTreeMap<String, f64>;

/// The resources that one daemon has used so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    pub(super) cpu_ms: f64,
    pub(super) peak_mb: f64,
    pub(super) counters: Counters,
}

/// Reads the resource usage of a daemon's process and the daemon's counters.
pub(super) async fn read_usage(control_address: SocketAddr, pid: u32) -> Result<Usage, String> {
    let text = fetch_metrics(control_address).await?;
    Ok(Usage {
        cpu_ms: read_cpu_ms(pid)?,
        peak_mb: read_peak_mb(pid)?,
        counters: parse_counters(&text),
    })
}

/// Returns the CPU time of all threads of a process.
fn read_cpu_ms(pid: u32) -> Result<f64, String> {
    const NS_PER_MS: f64 = 1e6;
    let tasks = fs::read_dir(format!("/proc/{pid}/task"))
        .map_err(|error| format!("cannot list the threads of process {pid}: {error}"))?;
    let mut total_ns = 0.0;
    for task in tasks {
        let path = task
            .map_err(|error| format!("cannot list the threads of process {pid}: {error}"))?
            .path();
        // A thread may end in the meantime and then counts as zero. The threads
        // of the runtime do not end.
        let text = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let first = text.split_whitespace().next();
        total_ns += first.and_then(|ns| ns.parse().ok()).unwrap_or(0.0);
    }
    Ok(total_ns / NS_PER_MS)
}

/// Returns the peak resident memory of a process.
fn read_peak_mb(pid: u32) -> Result<f64, String> {
    const KB_PER_MB: f64 = 1_024.0;
    let text = fs::read_to_string(format!("/proc/{pid}/status"))
        .map_err(|error| format!("cannot read the status of process {pid}: {error}"))?;
    let line = text.lines().find(|line| line.starts_with("VmHWM:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    let kb: f64 = kb
        .and_then(|kb| kb.parse().ok())
        .ok_or_else(|| format!("no VmHWM in the status of process {pid}"))?;
    Ok(kb / KB_PER_MB)
}

/// Returns the machine's load average over one minute, or -1 if it cannot be
/// read.
pub(super) fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|load| load.parse().ok()).unwrap_or(-1.0)
}

async fn fetch_metrics(control_address: SocketAddr) -> Result<String, String> {
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http::<http_body_util::Empty<bytes::Bytes>>();
    let uri = format!("http://{control_address}/metrics")
        .parse()
        .map_err(|_| format!("invalid control address {control_address}"))?;
    let response = client
        .get(uri)
        .await
        .map_err(|error| format!("cannot fetch the metrics of {control_address}: {error}"))?;
    let body = http_body_util::BodyExt::collect(response.into_body())
        .await
        .map_err(|error| format!("cannot read the metrics of {control_address}: {error}"))?;
    String::from_utf8(body.to_bytes().to_vec())
        .map_err(|error| format!("the metrics of {control_address} are not UTF-8: {error}"))
}

/// Parses counters and gauges. Labels stay part of the name.
fn parse_counters(text: &str) -> Counters {
    text.lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            let name = name.trim_start_matches("chicoryreach_");
            Some((name.to_owned(), value.parse().ok()?))
        })
        .collect()
}

/// Returns the number of the configuration in force at a daemon, or 0 if the
/// daemon does not answer.
pub(super) async fn fetch_config_number(control_address: SocketAddr) -> u64 {
    let text = fetch_metrics(control_address).await.unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("chicoryreach_config_number "));
    line.and_then(|number| number.parse().ok())
        .unwrap_or_default()
}

/// Returns a daemon's status, or `None` if the call fails.
pub(super) async fn fetch_status(http: &HttpClient, control_address: SocketAddr) -> Option<Status> {
    http.get_json(control_address, "/operator/status", CALL_TIMEOUT_MS)
        .await
        .ok()
}

/// Submits a configuration patch.
pub(super) async fn submit_patch(
    http: &HttpClient,
    control_address: SocketAddr,
    patch: &Value,
) -> Result<Value, String> {
    http.post_json(control_address, "/operator/patch", patch, CALL_TIMEOUT_MS)
        .await
        .map_err(|error| format!("cannot submit a patch to {control_address}: {error}"))
}

/// Reads the process id that the script wrote for a daemon.
pub(super) fn read_pid(dir: &Path, vm: &str) -> Result<u32, String> {
    let path = dir.join(format!("{vm}.pid"));
    let text = fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    text.trim()
        .parse()
        .map_err(|_| format!("{}: not a process id: {}", path.display(), text.trim()))
}

/// Kills a daemon's process with SIGKILL.
pub(super) fn kill_daemon(pid: u32) -> Result<(), String> {
    let process = i32::try_from(pid).ok().and_then(Pid::from_raw);
    let process = process.ok_or_else(|| format!("invalid process id {pid}"))?;
    kill_process(process, Signal::KILL)
        .map_err(|error| format!("cannot kill process {pid}: {error}"))
}
