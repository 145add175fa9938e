//! Guards against requests that crash sampler after sampler, each time that they
//! come again, and against refusals of harmless requests that ran beside them.
//!
//! Stand-ins of samplers end as soon as they run a certain body, and start again
//! after a while.

use std::{
    process::Command,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use rstest::rstest;
use rustix::process::Signal;
use serde_json::{Value, json};
use standins::fleet::{AnswerFault, RunStart, Sampler, WhenDown};

use crate::fleet::{Answer, Fleet, SAMPLER_SETTINGS, WAIT_TIMEOUT, batch_body};

/// The body that crashes each sampler that runs it.
pub const CULPRIT: &[u8] = b"culprit";
/// The users' bounds: this long after the third crash, at most
/// [`MAX_LATE_RETRIES`] more runs may be sent.
pub const CONTACT: Duration = Duration::from_secs(3);
pub const MAX_LATE_RETRIES: usize = 3;
pub const CRASHES_BEFORE_BOUND: usize = 3;
/// How long the culprit keeps coming.
const RESEND_DURATION: Duration = Duration::from_secs(9);
const RESEND_INTERVAL: Duration = Duration::from_millis(120);

/// The longest time from the start of a run to the crash that it causes.
const MAX_CRASH_DELAY: Duration = Duration::from_millis(20);

/// What the culprit did at the samplers of a test.
#[derive(Debug)]
pub struct Damage {
    pub crashes: usize,
    /// The runs that began later than the users' bound allows.
    pub late_runs: usize,
}

impl Damage {
    pub fn of(samplers: &[Sampler]) -> Self {
        Self::of_calm_time(samplers, None)
    }

    /// Counts runs as late only after `calm_since`, if the VMs were disturbed before.
    pub fn of_calm_time(samplers: &[Sampler], calm_since: Option<Instant>) -> Self {
        Self::new(samplers, calm_since, MAX_CRASH_DELAY)
    }

    /// Counts crashes that follow after an answer to another request.
    pub fn of_delayed_crashes(samplers: &[Sampler]) -> Self {
        Self::new(samplers, None, 5 * MAX_CRASH_DELAY)
    }

    fn new(samplers: &[Sampler], calm_since: Option<Instant>, max_crash_delay: Duration) -> Self {
        let runs = samplers.iter().flat_map(|s| s.runs_of(CULPRIT));
        let runs: Vec<Instant> = runs.map(|run| run.at).collect();
        let mut crashes: Vec<Instant> = samplers.iter().flat_map(Sampler::crashes).collect();
        crashes.sort();
        // Samplers may also crash by themselves.
        crashes.retain(|crash| {
            let delay = |run: &Instant| crash.checked_duration_since(*run);
            let mut delays = runs.iter().filter_map(delay);
            delays.any(|delay| delay < max_crash_delay)
        });
        let third = crashes.get(CRASHES_BEFORE_BOUND - 1);
        let bound_since = third.map(|third| calm_since.map_or(*third, |calm| calm.max(*third)));
        let is_late = |at: &&Instant| bound_since.is_some_and(|since| **at > since + CONTACT);
        Self {
            crashes: crashes.len(),
            late_runs: runs.iter().filter(is_late).count(),
        }
    }

    pub fn assert_bounded(&self) {
        println!("{self:?}");
        assert!(self.crashes >= CRASHES_BEFORE_BOUND, "{self:?}");
        assert!(self.late_runs <= MAX_LATE_RETRIES, "{self:?}");
    }
}

/// Starts VMs and samplers that all crash on the culprit.
pub async fn start_fleet(vms: usize) -> Fleet {
    let fleet = Fleet::start(vms, SAMPLER_SETTINGS).await;
    for sampler in fleet.model_samplers.iter().chain(&fleet.plain_samplers) {
        sampler.crash_on(CULPRIT);
    }
    fleet
}

pub async fn send(fleet: &Fleet, vm: usize, id: &str, body: &'static [u8]) -> Option<Answer> {
    let callers = fleet.vms[vm].addresses["callers"];
    let body = Bytes::from_static(body);
    fleet
        .call(Method::POST, callers, "/slips/1", id, body)
        .await
}

/// Sends the culprit again and again, to one VM after the other.
async fn resend_culprit(fleet: &Fleet, name: &str, duration: Duration) {
    let ends_at = Instant::now() + duration;
    let mut number = 0;
    while Instant::now() < ends_at {
        let id = format!("{name}-{number}");
        send(fleet, number % fleet.vms.len(), &id, CULPRIT).await;
        number += 1;
        tokio::time::sleep(RESEND_INTERVAL).await;
    }
}

/// Guards against a caller's request that crashes samplers for as long as it comes
/// again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_callers_request_that_crashes_samplers_stops_reaching_them() {
    let fleet = start_fleet(3).await;
    resend_culprit(&fleet, "again", RESEND_DURATION).await;
    Damage::of(&fleet.plain_samplers).assert_bounded();
}

