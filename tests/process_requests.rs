//! Requests through real daemons and engines that are killed, stopped or crash
//! while a request runs.

mod cluster;

use std::net::SocketAddr;

use chicoryreach::{
    daemon::HttpClient,
    error::ErrorKind,
    wire::callers::{Addresses, Completion, CompletionRequest, ErrorBody, VersionSpan},
};
use cluster::{Cluster, eventually};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::{BodyExt, BodyStream, Full};
use hyper::{Method, Request, Response, body::Incoming};
use rstest::rstest;
use rustix::process::Signal;
use standins::{
    caller::{CallOutcome, CallSpec, OutgoingRequest, fetch_addresses, parse_completion},
    drive::{calls, prompts},
    engine::{CRASH_MARK, EngineSettings},
    oracle::Verdict,
    service::ServiceAnswer,
    text,
    world::WorldSize,
};

const SIZE: WorldSize = WorldSize {
    daemons: 3,
    engines: 3,
    services: 1,
    data_centres: 1,
};
const REQUEST_TIMEOUT_MS: u64 = 40_000;

/// Returns a non-idempotent call of the plain service.
fn non_idempotent_call() -> CallSpec {
    let mut calls = calls().into_iter();
    calls
        .find(|call| !call.idempotent)
        .expect("the calls include a non-idempotent one")
}

/// Returns each daemon's caller address and a ticket of it, ordered by VM.
async fn collect_tickets(cluster: &Cluster) -> Vec<(SocketAddr, String)> {
    let first = cluster.caller_addresses()[0];
    let listed = eventually("all daemons are listed", async || {
        let Addresses { entries, .. } = fetch_addresses(&cluster.http, first).await.ok()?;
        (entries.len() == SIZE.daemons).then_some(entries)
    });
    let mut listed = listed.await;
    listed.sort_by(|a, b| a.vm.cmp(&b.vm));
    let tickets = listed.iter();
    tickets
        .map(|entry| (entry.address, entry.ticket.to_string()))
        .collect()
}

fn spawn_send(
    outgoing: &OutgoingRequest,
    address: SocketAddr,
) -> tokio::task::JoinHandle<CallOutcome> {
    let outgoing = outgoing.clone();
    tokio::spawn(async move { outgoing.send(&HttpClient::new(), address).await })
}

/// Returns how often the service ran the call with this ID.
fn count_runs(cluster: &Cluster, id: &str) -> u32 {
    let (_, service) = &cluster.world.services[0];
    service.run_counts().get(id).copied().unwrap_or_default()
}

async fn wait_until_call_runs(cluster: &Cluster, id: &str) {
    eventually("the service runs the call", async || {
        (count_runs(cluster, id) == 1).then_some(())
    })
    .await;
}

#[track_caller]
fn expect_refusal(outcome: CallOutcome) -> ErrorBody {
    match outcome {
        CallOutcome::Refused(body) => body,
        other => panic!("not refused: {other:?}"),
    }
}

