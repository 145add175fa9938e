//! Guards against answers that do not end until their connection is closed: VMs that
//! collect them, wait for them or are held up by them.

use std::time::{Duration, Instant};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use rstest::rstest;
use standins::fleet::{EndlessPart, EndlessSampler, SamplerSettings};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fleet::{Fleet, HOST, SAMPLER_SETTINGS, batch_body};

/// The memory of the smallest VMs of the users.
const MAX_MEMORY_BYTES: u64 = 88 * 1024 * 1024;
/// How long after the last request an endless answer may still be read.
const MAX_READ_ON: Duration = Duration::from_secs(3);

/// The number of callers' requests, and how many of them come at once.
const REQUESTS: u32 = 100;
const BURST: u32 = 20;

async fn assert_given_up(fleet: &Fleet, endless: &EndlessSampler) {
    assert!(endless.answers() > 0, "no request reached it");
    let deadline = Instant::now() + MAX_READ_ON;
    while endless.open_answers() > 0 {
        assert!(
            Instant::now() < deadline,
            "{} answers are still being read",
            endless.open_answers()
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let peak = fleet.vms[0].peak_memory_bytes();
    println!("{} answers, peak {} KiB", endless.answers(), peak / 1_024);
    assert!(peak < MAX_MEMORY_BYTES, "{peak} bytes");
}

/// Guards against callers' requests that are not served, although other samplers could,
/// and against memory that an answer without end fills.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_end_are_given_up_and_requests_served_elsewhere(
    #[values(
        EndlessPart::HeaderLine,
        EndlessPart::HeaderLines,
        EndlessPart::InformationalHeads,
        EndlessPart::Chunks,
        EndlessPart::Length,
        EndlessPart::UntilClose,
        EndlessPart::Refusal
    )]
    part: EndlessPart,
) {
    let fleet = Fleet::start_without_vms(1, SAMPLER_SETTINGS).await;
    let endless = EndlessSampler::try_start("i-endless", "slips", None, part, &fleet.store);
    let endless = endless.await.expect("it starts");
    let mut fleet = fleet;
    fleet.start_vms(1).await;
    let callers = fleet.vms[0].addresses["callers"];
    // Bursts, since single requests go where a connection is open.
    let sends = (0..REQUESTS).map(|number| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(number / BURST * Duration::from_millis(400)).await;
            let id = format!("call-{number}");
            let answer = fleet.call(Method::POST, callers, "/slips/1", &id, Bytes::new());
            answer.await.map(|answer| answer.status)
        }
    });
    let statuses = futures_util::future::join_all(sends).await;
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
    assert_given_up(&fleet, &endless).await;
}

/// Guards against samples that end nowhere since one sampler's stream does not end, and
/// against memory that such a stream fills.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_without_end_are_given_up_and_samples_run_elsewhere(
    #[values(
        EndlessPart::HeaderLine,
        EndlessPart::InformationalHeads,
        EndlessPart::EventLine,
        EndlessPart::EventLines,
        EndlessPart::Events,
        EndlessPart::Comments,
        EndlessPart::Refusal
    )]
    part: EndlessPart,
) {
    const SAMPLES: usize = 32;
    let fleet = Fleet::start_without_vms(1, SAMPLER_SETTINGS).await;
    let endless = EndlessSampler::try_start("i-endless", "lm", Some("advice"), part, &fleet.store);
    let endless = endless.await.expect("it starts");
    let mut fleet = fleet;
    fleet.start_vms(1).await;
    fleet.submit_batch(0, "b1", SAMPLES, 1).await;
    let results = fleet.read_all_results(0, "b1", SAMPLES).await;
    fleet.assert_all_complete("b1", &results, SAMPLES, SAMPLER_SETTINGS.events);
    assert_given_up(&fleet, &endless).await;
}

/// Guards against a caller's stream that is passed on beyond the caller's deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_callers_stream_without_end_ends_at_its_deadline() {
    const DEADLINE: Duration = Duration::from_millis(1_500);
    const SLACK: Duration = Duration::from_millis(500);
    let settings = SamplerSettings {
        work_ms: 1,
        ..SAMPLER_SETTINGS
    };
    let mut fleet = Fleet::start_without_vms(1, settings).await;
    // The only sampler of the service that takes work.
    for sampler in &fleet.model_samplers {
        fleet.store.writer().remove("servers", &sampler.id);
    }
    let part = EndlessPart::Events;
    let endless = EndlessSampler::try_start("i-endless", "lm", Some("advice"), part, &fleet.store);
    let endless = endless.await.expect("it starts");
    fleet.start_vms(1).await;
    let mut connection = TcpStream::connect(fleet.vms[0].addresses["callers"])
        .await
        .expect("the VM accepts");
    let head = format!(
        "POST /chats/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: endless\r\n\
         X-Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
        DEADLINE.as_millis()
    );
    let started = Instant::now();
    connection
        .write_all(head.as_bytes())
        .await
        .expect("it is written");
    let mut buffer = vec![0; 64 * 1024];
    let mut received = 0;
    while let Ok(count) = connection.read(&mut buffer).await
        && count > 0
    {
        received += count;
        assert!(
            started.elapsed() < DEADLINE + SLACK,
            "it is still passed on"
        );
    }
    assert!(received > 0, "nothing was passed on");
    assert_given_up(&fleet, &endless).await;
}

/// Guards against whole answers that are taken for heads without end, since the start of
/// their bodies is read together with their heads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_body_that_comes_with_its_head_is_read() {
    const BATCHES: usize = 8;
    const SAMPLES: usize = 32;
    const BODY_BYTES: usize = 16 * 1024;
    let fleet = Fleet::start(2, SAMPLER_SETTINGS).await;
    for batch in 0..BATCHES {
        let batch = format!("b{batch}");
        let mut spec = batch_body(&batch, SAMPLES, 1);
        for sample in spec["requests"].as_array_mut().expect("a list") {
            sample["body"] = STANDARD.encode("x".repeat(BODY_BYTES)).into();
        }
        let callers = [0, 1].map(|vm: usize| fleet.vms[vm].addresses["callers"]);
        let path = format!("/lots/{batch}");
        let body = Bytes::from(spec.to_string());
        let accepted = fleet.call(Method::POST, callers[0], &path, &batch, body);
        assert_eq!(accepted.await.map(|answer| answer.status), Some(200));
        // The other VM reads the batch from the store.
        let path = format!("/v1/items/{batch}?id={batch}-s0");
        let answer = fleet.get(callers[1], &path, "reader").await;
        let answer = answer.expect("the VM answers");
        assert_eq!((answer.status, answer.body.len()), (200, BODY_BYTES));
    }
}