/// Guards against copies that come to all VMs at once, each with its own count.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn simultaneous_copies_are_counted_together() {
    let fleet = start_fleet(3).await;
    let ends_at = Instant::now() + RESEND_DURATION;
    let mut round = 0;
    while Instant::now() < ends_at {
        let ids: Vec<String> = (0..9).map(|copy| format!("copy-{round}-{copy}")).collect();
        let copies = ids.iter().enumerate();
        let sends = copies.map(|(copy, id)| send(&fleet, copy % 3, id, CULPRIT));
        futures_util::future::join_all(sends).await;
        round += 1;
        tokio::time::sleep(4 * RESEND_INTERVAL).await;
    }
    Damage::of(&fleet.plain_samplers).assert_bounded();
}

/// Guards against crashes that are forgotten when the VMs that saw them end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_are_remembered_after_all_vms_were_killed() {
    let mut fleet = start_fleet(3).await;
    resend_culprit(&fleet, "before", Duration::from_secs(4)).await;
    for vm in 0..3 {
        fleet.signal(vm, Signal::KILL);
    }
    for vm in 0..3 {
        while fleet.is_running(vm) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        fleet.restart(vm).await;
    }
    resend_culprit(&fleet, "after", RESEND_DURATION).await;
    Damage::of(&fleet.plain_samplers).assert_bounded();
}

/// Guards against a VM that is turned away by the store and so learns of no crash.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_the_store_refuses_learns_of_crashes() {
    let fleet = start_fleet(3).await;
    fleet.store.refuse_vms([2]);
    resend_culprit(&fleet, "refused", RESEND_DURATION).await;
    Damage::of(&fleet.plain_samplers).assert_bounded();
}

/// Guards against counts that need the store: while it is away, VMs tell each other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_are_counted_together_while_the_store_is_away() {
    let fleet = start_fleet(3).await;
    // After two heartbeats each VM has read the rows of all others.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.store.refuse_vms([0, 1, 2]);
    resend_culprit(&fleet, "away", RESEND_DURATION).await;
    Damage::of(&fleet.plain_samplers).assert_bounded();
}

/// Guards against samplers that go silent under a request, so that only the list of
/// samplers tells that they have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_under_which_samplers_go_silent_stops_reaching_them() {
    let fleet = start_fleet(3).await;
    for sampler in &fleet.plain_samplers {
        sampler.set_when_down(WhenDown::Hangs);
    }
    let sends = (0..3).map(|vm| {
        let fleet = &fleet;
        async move {
            let ends_at = Instant::now() + 3 * RESEND_DURATION;
            let mut number = 0;
            while Instant::now() < ends_at {
                send(fleet, vm, &format!("silent-{vm}-{number}"), CULPRIT).await;
                number += 1;
                tokio::time::sleep(RESEND_INTERVAL).await;
            }
        }
    });
    futures_util::future::join_all(sends).await;
    Damage::of(&fleet.plain_samplers).assert_bounded();
}

/// Submits a batch until it is accepted.
async fn submit(fleet: &Fleet, body: &Value) {
    let callers = fleet.vms[0].addresses["callers"];
    let body = Bytes::from(body.to_string());
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = fleet.call(Method::POST, callers, "/lots/b1", "b1", body.clone());
        if answer.await.is_some_and(|answer| answer.status == 200) {
            return;
        }
        assert!(Instant::now() < deadline, "the batch is not accepted");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Submits a batch and returns what is listed after a while.
pub async fn run_batch_with_culprit(fleet: &Fleet, body: &Value) -> Vec<Value> {
    let callers = fleet.vms[0].addresses["callers"];
    submit(fleet, body).await;
    tokio::time::sleep(RESEND_DURATION).await;
    let page = fleet.get(callers, "/v1/lots/b1?after=0", "reader").await;
    let page: Value = serde_json::from_slice(&page.expect("an answer").body).expect("JSON");
    page["results"].as_array().expect("a list").clone()
}

/// Guards against an item of a batch that crashes samplers until it expires, and
/// against an item that is given up before.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_item_that_crashes_samplers_stops_reaching_them(#[values(false, true)] is_score: bool) {
    let fleet = start_fleet(3).await;
    let mut body = batch_body("b1", 12, 1);
    let culprit = json!(STANDARD.encode(CULPRIT));
    let item = &mut body["requests"][5];
    if is_score {
        item["scorer"]["body"] = culprit;
    } else {
        item["body"] = culprit;
    }
    let results = run_batch_with_culprit(&fleet, &body).await;
    let samplers = if is_score {
        &fleet.plain_samplers
    } else {
        &fleet.model_samplers
    };
    Damage::of(samplers).assert_bounded();
    assert_eq!(results.len(), 11, "all other items are listed");
    assert!(results.iter().all(|result| result["state"] == "done"));
}