#[track_caller]
fn expect_service_answer(outcome: CallOutcome) -> ServiceAnswer {
    match outcome {
        CallOutcome::Answer(body) => serde_json::from_slice(&body).expect("the answer is a slip"),
        other => panic!("not answered: {other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn call_of_killed_daemon_never_runs_again() {
    let mut cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let tickets = collect_tickets(&cluster).await;
    let outgoing = OutgoingRequest::call(
        "slip-1",
        &non_idempotent_call(),
        &tickets[0].1,
        REQUEST_TIMEOUT_MS,
    );
    cluster.world.services[0].1.hold_answers(true);
    let first = spawn_send(&outgoing, tickets[0].0);
    wait_until_call_runs(&cluster, "slip-1").await;
    cluster.kill(0);
    assert!(matches!(first.await, Ok(CallOutcome::Failed(_))));
    let resent = expect_refusal(outgoing.send(&cluster.http, tickets[1].0).await);
    assert_eq!(
        (resent.kind, resent.not_run),
        (ErrorKind::OutcomeUnknown, false)
    );
    cluster.world.services[0].1.hold_answers(false);
    cluster.restart(0).await;
    let restarted = cluster.records[0].caller_address;
    let resent = expect_refusal(outgoing.send(&cluster.http, restarted).await);
    assert_eq!(resent.kind, ErrorKind::OutcomeUnknown);
    assert_eq!(count_runs(&cluster, "slip-1"), 1);
}

/// The paused daemon still owns the call when it resumes, and answers it.
#[tokio::test(flavor = "multi_thread")]
async fn call_of_paused_daemon_never_runs_again() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let tickets = collect_tickets(&cluster).await;
    let outgoing = OutgoingRequest::call(
        "slip-0",
        &non_idempotent_call(),
        &tickets[0].1,
        REQUEST_TIMEOUT_MS,
    );
    cluster.world.services[0].1.hold_answers(true);
    let first = spawn_send(&outgoing, tickets[0].0);
    wait_until_call_runs(&cluster, "slip-0").await;
    cluster.signal(0, Signal::STOP);
    let resent = expect_refusal(outgoing.send(&cluster.http, tickets[1].0).await);
    assert_eq!(resent.kind, ErrorKind::OutcomeUnknown);
    cluster.world.services[0].1.hold_answers(false);
    cluster.signal(0, Signal::CONT);
    assert_eq!(
        expect_service_answer(first.await.expect("the caller ends")).request_id,
        "slip-0"
    );
    assert_eq!(count_runs(&cluster, "slip-0"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn running_call_resent_elsewhere_gets_its_answer() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let tickets = collect_tickets(&cluster).await;
    let outgoing = OutgoingRequest::call(
        "slip-2",
        &non_idempotent_call(),
        &tickets[0].1,
        REQUEST_TIMEOUT_MS,
    );
    cluster.world.services[0].1.hold_answers(true);
    let first = spawn_send(&outgoing, tickets[0].0);
    wait_until_call_runs(&cluster, "slip-2").await;
    let (second, third) = (
        spawn_send(&outgoing, tickets[1].0),
        spawn_send(&outgoing, tickets[2].0),
    );
    eventually("both daemons ask the first", async || {
        let mut asked = 0;
        for address in &cluster.control_addresses()[1..] {
            asked += read_counter(&cluster, *address, "settled_total").await?;
        }
        (asked == 2).then_some(())
    })
    .await;
    cluster.world.services[0].1.hold_answers(false);
    for ended in [first, second, third] {
        let slip = expect_service_answer(ended.await.expect("the caller ends"));
        assert_eq!(slip.request_id, "slip-2");
    }
    assert_eq!(count_runs(&cluster, "slip-2"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn call_sealed_before_running_runs_once_elsewhere() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let tickets = collect_tickets(&cluster).await;
    let outgoing = OutgoingRequest::call(
        "slip-3",
        &non_idempotent_call(),
        &tickets[0].1,
        REQUEST_TIMEOUT_MS,
    );
    expect_service_answer(outgoing.send(&cluster.http, tickets[1].0).await);
    expect_service_answer(outgoing.send(&cluster.http, tickets[2].0).await);
    let late = expect_refusal(outgoing.send(&cluster.http, tickets[0].0).await);
    assert_eq!(late.kind, ErrorKind::OutcomeUnknown);
    assert_eq!(count_runs(&cluster, "slip-3"), 1);
}

/// Returns a counter's value, if the daemon answers and shows it.
async fn read_counter(cluster: &Cluster, address: SocketAddr, name: &str) -> Option<u64> {
    let request = get(address, "/metrics");
    let text = cluster.http.exchange(address, request, 1_000).await.ok()?;
    let text = String::from_utf8(text.to_vec()).ok()?;
    let prefix = format!("chicoryreach_{name} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
    value?.parse().ok()
}

fn get(address: SocketAddr, path: &str) -> Request<Full<bytes::Bytes>> {
    Request::builder()
        .method(Method::GET)
        .uri(format!("http://{address}{path}"))
        .body(Full::default())
        .expect("the request is valid")
}

/// Returns the settings of an engine that sends one token every `chunk_ms`.
fn slow_engine(chunk_ms: u64) -> EngineSettings {
    EngineSettings {
        chunk_tokens: 1,
        chunk_ms,
        ..EngineSettings::default()
    }
}

/// Returns a request whose answer has exactly `max_tokens` tokens.
fn long_request(max_tokens: u32, stream: bool) -> CompletionRequest {
    let prompt = prompts()[0].clone();
    let mut seeds = 0..;
    let seed = seeds.find(|seed| text::token_count(&prompt, *seed, max_tokens) == max_tokens);
    CompletionRequest {
        model: "demand-lm".into(),
        prompt,
        max_tokens,
        seed: seed.expect("a seed gives a long answer"),
        stream,
    }
}

/// Reads a stream to its end, and returns its text and weights versions.
///
/// # Errors
///
/// If the stream carries an error event or ends without its end mark.
async fn read_stream(
    http: &HttpClient,
    address: SocketAddr,
    outgoing: &OutgoingRequest,
) -> Result<(String, Vec<VersionSpan>), String> {
    let request = outgoing.try_build(address).expect("the request is valid");
    let response = http.send(address, request).await;
    read_events(response.map_err(|error| error.to_string())?).await
}

async fn read_events(response: Response<Incoming>) -> Result<(String, Vec<VersionSpan>), String> {
    let body = response.into_body();
    let bytes = BodyStream::new(body)
        .filter_map(|frame| async { frame.map(|frame| frame.into_data().ok()).transpose() });
    let mut events = Box::pin(bytes.eventsource());
    let (mut text, mut weights) = (String::new(), Vec::new());
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| error.to_string())?;
        if event.data == "[DONE]" {
            return Ok((text, weights));
        }
        if event.event == "error" {
            return Err(event.data);
        }
        let chunk: Completion =
            serde_json::from_str(&event.data).map_err(|error| error.to_string())?;
        text += &chunk.choices[0].text;
        weights.extend(chunk.weights);
    }
    Err("the stream ended without its end mark".to_owned())
}

/// Checks that an answer's text is what its weights versions produce.
fn check_answer(request: &CompletionRequest, text: &str, weights: &[VersionSpan]) {
    let mut verdict = Verdict::default();
    let (prompt, seed) = (&request.prompt, request.seed);
    verdict.check_text(prompt, seed, request.max_tokens, text, weights);
    assert_eq!(verdict.broken_promises, Vec::<String>::new());
}

fn generated_tokens(cluster: &Cluster) -> u64 {
    let engines = cluster.world.engines.iter();
    engines.map(|(_, engine)| engine.generated_tokens()).sum()
}

/// The stream lasts longer than callers keep addresses, and longer than the
/// listeners of an earlier version waited.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_finishes_running_work() {
    let mut cluster = Cluster::start(SIZE, slow_engine(120)).await;
    let tickets = collect_tickets(&cluster).await;
    let call = OutgoingRequest::call(
        "slip-4",
        &non_idempotent_call(),
        &tickets[0].1,
        REQUEST_TIMEOUT_MS,
    );
    cluster.world.services[0].1.hold_answers(true);
    let call = spawn_send(&call, tickets[0].0);
    let request = long_request(120, true);
    let stream = OutgoingRequest::completion("stream-4", &request, REQUEST_TIMEOUT_MS);
    let address = tickets[0].0;
    let stream =
        tokio::spawn(async move { read_stream(&HttpClient::new(), address, &stream).await });
    wait_until_call_runs(&cluster, "slip-4").await;
    eventually("the stream has begun", async || {
        (generated_tokens(&cluster) > 0).then_some(())
    })
    .await;
    cluster.signal(0, Signal::TERM);
    let other = tickets[1].0;
    eventually("the address is no longer given out", async || {
        let listed = fetch_addresses(&cluster.http, other).await.ok()?;
        let is_gone = listed.entries.iter().all(|entry| entry.address != address);
        is_gone.then_some(())
    })
    .await;
    let mut ids = 0..;
    let late = eventually("new work is refused", async || {
        let id = format!("late-4-{}", ids.next()?);
        let late = OutgoingRequest::completion(&id, &long_request(1, false), 1_000);
        match late.send(&cluster.http, address).await {
            CallOutcome::Refused(body) => Some(body),
            _ => None,
        }
    })
    .await;
    assert_eq!((late.kind, late.not_run), (ErrorKind::Draining, true));
    assert!(late.retry_at_ms.is_some());
    let (text, weights) = stream
        .await
        .expect("the reader ends")
        .expect("the stream is complete");
    check_answer(&request, &text, &weights);
    cluster.world.services[0].1.hold_answers(false);
    assert_eq!(
        expect_service_answer(call.await.expect("the caller ends")).request_id,
        "slip-4"
    );
    assert_eq!(cluster.exit_code(0).await, Some(0));
    assert_eq!(count_runs(&cluster, "slip-4"), 1);
}

/// The answer has more bytes than the sockets buffer, and its caller reads none
/// of them before the daemon refuses new work.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_waits_for_slow_readers() {
    const TOKENS: u32 = 800_000;
    let engine = EngineSettings {
        chunk_tokens: 800,
        ..slow_engine(0)
    };
    let mut cluster = Cluster::start(SIZE, engine).await;
    let address = cluster.caller_addresses()[0];
    let request = long_request(TOKENS, true);
    let outgoing = OutgoingRequest::completion("slow-9", &request, REQUEST_TIMEOUT_MS);
    let sent = outgoing.try_build(address).expect("the request is valid");
    let response = cluster.http.send(address, sent).await;
    let response = response.expect("the stream begins");
    eventually("the answer is generated", async || {
        (generated_tokens(&cluster) >= u64::from(TOKENS)).then_some(())
    })
    .await;
    cluster.signal(0, Signal::TERM);
    let mut ids = 0..;
    eventually("new work is refused", async || {
        let id = format!("late-9-{}", ids.next()?);
        let late = OutgoingRequest::completion(&id, &long_request(1, false), 1_000);
        let outcome = late.send(&cluster.http, address).await;
        matches!(outcome, CallOutcome::Refused(_)).then_some(())
    })
    .await;
    let (text, weights) = read_events(response).await.expect("the stream is complete");
    check_answer(&request, &text, &weights);
    assert_eq!(cluster.exit_code(0).await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends_the_process_at_once() {
    let mut cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let tickets = collect_tickets(&cluster).await;
    let call = OutgoingRequest::call(
        "slip-5",
        &non_idempotent_call(),
        &tickets[0].1,
        REQUEST_TIMEOUT_MS,
    );
    cluster.world.services[0].1.hold_answers(true);
    let call = spawn_send(&call, tickets[0].0);
    wait_until_call_runs(&cluster, "slip-5").await;
    cluster.signal(0, Signal::TERM);
    let (other, address) = (tickets[1].0, tickets[0].0);
    eventually("the address is no longer given out", async || {
        let listed = fetch_addresses(&cluster.http, other).await.ok()?;
        let is_gone = listed.entries.iter().all(|entry| entry.address != address);
        is_gone.then_some(())
    })
    .await;
    cluster.signal(0, Signal::TERM);
    assert!(cluster.exit_code(0).await.is_some());
    assert!(matches!(call.await, Ok(CallOutcome::Failed(_))));
}

#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
#[tokio::test(flavor = "multi_thread")]
async fn answer_is_complete_after_its_engine_crashes(#[case] stream: bool) {
    let cluster = Cluster::start(SIZE, slow_engine(20)).await;
    let address = cluster.caller_addresses()[0];
    let request = long_request(60, stream);
    let outgoing = OutgoingRequest::completion("crash-6", &request, REQUEST_TIMEOUT_MS);
    let reader = tokio::spawn(async move {
        let http = HttpClient::new();
        if stream {
            return read_stream(&http, address, &outgoing).await;
        }
        match outgoing.send(&http, address).await {
            CallOutcome::Answer(body) => {
                let completion = parse_completion(&body)?;
                Ok((completion.choices[0].text.clone(), completion.weights))
            }
            other => Err(format!("{other:?}")),
        }
    });
    let engines = &cluster.world.engines;
    eventually("an engine is in the middle of the answer", async || {
        let (_, engine) = engines.iter().find(|(_, engine)| engine.running() > 0)?;
        (engine.generated_tokens() > 5).then(|| engine.crash())
    })
    .await;
    let (text, weights) = reader
        .await
        .expect("the reader ends")
        .expect("the stream is complete");
    check_answer(&request, &text, &weights);
    let crashed = engines
        .iter()
        .filter(|(_, engine)| engine.incarnation() > 1);
    assert_eq!(crashed.count(), 1);
}

#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_request_is_cancelled(#[case] stream: bool) {
    let cluster = Cluster::start(SIZE, slow_engine(50)).await;
    let address = cluster.caller_addresses()[0];
    let request = long_request(600, stream);
    let outgoing = OutgoingRequest::completion("gone-7", &request, REQUEST_TIMEOUT_MS);
    let caller = tokio::spawn(async move {
        let http = HttpClient::new();
        if stream {
            drop(read_stream(&http, address, &outgoing).await);
        } else {
            outgoing.send(&http, address).await;
        }
    });
    eventually("the answer has begun", async || {
        (generated_tokens(&cluster) > 0).then_some(())
    })
    .await;
    caller.abort();
    let control = cluster.control_addresses()[0];
    eventually("the daemon abandons the request", async || {
        (read_counter(&cluster, control, "abandoned_total").await? == 1).then_some(())
    })
    .await;
    eventually("the engine stops", async || {
        let mut engines = cluster.world.engines.iter();
        engines
            .all(|(_, engine)| engine.running() == 0)
            .then_some(())
    })
    .await;
    assert!(generated_tokens(&cluster) < 600);
    let short = long_request(5, false);
    let again = OutgoingRequest::completion("gone-7", &short, REQUEST_TIMEOUT_MS);
    assert!(matches!(
        again.send(&cluster.http, address).await,
        CallOutcome::Answer(_)
    ));
}

/// With one caller the content is in flight once at a time, for which the limit
/// is five crashes.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_endpoints_is_quarantined() {
    const MAX_CRASHES: u64 = 5;
    let engine = EngineSettings {
        restart_ms: 100,
        ..EngineSettings::default()
    };
    let cluster = Cluster::start(SIZE, engine).await;
    let tickets = collect_tickets(&cluster).await;
    let mut request = long_request(8, false);
    request.prompt = format!("{CRASH_MARK} {}", request.prompt).into();
    let mut quarantined_in_a_row = 0;
    for number in 0..30 {
        request.seed = number;
        let address = tickets
            [usize::try_from(number).expect("the number fits into a usize") % SIZE.daemons]
            .0;
        let id = format!("crash-8-{number}");
        let outgoing = OutgoingRequest::completion(&id, &request, REQUEST_TIMEOUT_MS);
        let body = expect_refusal(outgoing.send(&cluster.http, address).await);
        assert!(
            !body.not_run || body.kind == ErrorKind::NoEndpoint,
            "{body:?}"
        );
        let is_quarantined = body.kind == ErrorKind::Quarantined;
        quarantined_in_a_row = if is_quarantined {
            quarantined_in_a_row + 1
        } else {
            0
        };
    }
    assert!(
        quarantined_in_a_row >= SIZE.daemons,
        "{quarantined_in_a_row}"
    );
    let engines = cluster.world.engines.iter();
    let crashes: u64 = engines.map(|(_, engine)| engine.incarnation() - 1).sum();
    assert!((1..=MAX_CRASHES).contains(&crashes), "{crashes}");
    let harmless = long_request(8, false);
    for (number, (address, _)) in tickets.iter().enumerate() {
        let outgoing =
            OutgoingRequest::completion(&format!("fine-8-{number}"), &harmless, REQUEST_TIMEOUT_MS);
        eventually("a harmless request is answered", async || {
            match outgoing.send(&cluster.http, *address).await {
                CallOutcome::Answer(body) => {
                    let answer = parse_completion(&body).expect("the answer can be read");
                    check_answer(&harmless, &answer.choices[0].text, &answer.weights);
                    Some(())
                }
                _ => None,
            }
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_its_error_kind() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let tickets = collect_tickets(&cluster).await;
    let (address, http) = (tickets[0].0, &cluster.http);
    let valid = OutgoingRequest::completion("bad-0", &long_request(4, false), REQUEST_TIMEOUT_MS);
    let changed = |id: &str, change: &dyn Fn(&mut OutgoingRequest)| {
        let mut outgoing = valid.clone();
        outgoing.id = id.to_owned();
        change(&mut outgoing);
        outgoing
    };
    let mut unknown = long_request(4, false);
    unknown.model = "no-lm".into();
    let call = |ticket: &str| {
        OutgoingRequest::call("bad-9", &non_idempotent_call(), ticket, REQUEST_TIMEOUT_MS)
    };
    let cases = [
        (
            changed("bad-1", &|outgoing| {
                outgoing.body = outgoing.body.slice(..20);
            }),
            ErrorKind::BadRequest,
        ),
        (
            changed("bad-2", &|outgoing| {
                outgoing.body = r#"{"model": 5, "prompt": []}"#.into();
            }),
            ErrorKind::BadRequest,
        ),
        (
            changed("bad-3", &|outgoing| {
                outgoing.body = vec![b' '; 5 * 1024 * 1024].into();
            }),
            ErrorKind::BodyTooLarge,
        ),
        (
            OutgoingRequest::completion("bad-4", &unknown, REQUEST_TIMEOUT_MS),
            ErrorKind::UnknownService,
        ),
        (
            changed("bad-5", &|outgoing| outgoing.timeout_ms = 0),
            ErrorKind::DeadlinePassed,
        ),
        (changed("bad id", &|_| {}), ErrorKind::BadRequest),
        (
            changed("bad-6", &|outgoing| outgoing.ticket = "?".to_owned()),
            ErrorKind::BadRequest,
        ),
        (call(""), ErrorKind::TicketInvalid),
        (call("vm-0.1.99999999999999"), ErrorKind::OutcomeUnknown),
        (call("no-such-vm.1.1"), ErrorKind::OutcomeUnknown),
    ];
    for (outgoing, kind) in cases {
        let body = expect_refusal(outgoing.send(http, address).await);
        assert_eq!(body.kind, kind, "{}: {}", outgoing.id, body.message);
        assert_eq!(body.not_run, kind != ErrorKind::OutcomeUnknown);
    }
    let first = OutgoingRequest::call(
        "bad-7",
        &non_idempotent_call(),
        &tickets[0].1,
        REQUEST_TIMEOUT_MS,
    );
    expect_service_answer(first.send(http, address).await);
    let mut other = first.clone();
    other.body = "hotel=rynek room=401 items=cola:9".into();
    let body = expect_refusal(other.send(http, address).await);
    assert_eq!(body.kind, ErrorKind::IdReused);
    assert_eq!(count_runs(&cluster, "bad-7"), 1);
    let unknown_path = get(address, "/v1/no-such-path");
    let answer = http
        .send(address, unknown_path)
        .await
        .expect("the daemon answers");
    assert_eq!(answer.status().as_u16(), 400);
    let body = answer
        .into_body()
        .collect()
        .await
        .expect("the answer has a body");
    let body: ErrorBody =
        serde_json::from_slice(&body.to_bytes()).expect("the error is one of the known kinds");
    assert_eq!(body.kind, ErrorKind::BadRequest);
}
