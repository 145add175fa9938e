//! Guards against a VM that is killed because the bodies of several requests, each within
//! the limit, exceed its memory together.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fleet::{Fleet, HOST, SAMPLER_SETTINGS, config};

/// The memory of a VM, as the fleet sets it.
const MEMORY_BYTES: u64 = 140_000_000;
const BODY_LIMIT_BYTES: usize = 33_554_432;
const LARGE_BYTES: usize = 30_000_000;
const LARGE_BODIES: usize = 8;
const PIECE_BYTES: usize = 100_000;
const SMALL_BYTES: usize = 600;
const DEADLINE_MS: u64 = 8_000;

/// How a body's length is known to the VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Stated,
    Chunked,
}

/// How a request ended.
#[derive(Debug, Default)]
struct Ended {
    status: u16,
    has_retry_after: bool,
}

async fn start_fleet() -> Fleet {
    let fleet = Fleet::start(1, SAMPLER_SETTINGS).await;
    let mut config = config(2);
    config["limits"]["body_bytes"] = BODY_LIMIT_BYTES.into();
    let text = STANDARD.encode(config.to_string());
    fleet
        .store
        .with_store(|store| store.put("op", "config", text));
    let is_known = |log: &str| log.contains("\"version\":2");
    while !is_known(&fleet.vms[0].log_text()) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet
}

fn head(id: &str, framing: Framing, bytes: usize, deadline_ms: u64) -> String {
    let length = match framing {
        Framing::Stated => format!("Content-Length: {bytes}"),
        Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
    };
    format!(
        "POST /patient/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n{length}\r\n\r\n"
    )
}

fn framed(piece: &[u8], framing: Framing) -> Vec<u8> {
    match framing {
        Framing::Stated => piece.to_vec(),
        Framing::Chunked => {
            let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
            chunk.extend_from_slice(piece);
            chunk.extend_from_slice(b"\r\n");
            chunk
        }
    }
}

/// Sends a whole body, as fast as it is taken.
async fn send_body(vm: SocketAddr, id: String, framing: Framing, bytes: usize) -> Ended {
    let connection = TcpStream::connect(vm).await;
    let (mut reader, mut writer) = connection.expect("it connects").into_split();
    let sending = tokio::spawn(async move {
        let head = head(&id, framing, bytes, DEADLINE_MS);
        writer.write_all(head.as_bytes()).await?;
        let body = vec![b'x'; bytes];
        for piece in body.chunks(PIECE_BYTES) {
            writer.write_all(&framed(piece, framing)).await?;
        }
        if framing == Framing::Chunked {
            writer.write_all(b"0\r\n\r\n").await?;
        }
        Ok::<_, std::io::Error>(writer)
    });
    let mut bytes = Vec::new();
    let ended = loop {
        let read = reader.read_buf(&mut bytes).await;
        let is_over = !matches!(read, Ok(count) if count > 0);
        if is_over || bytes.windows(4).any(|end| end == b"\r\n\r\n") {
            break parse(&bytes);
        }
    };
    sending.abort();
    ended
}

fn parse(bytes: &[u8]) -> Ended {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ended {
        status: status.unwrap_or(0),
        has_retry_after: text.contains("\r\nretry-after: "),
    }
}

/// Sends small requests one after the other until told to stop; returns how many were
/// sent and how those ended that were not served.
async fn send_small(vm: SocketAddr, is_over: Arc<AtomicBool>) -> (u32, Vec<Ended>) {
    let (mut sent, mut failed) = (0, Vec::new());
    while !is_over.load(Ordering::SeqCst) {
        sent += 1;
        let ended = send_body(vm, format!("small-{sent}"), Framing::Stated, SMALL_BYTES).await;
        if ended.status != 200 {
            failed.push(ended);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (sent, failed)
}

/// Bodies that do not fit together wait unread, or are refused with a time to come back;
/// small requests go on.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_bodies_leave_memory_for_others(
    #[values(Framing::Stated, Framing::Chunked)] framing: Framing,
) {
    let fleet = start_fleet().await;
    let vm = fleet.vms[0].addresses["callers"];
    let is_over = Arc::new(AtomicBool::new(false));
    let small = tokio::spawn(send_small(vm, is_over.clone()));
    let sends = (0..LARGE_BODIES)
        .map(|number| send_body(vm, format!("large-{number}"), framing, LARGE_BYTES));
    let ended = futures_util::future::join_all(sends).await;
    is_over.store(true, Ordering::SeqCst);
    let (sent, failed) = small.await.expect("the task ends");
    let peak_bytes = fleet.vms[0].peak_memory_bytes();
    assert!(peak_bytes < MEMORY_BYTES, "{peak_bytes} bytes, {ended:?}");
    assert!(sent > 0 && failed.is_empty(), "{failed:?} of {sent}");
    let served = ended.iter().filter(|ended| ended.status == 200).count();
    let is_proper =
        |ended: &Ended| ended.status == 200 || (ended.status == 503 && ended.has_retry_after);
    assert!(served > 0 && ended.iter().all(is_proper), "{ended:?}");
}

const TRICKLING_SENDERS: usize = 240;
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);
const TRICKLE_DEADLINE_MS: u64 = 3_000;
/// By when, after their deadline, all that trickle have their answer.
const ANSWERED_WITHIN: Duration = Duration::from_millis(1_500);

/// Sends a byte of a body now and then; returns how long the VM kept the connection.
async fn trickle(vm: SocketAddr, id: String, framing: Framing) -> Duration {
    let mut connection = TcpStream::connect(vm).await.expect("it connects");
    let head = head(&id, framing, LARGE_BYTES, TRICKLE_DEADLINE_MS);
    let started = Instant::now();
    let (mut reader, mut writer) = connection.split();
    let sending = async {
        let _ = writer.write_all(head.as_bytes()).await;
        loop {
            tokio::time::sleep(TRICKLE_INTERVAL).await;
            let _ = writer.write_all(&framed(b"x", framing)).await;
        }
    };
    let mut answer = [0; 1];
    tokio::select! {
        () = sending => {}
        _ = reader.read(&mut answer) => {}
    }
    started.elapsed()
}

/// Guards against senders that trickle and hold the memory of others, for ever.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn senders_that_trickle_leave_memory_for_others(
    #[values(Framing::Stated, Framing::Chunked)] framing: Framing,
) {
    let fleet = start_fleet().await;
    let vm = fleet.vms[0].addresses["callers"];
    let senders: Vec<_> = (0..TRICKLING_SENDERS)
        .map(|number| tokio::spawn(trickle(vm, format!("trickle-{number}"), framing)))
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let large = send_body(vm, "large".to_owned(), framing, LARGE_BYTES).await;
    let small = send_body(vm, "small".to_owned(), framing, SMALL_BYTES).await;
    assert_eq!((large.status, small.status), (200, 200));
    let deadline = Duration::from_millis(TRICKLE_DEADLINE_MS) + ANSWERED_WITHIN;
    for sender in senders {
        let kept = tokio::time::timeout(deadline, sender).await;
        let kept = kept.expect("the sender is answered").expect("it ends");
        assert!(kept < deadline, "kept for {kept:?}");
    }
    let peak_bytes = fleet.vms[0].peak_memory_bytes();
    assert!(peak_bytes < MEMORY_BYTES, "{peak_bytes} bytes");
}
