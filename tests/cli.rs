//! The command line, as operators use it.

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

async fn run_aside(arguments: &[&str]) -> Output {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let run = move || run(&arguments.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(run)
        .await
        .expect("the command runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A file with this text, which goes away with the value.
struct Scratch(PathBuf);

impl Scratch {
    fn new(content: &str) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("chicoryreach-cli-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, content).expect("the file is written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is text")
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

const VALID: &str = r#"{"vm": "vm-1", "data_centre": "nave-a", "caller_address": "127.0.0.1:0",
    "control_address": "127.0.0.1:0", "platform_addresses": ["127.0.0.1:1"]}"#;

fn with(key: &str, value: &str) -> String {
    let mut settings: Value = serde_json::from_str(VALID).expect("the settings are JSON");
    settings[key] = serde_json::from_str(value).expect("the value is JSON");
    settings.to_string()
}

#[rstest]
#[case::no_json("{", "$")]
#[case::no_object("[]", "$")]
#[case::unknown_key(&with("colour", "1"), "colour")]
#[case::empty_name(&with("vm", "\"\""), "vm")]
#[case::name_of_other_type(&with("data_centre", "7"), "data_centre")]
#[case::host_name(&with("caller_address", "\"localhost:80\""), "caller_address")]
#[case::no_port(&with("control_address", "\"127.0.0.1\""), "control_address")]
#[case::no_platform(&with("platform_addresses", "[]"), "platform_addresses")]
#[case::platform_twice(&with("platform_addresses", "[\"127.0.0.1:1\", \"127.0.0.1:1\"]"), "platform_addresses[1]")]
#[case::zero_bound(&with("limits", "{\"max_requests\": 0}"), "limits.max_requests")]
#[case::reversed_bounds(&with("limits", "{\"min_watch_ms\": 900, \"max_watch_ms\": 100}"), "limits.max_watch_ms")]
#[case::unknown_limit(&with("limits", "{\"most\": 1}"), "limits.most")]
fn check_names_the_fault(#[case] settings: &str, #[case] path: &str) {
    let file = Scratch::new(settings);
    let output = run(&["check", file.path()]);
    let said = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{said}");
    assert!(said.contains(&format!(": {path}: found ")), "{said}");
    assert_eq!(text(&output.stdout), "");
}

#[test]
fn check_says_every_fault_at_once_and_the_daemon_does_not_start() {
    let settings = r#"{"vm": "a b", "caller_address": "x", "limits": {"max_requests": 0}}"#;
    let file = Scratch::new(settings);
    for arguments in [
        vec!["check", file.path()],
        vec!["daemon", "--settings", file.path()],
    ] {
        let output = run(&arguments);
        let said = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert_eq!(said.lines().count(), 6, "{said}");
        assert!(!said.contains("listening"), "{said}");
    }
}

#[test]
fn valid_settings_are_valid() {
    let file = Scratch::new(VALID);
    let output = run(&["check", file.path()]);
    assert!(output.status.success(), "{}", text(&output.stderr));
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_read_patch_and_drain() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let control = cluster.control_addresses();
    let (first, second) = (control[0].to_string(), control[1].to_string());

    let patch = Scratch::new(r#"{"services": {"demand-lm": {"weights_version": 2}}}"#);
    let send = |daemon: &str, against: &str, id: &str| {
        let daemon = daemon.to_owned();
        let (against, id) = (against.to_owned(), id.to_owned());
        let file = patch.path().to_owned();
        async move {
            run_aside(&[
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
        let said = text(&output.stdout);
        assert_eq!(
            said,
            "accepted as configuration 2\n",
            "{}",
            text(&output.stderr)
        );
    }
    let output = send(&second, "1", "other").await;
    let said = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(said.contains("config_conflict"), "{said}");
    assert!(said.contains("version 2 is in force"), "{said}");
    assert!(said.contains("changed since: services.demand-lm"), "{said}");
    let output = send(&second, "2", "new-weights").await;
    assert!(text(&output.stderr).contains("id_reused"));

    let output = run_aside(&["config", "history", "--daemon", &second]).await;
    let said = text(&output.stdout);
    let lines: Vec<_> = said.lines().collect();
    assert_eq!(lines.len(), 2, "{said}");
    assert_eq!(lines[1], "2\tnew-weights\tservices.demand-lm");
    drains(&first, &second).await;
}

async fn drains(first: &str, second: &str) {
    let output = run_aside(&["drain", "--daemon", first, "sampler-1"]).await;
    assert_eq!(text(&output.stdout), "accepted as configuration 3\n");
    let output = run_aside(&["config", "get", "--daemon", first]).await;
    let config: Value = serde_json::from_slice(&output.stdout).expect("it is JSON");
    let sampler = &config["document"]["services"]["demand-lm"]["endpoints"]["sampler-1"];
    assert_eq!(sampler["leaving"], true, "{config}");
    let output = run_aside(&["drain", "--daemon", first, "vm-9"]).await;
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(text(&output.stderr), "there is no VM or endpoint 'vm-9'\n");

    let output = run_aside(&["status", "--json", "--daemon", first]).await;
    let status: Value = serde_json::from_slice(&output.stdout).expect("it is JSON");
    assert_eq!(status["config_number"], 3);
    assert_eq!(status["vms"].as_array().map(Vec::len), Some(2));
    let output = run_aside(&["status", "--daemon", second]).await;
    let said = text(&output.stdout);
    for word in [
        "has configuration",
        "DATA CENTRE",
        "ENDPOINT",
        "LEASE HELD HERE",
        "vm-0",
    ] {
        assert!(said.contains(word), "{word} is missing: {said}");
    }
    let output = run_aside(&["drain", "--daemon", first, "vm-1"]).await;
    assert_eq!(text(&output.stdout), "accepted as configuration 4\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn watch_prints_each_number() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let control: Vec<SocketAddr> = cluster.control_addresses();
    let (first, second) = (control[0].to_string(), control[1].to_string());
    let mut watch = command(&["config", "watch", "--daemon", &first])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command runs");
    let mut lines = BufReader::new(watch.stdout.take().expect("it is piped")).lines();
    let mut next = || lines.next().expect("it goes on").expect("it is text");
    assert_eq!(next(), "1");
    let output = run_aside(&["drain", "--daemon", &second, "sampler-0"]).await;
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(next(), "2");
    watch.kill().expect("the command is killed");
    watch.wait().expect("the command is gone");
}

const VALID_VM: &str = r#"{"vm": "vm-1", "data_centre": "nave-a", "caller_address": "127.0.0.1:0",
    "readiness_address": "127.0.0.1:0", "directory_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0", "seed_addresses": [], "metrics_address": "127.0.0.1:0",
    "store_address": "127.0.0.1:1", "cpu_share": 0.5, "keep_addresses_s": 2,
    "keep_batches_ms": 120000, "stop_grace_s": 4.0, "order_gap_ms": 500}"#;

#[test]
fn check_says_every_fault_of_a_vms_settings() {
    let file = Scratch::new(VALID_VM);
    let output = run(&["check", "--vm", file.path()]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let faulty = VALID_VM
        .replace("\"vm-1\"", "\"\"")
        .replace("0.5", "0")
        .replace("120000", "0");
    let file = Scratch::new(&faulty);
    let output = run(&["check", "--vm", file.path()]);
    let said = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{said}");
    for path in ["vm", "cpu_share", "keep_batches_ms"] {
        assert!(said.contains(&format!(": {path}: found ")), "{said}");
    }
    assert_eq!(said.lines().count(), 3, "{said}");
}

#[test]
fn explain_puts_the_lines_of_many_vms_in_order_and_marks_gaps() {
    let first = Scratch::new(
        r#"no log line
{"timestamp":"2026-03-10T06:48:27.250Z","level":"INFO","message":"share claimed","batch":"b1","share":0}
{"timestamp":"2026-03-10T06:48:27.500Z","level":"INFO","message":"run ended early","batch":"b1","sample":"s7","endpoint":"i-1","reason":"answer_cut"}
{"timestamp":"2026-03-10T06:48:27.600Z","level":"INFO","message":"endpoint gone","endpoint":"i-1"}
{"timestamp":"2026-03-10T06:48:27.700Z","level":"INFO","message":"sample finished","batch":"b1","sample":"s8"}
"#,
    );
    let second = Scratch::new(
        r#"{"timestamp":"2026-03-10T06:48:30.100Z","level":"INFO","message":"sample finished","batch":"b1","sample":"s7","runs":2}
{"timestamp":"2026-03-10T06:48:27.000Z","level":"INFO","message":"batch accepted","batch":"b1"}
{"timestamp":"2026-03-10T06:48:27.650Z","level":"INFO","message":"endpoint gone","endpoint":"i-1"}
"#,
    );
    let output = run(&["explain", "s7", first.path(), second.path()]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let said = text(&output.stdout);
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
    let mut rest = &*said;
    for part in order {
        let at = rest
            .find(part)
            .unwrap_or_else(|| panic!("no {part:?} in {rest:?}"));
        rest = &rest[at + part.len()..];
    }
    assert!(!said.contains("s8"), "{said}");
    assert_eq!(said.matches("endpoint gone").count(), 1, "{said}");
    assert!(text(&output.stderr).contains("2 VMs; 1 lines are not log lines"));
    let unknown = run(&["explain", "s9", first.path()]);
    assert_eq!(unknown.status.code(), Some(1));
}
