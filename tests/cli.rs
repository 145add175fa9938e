//! Runs the command line as operators do, against real daemons where needed.

mod cluster;

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

use cluster::Cluster;
use rstest::rstest;
use serde_json::Value;
use standins::{engine::EngineSettings, world::WorldSize};

const SIZE: WorldSize = WorldSize {
    daemons: 2,
    engines: 2,
    services: 1,
    data_centres: 2,
};

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chicoryreach"));
    command.args(arguments).stdin(Stdio::null());
    command
}

fn run(arguments: &[&str]) -> Output {
    command(arguments).output().expect("the command runs")
}

/// Runs a command without blocking the runtime of the test.
async fn run_async(arguments: &[&str]) -> Output {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let run = move || run(&arguments.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(run)
        .await
        .expect("the command runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A temporary file, which is deleted when the value is dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(content: &str) -> Self {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("chicoryreach-cli-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, content).expect("the file is written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is text")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

const VALID_SETTINGS: &str = r#"{"vm": "vm-1", "data_centre": "nave-a", "caller_address": "127.0.0.1:0",
    "control_address": "127.0.0.1:0", "platform_addresses": ["127.0.0.1:1"]}"#;

/// Returns the valid settings with one key set to another value.
fn settings_with(key: &str, value: &str) -> String {
    let mut settings: Value = serde_json::from_str(VALID_SETTINGS).expect("the settings are JSON");
    settings[key] = serde_json::from_str(value).expect("the value is JSON");
    settings.to_string()
}

#[rstest]
#[case::no_json("{", "$")]
#[case::no_object("[]", "$")]
#[case::unknown_key(&settings_with("colour", "1"), "colour")]
#[case::empty_name(&settings_with("vm", "\"\""), "vm")]
#[case::name_of_other_type(&settings_with("data_centre", "7"), "data_centre")]
#[case::host_name(&settings_with("caller_address", "\"localhost:80\""), "caller_address")]
#[case::no_port(&settings_with("control_address", "\"127.0.0.1\""), "control_address")]
#[case::no_platform(&settings_with("platform_addresses", "[]"), "platform_addresses")]
#[case::platform_twice(&settings_with("platform_addresses", "[\"127.0.0.1:1\", \"127.0.0.1:1\"]"), "platform_addresses[1]")]
#[case::zero_bound(&settings_with("limits", "{\"max_requests\": 0}"), "limits.max_requests")]
#[case::reversed_bounds(&settings_with("limits", "{\"min_watch_ms\": 900, \"max_watch_ms\": 100}"), "limits.max_watch_ms")]
#[case::unknown_limit(&settings_with("limits", "{\"most\": 1}"), "limits.most")]
fn check_names_the_faulty_setting(#[case] settings: &str, #[case] path: &str) {
    let file = TempFile::new(settings);
    let output = run(&["check", file.path()]);
    let printed = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{printed}");
    assert!(printed.contains(&format!(": {path}: found ")), "{printed}");
    assert_eq!(text(&output.stdout), "");
}

#[test]
fn invalid_settings_report_every_fault_and_prevent_the_start() {
    let settings = r#"{"vm": "a b", "caller_address": "x", "limits": {"max_requests": 0}}"#;
    let file = TempFile::new(settings);
    for arguments in [
        vec!["check", file.path()],
        vec!["daemon", "--settings", file.path()],
    ] {
        let output = run(&arguments);
        let printed = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{printed}");
        assert_eq!(printed.lines().count(), 6, "{printed}");
        assert!(!printed.contains("listening"), "{printed}");
    }
}

#[test]
fn check_accepts_valid_settings() {
    let file = TempFile::new(VALID_SETTINGS);
    let output = run(&["check", file.path()]);
    assert!(output.status.success(), "{}", text(&output.stderr));
}

#[tokio::test(flavor = "multi_thread")]
async fn config_status_and_drain_commands_show_accepted_versions() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let control = cluster.control_addresses();
    let (first, second) = (control[0].to_string(), control[1].to_string());

    let patch = TempFile::new(r#"{"services": {"demand-lm": {"weights_version": 2}}}"#);
    let send = |daemon: &str, against: &str, id: &str| {
        let daemon = daemon.to_owned();
        let (against, id) = (against.to_owned(), id.to_owned());
        let file = patch.path().to_owned();
        async move {
            run_async(&[
                "config",
                "patch",
                "--daemon",
                &daemon,
                "--against",
                &against,
                "--id",
                &id,
                &file,
            ])
            .await
        }
    };
    for daemon in [&first, &second] {
        let output = send(daemon, "1", "new-weights").await;
        let printed = text(&output.stdout);
        assert_eq!(
            printed,
            "accepted as configuration 2\n",
            "{}",
            text(&output.stderr)
        );
    }
    let output = send(&second, "1", "other").await;
    let printed = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(printed.contains("config_conflict"), "{printed}");
    assert!(printed.contains("version 2 is in force"), "{printed}");
    assert!(
        printed.contains("changed since: services.demand-lm"),
        "{printed}"
    );
    let output = send(&second, "2", "new-weights").await;
    assert!(text(&output.stderr).contains("id_reused"));

    let output = run_async(&["config", "history", "--daemon", &second]).await;
    let printed = text(&output.stdout);
    let lines: Vec<_> = printed.lines().collect();
    assert_eq!(lines.len(), 2, "{printed}");
    assert_eq!(lines[1], "2\tnew-weights\tservices.demand-lm");
    check_drains(&first, &second).await;
}

/// Drains an endpoint and a VM, and checks what the commands print.
async fn check_drains(first: &str, second: &str) {
    let output = run_async(&["drain", "--daemon", first, "sampler-1"]).await;
    assert_eq!(text(&output.stdout), "accepted as configuration 3\n");
    let output = run_async(&["config", "get", "--daemon", first]).await;
    let config: Value = serde_json::from_slice(&output.stdout).expect("the output is JSON");
    let sampler = &config["document"]["services"]["demand-lm"]["endpoints"]["sampler-1"];
    assert_eq!(sampler["leaving"], true, "{config}");
    let output = run_async(&["drain", "--daemon", first, "vm-9"]).await;
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(text(&output.stderr), "there is no VM or endpoint 'vm-9'\n");

    let output = run_async(&["status", "--json", "--daemon", first]).await;
    let status: Value = serde_json::from_slice(&output.stdout).expect("the output is JSON");
    assert_eq!(status["config_number"], 3);
    assert_eq!(status["vms"].as_array().map(Vec::len), Some(2));
    let output = run_async(&["status", "--daemon", second]).await;
    let printed = text(&output.stdout);
    for word in [
        "has configuration",
        "DATA CENTRE",
        "ENDPOINT",
        "LEASE HELD HERE",
        "vm-0",
    ] {
        assert!(printed.contains(word), "{word} is missing: {printed}");
    }
    let output = run_async(&["drain", "--daemon", first, "vm-1"]).await;
    assert_eq!(text(&output.stdout), "accepted as configuration 4\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn config_watch_prints_each_new_number() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let control: Vec<SocketAddr> = cluster.control_addresses();
    let (first, second) = (control[0].to_string(), control[1].to_string());
    let mut watch = command(&["config", "watch", "--daemon", &first])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command runs");
    let mut lines = BufReader::new(watch.stdout.take().expect("the output is piped")).lines();
    let mut next = || {
        lines
            .next()
            .expect("the command prints another line")
            .expect("the line is text")
    };
    assert_eq!(next(), "1");
    let output = run_async(&["drain", "--daemon", &second, "sampler-0"]).await;
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(next(), "2");
    watch.kill().expect("the command is killed");
    watch.wait().expect("the command has ended");
}

const VALID_VM_SETTINGS: &str = r#"{"vm": "vm-1", "data_centre": "nave-a", "caller_address": "127.0.0.1:0",
    "readiness_address": "127.0.0.1:0", "directory_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0", "seed_addresses": [], "metrics_address": "127.0.0.1:0",
    "store_address": "127.0.0.1:1", "row_bytes": 65536, "object_bytes": 8388608,
    "memory_mb": 140, "cpu_share": 0.5, "keep_addresses_s": 2,
    "keep_batches_ms": 120000, "stop_grace_s": 4.0, "order_gap_ms": 500}"#;

#[test]
fn check_reports_every_fault_of_vm_settings() {
    let file = TempFile::new(VALID_VM_SETTINGS);
    let output = run(&["check", "--vm", file.path()]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let faulty = VALID_VM_SETTINGS
        .replace("\"vm-1\"", "\"\"")
        .replace("0.5", "0")
        .replace("120000", "0")
        .replace("65536", "0")
        .replace("140", "0")
        .replace(
            "\"order_gap_ms\": 500",
            "\"order_gap_ms\": 500, \"platform_api\": {\"address\": \"127.0.0.1:1\", \
             \"calls_per_s\": 0, \"duties\": [\"usage\", \"scale\"], \
             \"usage_window_s\": 5, \"usage_due_s\": 10}",
        );
    let file = TempFile::new(&faulty);
    let output = run(&["check", "--vm", file.path()]);
    let printed = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{printed}");
    for path in [
        "vm",
        "cpu_share",
        "keep_batches_ms",
        "row_bytes",
        "memory_mb",
        "platform_api.calls_per_s",
    ] {
        assert!(printed.contains(&format!(": {path}: found ")), "{printed}");
    }
    assert_eq!(printed.lines().count(), 6, "{printed}");
}

#[test]
fn explain_orders_lines_of_several_vms_and_marks_gaps() {
    let first = TempFile::new(
        r#"no log line
{"timestamp":"2026-03-10T06:48:27.250Z","level":"INFO","message":"share claimed","batch":"b1","share":0}
{"timestamp":"2026-03-10T06:48:27.500Z","level":"INFO","message":"run ended early","batch":"b1","sample":"s7","endpoint":"i-1","reason":"answer_cut"}
{"timestamp":"2026-03-10T06:48:27.600Z","level":"INFO","message":"endpoint gone","endpoint":"i-1"}
{"timestamp":"2026-03-10T06:48:27.700Z","level":"INFO","message":"sample finished","batch":"b1","sample":"s8"}
"#,
    );
    let second = TempFile::new(
        r#"{"timestamp":"2026-03-10T06:48:30.100Z","level":"INFO","message":"sample finished","batch":"b1","sample":"s7","runs":2}
{"timestamp":"2026-03-10T06:48:27.000Z","level":"INFO","message":"batch accepted","batch":"b1"}
{"timestamp":"2026-03-10T06:48:27.650Z","level":"INFO","message":"endpoint gone","endpoint":"i-1"}
"#,
    );
    let output = run(&["explain", "s7", first.path(), second.path()]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let printed = text(&output.stdout);
    let order = [
        "0.000 s",
        "batch accepted",
        "0.250 s",
        "share claimed",
        "0.500 s",
        "run ended early",
        "reason=answer_cut",
        "0.600 s",
        "endpoint gone",
        "nothing for 2.500 s",
        "3.100 s",
        "sample finished",
        "runs=2",
    ];
    let mut rest = &*printed;
    for part in order {
        let at = rest
            .find(part)
            .unwrap_or_else(|| panic!("no {part:?} in {rest:?}"));
        rest = &rest[at + part.len()..];
    }
    assert!(!printed.contains("s8"), "{printed}");
    assert_eq!(printed.matches("endpoint gone").count(), 1, "{printed}");
    assert!(text(&output.stderr).contains("2 VMs; 1 lines are not log lines"));
    let unknown = run(&["explain", "s9", first.path()]);
    assert_eq!(unknown.status.code(), Some(1));
}
