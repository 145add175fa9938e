//! A few clients ask a VM that has just been started again for bodies of items, while
//! others send ordinary requests.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::Method;
use rustix::process::Signal;
use standins::fleet::SamplerSettings;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
};

use crate::{
    Outcome,
    fleet::{Fleet, HOST, batch_body, call, config},
    platform::MemoryWatch,
    record::Record,
    store_front::{self, Terms},
};

const VMS: usize = 3;
/// The memory of the machines of Emra.
const MEMORY_MB: u64 = 140;
/// One share, which one VM runs.
const ITEMS: usize = 48;
const BODY_BYTES: usize = 470_000;
/// Clients that each ask for the body of one item.
const READERS: usize = 12;
/// Clients that send one ordinary request after the other on a kept connection.
const CALLERS: usize = 12;
const CONTACT: Duration = Duration::from_millis(3_000);
const WATCHED: Duration = Duration::from_secs(20);
/// More than so many requests cut off break the rule.
const MAX_CUT: usize = 3;
/// Items take longer than the script, so that none is listed; requests take 0.2 s.
const SAMPLERS: SamplerSettings = SamplerSettings {
    events: 1_000,
    event_ms: 200,
    padding_bytes: 0,
    work_ms: 200,
    load_ms: 200,
};

pub async fn play(has_trouble: bool, record: &mut Record) -> Outcome {
    let mut fleet = Fleet::new(VMS, MEMORY_MB, &config(1), SAMPLERS).await;
    let terms = Terms::new(Arc::new(|_| {}));
    for machine in &mut fleet.machines {
        machine.store_address = store_front::start(machine.store_address, terms.clone()).await;
    }
    fleet.start_vms().await;
    // The same VM runs the first share of each batch job of a route.
    let runner = submit(&fleet, 0, "b0", 100, record).await;
    let vm = (runner + 1) % VMS;
    assert_eq!(submit(&fleet, vm, "b1", BODY_BYTES, record).await, runner);
    let mut watch = MemoryWatch::new(&fleet);
    if has_trouble {
        fleet.signal(vm, Signal::KILL);
        record.line(format!("vm-{vm} is killed"));
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.restart(vm).await;
        fleet.wait_until_ready(vm).await;
        record.line(format!("vm-{vm} is ready again"));
    }
    tokio::time::sleep(CONTACT + Duration::from_secs(1)).await;
    let to = fleet.callers(vm);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(send_requests(to, number, is_over.clone()));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    record.line(format!(
        "{READERS} clients ask vm-{vm} for the body of an item of b1, {CALLERS} others send requests"
    ));
    let mut readers = JoinSet::new();
    for number in 0..READERS {
        readers.spawn(async move {
            let path = format!("/v1/items/b1?id=b1-s{number}");
            let answer = call(Method::GET, to, &path, "reader", Bytes::new()).await;
            answer.map_or((0, 0), |answer| (answer.status, answer.body.len()))
        });
    }
    let ended_at = tokio::time::Instant::now() + WATCHED;
    let mut answers = Vec::new();
    let mut peak_mb = 0;
    while tokio::time::Instant::now() < ended_at && answers.len() < READERS {
        peak_mb = peak_mb.max(fleet.vms[vm].peak_bytes() / 1_000_000);
        watch.check(&mut fleet, record).await;
        while let Some(Ok(answer)) = readers.try_join_next() {
            answers.push(answer);
        }
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    is_over.store(true, Ordering::SeqCst);
    record.line(format!(
        "answers to the readers, with their bytes: {answers:?}"
    ));
    let ran: BTreeSet<String> = fleet
        .plain_samplers
        .iter()
        .flat_map(|sampler| sampler.run_request_ids())
        .collect();
    let (mut served, mut cut) = (0, Vec::new());
    while let Some(Ok(sent)) = callers.join_next().await {
        served += sent.served;
        cut.extend(sent.cut.filter(|id| ran.contains(id)));
    }
    record.line(format!(
        "ends by memory {:?}, the highest peak of vm-{vm} {peak_mb} MB; {served} requests served, \
         {} passed on to a sampler and cut off: {cut:?}",
        watch.ends,
        cut.len()
    ));
    if cut.len() > MAX_CUT {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Submits a batch job to a VM; returns the VM that runs its share.
async fn submit(
    fleet: &Fleet,
    vm: usize,
    id: &str,
    body_bytes: usize,
    record: &mut Record,
) -> usize {
    let body = Bytes::from(batch_body(id, ITEMS, body_bytes).to_string());
    let bytes = body.len();
    let path = format!("/lots/{id}");
    let status = fleet.status(Method::POST, vm, &path, id, body).await;
    record.line(format!(
        "batch job {id} of {ITEMS} items, {bytes} bytes, sent to vm-{vm}: {status}"
    ));
    assert_eq!(status, 202, "not accepted");
    let claimed = format!("\"message\":\"share claimed\",\"batch\":\"{id}\"");
    for _ in 0..500 {
        if let Some(runner) = (0..VMS).find(|vm| fleet.vms[*vm].log_text().contains(&claimed)) {
            record.line(format!("vm-{runner} runs {id}"));
            return runner;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no VM runs {id}");
}

/// What one client sent on its connection.
struct Sent {
    served: usize,
    /// The request during which the connection ended.
    cut: Option<String>,
}

async fn send_requests(to: SocketAddr, number: usize, is_over: Arc<AtomicBool>) -> Sent {
    let mut connection = TcpStream::connect(to).await.expect("it connects");
    let mut sent = Sent {
        served: 0,
        cut: None,
    };
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("c{number}-{}", sent.served);
        let head = format!(
            "POST /slips/lookup HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
        );
        let is_sent = connection.write_all(head.as_bytes()).await.is_ok();
        if !is_sent || !has_answer(&mut connection).await {
            sent.cut = Some(id);
            return sent;
        }
        sent.served += 1;
    }
    sent
}

/// Reads an answer with a stated length; returns whether it is complete.
async fn has_answer(connection: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|end| end == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length
                .and_then(|text| text.trim().parse().ok())
                .unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                return true;
            }
        }
        match connection.read_buf(&mut bytes).await {
            Ok(count) if count > 0 => {}
            _ => return false,
        }
    }
}
