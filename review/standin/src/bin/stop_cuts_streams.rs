//! A machine is stopped as planned. Clients that still hold its address send streams on
//! the connections that they keep open.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use review_standin::{
    bounded,
    deployment::{Entry, GRACE_S, HOST, Starter, keep_entry, put_config, record_path},
    has_trouble,
    http::Connection,
    record::Record,
};
use rustix::process::Signal;
use serde_json::{Value, json};
use standins::fleet::StoreServer;
use tokio::{net::TcpListener, time::Instant};

const VMS: usize = 2;
const SAMPLERS: usize = 3;
/// The events of a stream, as on the sheet of `notice-lot`.
const EVENTS: u64 = 27;
/// The time between two events: within the pauses of 150 ms that the sheet allows.
const EVENT_MS: u64 = 140;
/// The first and the last moment after the SIGTERM at which a client sends its stream,
/// and the step between them, in milliseconds.
const FIRST_SEND_MS: u64 = 3_200;
const LAST_SEND_MS: u64 = 5_200;
const SEND_STEP_MS: u64 = 200;

/// How many events of each stream the samplers have made.
type Runs = Arc<Mutex<BTreeMap<String, u64>>>;

/// How a client saw its stream.
struct Seen {
    id: String,
    sent_ms: u128,
    ended_ms: u128,
    status: u16,
    is_complete: bool,
}

async fn serve_sampler(id: String, record: Record, runs: Runs, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (id, record, runs) = (id.clone(), record.clone(), runs.clone());
        tokio::spawn(async move {
            let mut connection = Connection::new(stream);
            while let Ok(Some(head)) = connection.read_head().await {
                let Ok(Some(_)) = connection.read_request_body(&head).await else {
                    return;
                };
                let request = head.get("x-request-id");
                record.line(&format!("{id} runs {request}"));
                runs.lock().expect("no panic").insert(request.clone(), 0);
                if stream_events(&id, &request, &mut connection, &runs)
                    .await
                    .is_err()
                {
                    record.line(&format!("{id} finds the connection of {request} closed"));
                    return;
                }
                record.line(&format!("{id} has sent all events of {request}"));
            }
        });
    }
}

async fn stream_events(
    sampler: &str,
    request: &str,
    connection: &mut Connection,
    runs: &Runs,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request}\r\n\
         X-Response-Stamp: stamp-{sampler}-{request}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.write(head.as_bytes()).await?;
    let events = if request.starts_with("warm") {
        1
    } else {
        EVENTS
    };
    for number in 1..=events {
        tokio::time::sleep(Duration::from_millis(EVENT_MS)).await;
        let event = format!("id: {number}\ndata: {request} event {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        connection.write(chunk.as_bytes()).await?;
        runs.lock()
            .expect("no panic")
            .insert(request.to_owned(), number);
    }
    connection.write(b"0\r\n\r\n").await
}

fn stream_request(id: &str) -> String {
    format!(
        "POST /chats/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 12000\r\nContent-Length: 5\r\n\r\nhello"
    )
}

/// Asks a VM where to connect; returns the addresses and how long they may be kept.
async fn resolve(directory: SocketAddr) -> Option<(Vec<SocketAddr>, u64)> {
    let mut connection = Connection::open(directory).await.ok()?;
    let request = format!(
        "GET /v1/resolve?name={HOST}&region=r&zone=dc-1 HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n"
    );
    connection.write(request.as_bytes()).await.ok()?;
    let answer = connection.read_answer().await.ok()??;
    let value: Value = serde_json::from_slice(&answer.body).ok()?;
    let addresses = value["addrs"].as_array()?.iter();
    let addresses = addresses
        .filter_map(|text| text.as_str()?.parse().ok())
        .collect();
    Some((addresses, value["ttl_s"].as_u64()?))
}

