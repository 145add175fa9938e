use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path};

use chicoryreach::{daemon::HttpClient, wire::operators::Status};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

const TIMEOUT_MS: u64 = 5_000;

/// Counters of one daemon, by name.
pub(super) type Counters = BTreeMap<String, f64>;

/// What one daemon has used so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    pub(super) cpu_ms: f64,
    pub(super) peak_mb: f64,
    pub(super) counters: Counters,
}

/// Reads what a daemon's process has used, and its own counters.
pub(super) async fn usage(control: SocketAddr, pid: u32) -> Result<Usage, String> {
    let text = metrics(control).await?;
    Ok(Usage {
        cpu_ms: cpu_ms(pid)?,
        peak_mb: peak_mb(pid)?,
        counters: counters(&text),
    })
}

/// Returns the processor time of all threads of a process.
fn cpu_ms(pid: u32) -> Result<f64, String> {
    const NS_PER_MS: f64 = 1e6;
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).map_err(|error| error.to_string())?;
    let mut total_ns = 0.0;
    for task in tasks {
        let path = task.map_err(|error| error.to_string())?.path();
        // A thread may end meanwhile; threads of the runtime do not.
        let text = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let first = text.split_whitespace().next();
        total_ns += first.and_then(|ns| ns.parse().ok()).unwrap_or(0.0);
    }
    Ok(total_ns / NS_PER_MS)
}

fn peak_mb(pid: u32) -> Result<f64, String> {
    const KB_PER_MB: f64 = 1_024.0;
    let text =
        fs::read_to_string(format!("/proc/{pid}/status")).map_err(|error| error.to_string())?;
    let line = text.lines().find(|line| line.starts_with("VmHWM:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    let kb: f64 = kb.and_then(|kb| kb.parse().ok()).ok_or("no VmHWM")?;
    Ok(kb / KB_PER_MB)
}

/// Returns the machine's load over the last minute.
pub(super) fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|load| load.parse().ok()).unwrap_or(-1.0)
}

async fn metrics(control: SocketAddr) -> Result<String, String> {
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http::<http_body_util::Empty<bytes::Bytes>>();
    let uri = format!("http://{control}/metrics")
        .parse()
        .map_err(|_| "a bad address".to_owned())?;
    let response = client.get(uri).await.map_err(|error| error.to_string())?;
    let body = http_body_util::BodyExt::collect(response.into_body())
        .await
        .map_err(|error| error.to_string())?;
    String::from_utf8(body.to_bytes().to_vec()).map_err(|error| error.to_string())
}

/// Reads counters and gauges; labels stay part of the name.
fn counters(text: &str) -> Counters {
    text.lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            let name = name.trim_start_matches("chicoryreach_");
            Some((name.to_owned(), value.parse().ok()?))
        })
        .collect()
}

/// Returns the configuration's number at a daemon; 0 if it does not answer.
pub(super) async fn config_number(control: SocketAddr) -> u64 {
    let text = metrics(control).await.unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("chicoryreach_config_number "));
    line.and_then(|number| number.parse().ok())
        .unwrap_or_default()
}

/// Returns what a daemon knows.
pub(super) async fn status(http: &HttpClient, control: SocketAddr) -> Option<Status> {
    http.get_json(control, "/operator/status", TIMEOUT_MS)
        .await
        .ok()
}

/// Submits a patch.
pub(super) async fn submit(
    http: &HttpClient,
    control: SocketAddr,
    patch: &Value,
) -> Result<Value, String> {
    http.post_json(control, "/operator/patch", patch, TIMEOUT_MS)
        .await
        .map_err(|error| error.to_string())
}

/// Reads the process id that the script wrote for a daemon.
pub(super) fn pid(dir: &Path, vm: &str) -> Result<u32, String> {
    let path = dir.join(format!("{vm}.pid"));
    let text = fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    text.trim().parse().map_err(|_| "not a pid".to_owned())
}

/// Ends a daemon at once.
pub(super) fn kill(pid: u32) -> Result<(), String> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
    let pid = pid.ok_or("not a pid")?;
    kill_process(pid, Signal::KILL).map_err(|error| error.to_string())
}
