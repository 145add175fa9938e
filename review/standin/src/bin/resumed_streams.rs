//! Most machines are killed at once. Clients take their streams up again at the machine
//! that is left, while the samplers of their software version serve.

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
    deployment::{Entry, HOST, Starter, Vm, keep_entry, put_config, record_path},
    has_trouble,
    http::Connection,
    record::Record,
};
use rustix::process::Signal;
use serde_json::json;
use standins::fleet::StoreServer;
use tokio::net::TcpListener;

const VMS: usize = 8;
/// The samplers of each of two software versions.
const SAMPLERS_PER_VERSION: usize = 4;
const STREAMS_PER_VM: usize = 4;
const EVENTS: u64 = 27;
const EVENT_MS: u64 = 140;
/// How many events a client has when its stream breaks off.
const EVENTS_BEFORE: u64 = 4;
/// How often a client comes back.
const RETRIES: u32 = 3;
/// How long the killed machines are down.
const DOWN: Duration = Duration::from_secs(2);

async fn serve_sampler(id: String, record: Record, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (id, record) = (id.clone(), record.clone());
        tokio::spawn(async move {
            let mut connection = Connection::new(stream);
            while let Ok(Some(head)) = connection.read_head().await {
                let Ok(Some(_)) = connection.read_request_body(&head).await else {
                    return;
                };
                let request = head.get("x-request-id");
                let after: u64 = head.get("last-event-id").parse().unwrap_or(0);
                record.line(&format!("{id} runs {request} after event {after}"));
                if stream_events(&id, &request, after, &mut connection)
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
    }
}

async fn stream_events(
    sampler: &str,
    request: &str,
    after: u64,
    connection: &mut Connection,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request}\r\n\
         X-Response-Stamp: stamp-{sampler}-{request}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.write(head.as_bytes()).await?;
    for number in after + 1..=EVENTS {
        tokio::time::sleep(Duration::from_millis(EVENT_MS)).await;
        let event = format!("id: {number}\ndata: event {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        connection.write(chunk.as_bytes()).await?;
    }
    connection.write(b"0\r\n\r\n").await
}

/// A stream that a client reads.
struct Stream {
    connection: Connection,
    status: u16,
    /// After how many seconds the client may come back, if the answer says so.
    retry_after_s: Option<f64>,
}

/// Sends a stream and reads the head of its answer.
async fn begin(address: SocketAddr, id: &str, resumed: Option<&str>) -> Option<Stream> {
    let resumed = resumed.map_or_else(String::new, |first| {
        format!("Resumes: {first}\r\nLast-Event-Id: {EVENTS_BEFORE}\r\n")
    });
    let request = format!(
        "POST /chats/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 12000\r\n{resumed}Content-Length: 5\r\n\r\nhello"
    );
    let mut connection = Connection::open(address).await.ok()?;
    connection.write(request.as_bytes()).await.ok()?;
    let head = connection.read_head().await.ok()??;
    let status = head.line.split(' ').nth(1)?.parse().ok()?;
    Some(Stream {
        retry_after_s: head.get("retry-after").parse().ok(),
        connection,
        status,
    })
}

impl Stream {
    /// Reads events; returns whether `count` of them came.
    async fn read_events(&mut self, count: u64) -> bool {
        let mut read = 0;
        while read < count {
            let Ok(Some(line)) = self.connection.read_exact(1).await else {
                return false;
            };
            read += u64::from(line == b"d");
            if line == b"d" {
                // The rest of "data: event N" and its line end.
                while !matches!(self.connection.read_exact(1).await, Ok(Some(byte)) if byte == b"\n")
                {
                    if self.connection.read_exact(0).await.is_err() {
                        return false;
                    }
                }
            }
        }
        true
    }
}

/// Begins a stream or takes one up, with retries; returns whether an event came.
async fn try_stream(record: &Record, address: SocketAddr, id: &str, resumed: Option<&str>) -> bool {
    for retry in 0..=RETRIES {
        let id = format!("{id}-{retry}");
        let Some(mut stream) = begin(address, &id, resumed).await else {
            record.line(&format!("client: {id} gets no answer"));
            continue;
        };
        record.line(&format!(
            "client: {id} (resumes {resumed:?}) is answered {}",
            stream.status
        ));
        if stream.status == 200 {
            return stream.read_events(1).await;
        }
        let wait_s = stream.retry_after_s.unwrap_or(0.0).clamp(0.25, 1.0);
        tokio::time::sleep(Duration::from_secs_f64(wait_s)).await;
    }
    false
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
                "service": "lm", "attempts": 3, "resumable": true}]),
    );
    let is_on = Arc::new(AtomicBool::new(true));
    for number in 0..2 * SAMPLERS_PER_VERSION {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let id = format!("i-model-{number}");
        let version = if number < SAMPLERS_PER_VERSION {
            "v1"
        } else {
            "v2"
        };
        let entry = Entry {
            id: id.clone(),
            service: "lm".to_owned(),
            address: listener.local_addr().expect("an address"),
            zone: "dc-1".to_owned(),
            software: version.to_owned(),
            slots: 12,
            state: "ready".to_owned(),
            seq: 0,
        };
        keep_entry(store.writer(), entry, is_on.clone());
        tokio::spawn(serve_sampler(id, record.clone(), listener));
    }
    let mut starter = Starter::new("resumed");
    let mut vms: Vec<Vm> = Vec::new();
    for number in 0..VMS {
        let seeds: Vec<SocketAddr> = vms.iter().take(3).map(|vm| vm.addresses["peers"]).collect();
        vms.push(
            starter
                .start(
                    &format!("vm-{number}"),
                    "dc-1",
                    store.addresses[number],
                    &seeds,
                )
                .await,
        );
    }
    // All machines know one another, and have been calm for contact_ms (3,000).
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let left = VMS - 1;
    let mut begun: BTreeMap<String, Stream> = BTreeMap::new();
    for number in 0..left * STREAMS_PER_VM {
        let id = format!("first-{number}");
        let address = vms[number % left].callers();
        match begin(address, &id, None).await {
            Some(stream) if stream.status == 200 => {
                begun.insert(id, stream);
            }
            _ => record.line(&format!("client: {id} does not begin")),
        }
    }
    let reads = begun.into_iter().map(|(id, mut stream)| {
        tokio::spawn(async move {
            stream
                .read_events(EVENTS_BEFORE)
                .await
                .then_some((id, stream))
        })
    });
    let mut open = Vec::new();
    for read in reads.collect::<Vec<_>>() {
        open.extend(read.await.expect("the task ends"));
    }
    record.say(&format!(
        "{} streams have {EVENTS_BEFORE} events or more",
        open.len()
    ));
    if open.len() < 12 {
        return ExitCode::from(2);
    }
    if has_trouble() {
        record.line(&format!("SIGKILL to all machines but vm-{left}"));
        for vm in vms.iter().take(left) {
            vm.signal(Signal::KILL);
        }
    }
    // The clients' connections are broken, or they close them.
    let ids: Vec<String> = open.into_iter().map(|(id, _)| id).collect();
    let address = vms[left].callers();
    let results: Arc<Mutex<(u32, u32)>> = Arc::default();
    let mut tries = Vec::new();
    let count = u32::try_from(ids.len()).expect("few");
    for (number, id) in ids.into_iter().enumerate() {
        let (record, results) = (record.clone(), results.clone());
        tries.push(tokio::spawn(async move {
            let went_on = try_stream(&record, address, &format!("again-{number}"), Some(&id)).await;
            let begins = try_stream(&record, address, &format!("new-{number}"), None).await;
            let mut results = results.lock().expect("no panic");
            results.0 += u32::from(went_on);
            results.1 += u32::from(begins);
        }));
    }
    tokio::time::sleep(DOWN).await;
    if has_trouble() {
        for number in 0..left {
            let store_address = store.addresses[number];
            let seeds = [vms[left].addresses["peers"]];
            vms[number] = starter
                .start(&format!("vm-{number}"), "dc-1", store_address, &seeds)
                .await;
        }
        record.line("all machines are back");
    }
    for attempt in tries {
        let _ = attempt.await;
    }
    is_on.store(false, Ordering::SeqCst);
    let (went_on, begins) = *results.lock().expect("no panic");
    record.say(&format!(
        "taken up again at a machine in touch {count}, went on {went_on}; new streams {count}, begun {begins}; \
         {SAMPLERS_PER_VERSION} samplers of each version serve"
    ));
    if begins == 0 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(went_on * 2 < begins))
}