/// Guards against an item that is counted anew by the VM that takes its share over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_item_that_crashes_samplers_is_remembered_by_the_next_owner() {
    let mut fleet = start_fleet(3).await;
    let mut body = batch_body("b1", 12, 1);
    body["requests"][5]["body"] = json!(STANDARD.encode(CULPRIT));
    submit(&fleet, &body).await;
    for vm in 0..3 {
        tokio::time::sleep(Duration::from_secs(4)).await;
        fleet.signal(vm, Signal::KILL);
        while fleet.is_running(vm) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        fleet.restart(vm).await;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    Damage::of(&fleet.model_samplers).assert_bounded();
}

/// Runs the command line and returns what it prints.
async fn run_command(arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chicoryreach"));
    command.args(arguments);
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    let output = output.expect("the task ends").expect("the command runs");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

/// Guards against a content that no operator can free before its time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operator_lists_and_frees_a_held_content() {
    let fleet = start_fleet(3).await;
    resend_culprit(&fleet, "before", Duration::from_secs(1)).await;
    for sampler in &fleet.plain_samplers {
        sampler.crash_on_nothing();
    }
    let vm = fleet.vms[0].addresses["peers"].to_string();
    let listed = run_command(&["held", "list", "--vm", &vm]).await;
    let row = listed.lines().nth(1).expect("a held content");
    let content = row.split_whitespace().next().expect("a fingerprint");
    assert!(row.contains("i-plain-0"), "{listed}");
    run_command(&["held", "free", "--vm", &vm, content]).await;
    // Sooner than the next late retry may be claimed.
    let known_by = Instant::now() + Duration::from_millis(500);
    for vm in 0..3 {
        loop {
            let answer = send(&fleet, vm, &format!("after-{vm}"), CULPRIT).await;
            let body = answer.expect("an answer").body;
            if !body.starts_with(b"content_held") {
                break;
            }
            assert!(Instant::now() < known_by, "VM {vm} still holds it");
        }
    }
    let listed = run_command(&["held", "list", "--vm", &vm]).await;
    assert_eq!(listed.lines().count(), 1, "{listed}");
}

/// Guards against retries beyond the attempts of the route, and against retries that
/// are handed more time than their caller has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_keep_to_the_attempts_and_the_time_of_the_caller() {
    const ATTEMPTS: usize = 3;
    const CALLER_DEADLINE_MS: u128 = 5_000;
    // What the users allow.
    const SLACK_MS: u128 = 500;
    let fleet = Fleet::start(1, SAMPLER_SETTINGS).await;
    for sampler in &fleet.plain_samplers {
        sampler.inject_answer_faults(AnswerFault::Cut, 30);
    }
    for number in 0..10 {
        let id = format!("cut-{number}");
        let started = Instant::now();
        send(&fleet, 0, &id, b"cut").await;
        let samplers = fleet.plain_samplers.iter();
        let runs: Vec<RunStart> = samplers
            .flat_map(|sampler| sampler.runs_of(b"cut"))
            .filter(|run| run.id == id)
            .collect();
        assert!((1..=ATTEMPTS).contains(&runs.len()), "{runs:?}");
        for run in runs {
            let deadline_ms = u128::from(run.deadline_ms.expect("a deadline is passed on"));
            let ends_ms = run.at.duration_since(started).as_millis() + deadline_ms;
            assert!(ends_ms <= CALLER_DEADLINE_MS + SLACK_MS, "{ends_ms}");
        }
    }
}

/// Guards against refusals of requests that ran where samplers ended by themselves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn harmless_requests_are_served_although_samplers_end_under_them() {
    let fleet = Fleet::start(2, SAMPLER_SETTINGS).await;
    let mut refused = 0;
    let mut served = 0;
    for round in 0..8 {
        for call in 0..12 {
            let id = format!("call-{round}-{call}");
            if call == 3 {
                let sampler = &fleet.plain_samplers[round % 3];
                sampler.set_restart_ms(300);
                let during = send(&fleet, round % 2, &id, b"popular");
                let crash = async {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    sampler.crash();
                };
                let (answer, ()) = futures_util::future::join(during, crash).await;
                served += usize::from(answer.is_some_and(|answer| answer.status == 200));
                continue;
            }
            let answer = send(&fleet, call % 2, &id, b"popular").await;
            let status = answer.map(|answer| answer.status);
            served += usize::from(status == Some(200));
            refused += usize::from(status != Some(200));
        }
    }
    assert_eq!((served, refused), (96, 0));
}