async fn send_stream(
    mut connection: Connection,
    id: String,
    at: Instant,
    stopped: Instant,
    record: Record,
) -> Seen {
    tokio::time::sleep_until(at).await;
    let sent_ms = stopped.elapsed().as_millis();
    record.line(&format!("client: sends {id}, {sent_ms} ms after the stop"));
    let answer = match connection.write(stream_request(&id).as_bytes()).await {
        Ok(()) => connection.read_answer().await.ok().flatten(),
        Err(_) => None,
    };
    let ended_ms = stopped.elapsed().as_millis();
    let (status, is_complete) =
        answer.map_or((0, false), |answer| (answer.status, answer.is_complete));
    record.line(&format!(
        "client: {id} ends with status {status}, complete: {is_complete}"
    ));
    Seen {
        id,
        sent_ms,
        ended_ms,
        status,
        is_complete,
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    bounded(run()).await
}

async fn run() -> ExitCode {
    let record = Record::create(&record_path()).expect("the record is created");
    let store = StoreServer::try_start(VMS).await.expect("the store starts");
    put_config(
        &store,
        1,
        json!([{"name": "chats", "host": HOST, "prefix": "/chats/", "kind": "stream",
                "timeout_ms": 10_000, "target_latency_ms": 400, "priority": 1,
                "service": "lm", "attempts": 3}]),
    );
    let is_on = Arc::new(AtomicBool::new(true));
    let runs = Runs::default();
    for number in 0..SAMPLERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let id = format!("i-model-{number}");
        let entry = Entry {
            id: id.clone(),
            service: "lm".to_owned(),
            address: listener.local_addr().expect("an address"),
            zone: "dc-1".to_owned(),
            software: "v1".to_owned(),
            slots: 12,
            state: "ready".to_owned(),
            seq: 0,
        };
        keep_entry(store.writer(), entry, is_on.clone());
        tokio::spawn(serve_sampler(id, record.clone(), runs.clone(), listener));
    }
    let mut starter = Starter::new("stop");
    let first = starter.start("vm-0", "dc-1", store.addresses[0], &[]).await;
    let seeds = [first.addresses["peers"]];
    let second = starter
        .start("vm-1", "dc-1", store.addresses[1], &seeds)
        .await;
    // By now each VM knows the other.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let mut sends = Vec::new();
    let mut open = Vec::new();
    let count = (LAST_SEND_MS - FIRST_SEND_MS) / SEND_STEP_MS + 1;
    for number in 0..count {
        let mut connection = Connection::open(first.callers())
            .await
            .expect("it connects");
        let id = format!("warm-{number}");
        let sent = connection.write(stream_request(&id).as_bytes()).await;
        let answer = connection.read_answer().await.ok().flatten();
        if sent.is_err() || !answer.is_some_and(|answer| answer.is_complete && answer.status == 200)
        {
            record.say("a stream before the stop was not served");
            return ExitCode::from(2);
        }
        open.push(connection);
    }
    let Some((addresses, ttl_s)) = resolve(second.addresses["directory"]).await else {
        record.say("no answer where to connect");
        return ExitCode::from(2);
    };
    record.say(&format!(
        "directory of vm-1: {addresses:?}, ttl_s {ttl_s}; a client keeps it for up to {} s",
        3 * ttl_s
    ));
    if !addresses.contains(&first.callers()) || 3 * ttl_s * 1_000 < LAST_SEND_MS {
        record.say("clients would not use this machine so late");
        return ExitCode::from(2);
    }
    let stopped = Instant::now();
    if has_trouble() {
        record.line("SIGTERM to vm-0");
        first.signal(Signal::TERM);
    }
    for (number, connection) in (0..).zip(open) {
        let at = stopped + Duration::from_millis(FIRST_SEND_MS + number * SEND_STEP_MS);
        let id = format!("late-{number}");
        sends.push(tokio::spawn(send_stream(
            connection,
            id,
            at,
            stopped,
            record.clone(),
        )));
    }
    let mut lost = 0;
    let mut complete = 0;
    for send in sends {
        let seen = send.await.expect("the task ends");
        let run = runs.lock().expect("no panic").get(&seen.id).copied();
        let was_passed_on = run.is_some();
        let events = run.unwrap_or(0);
        complete += u32::from(seen.is_complete && seen.status == 200);
        // A refusal is a complete answer. The samplers here never break off by themselves,
        // and neither the client's 12 s nor the route's 10 s were over.
        let is_lost = was_passed_on
            && !seen.is_complete
            && seen.sent_ms > 3_000
            && seen.ended_ms < seen.sent_ms + 9_000;
        if is_lost {
            lost += 1;
            record.say(&format!(
                "LOST: {} sent {} ms after the SIGTERM, passed on, cut {} ms after it, {events} of {EVENTS} events made",
                seen.id, seen.sent_ms, seen.ended_ms
            ));
        }
    }
    is_on.store(false, Ordering::SeqCst);
    record.say(&format!(
        "streams {count}, complete {complete}, lost {lost} (grace_s {GRACE_S})"
    ));
    drop((first, second));
    if has_trouble() || complete == u32::try_from(count).unwrap_or(0) {
        ExitCode::from(u8::from(lost > 0))
    } else {
        ExitCode::from(2)
    }
}
