//! Guards against clients that end a VM's process, or shut other callers out, with large
//! or endless bodies, heads and empty lines on many connections.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Mutex, Semaphore},
    task::JoinSet,
};

use crate::fleet::{Fleet, HOST, SAMPLER_SETTINGS, WAIT_TIMEOUT, config};

/// The memory of the VM: a third of what the smallest VMs have, with a third of their
/// limit on bodies.
const MEMORY_MB: u64 = 40;
const BODY_LIMIT_BYTES: usize = 11_000_000;
/// How many connections are opened at once.
const CLIENTS: usize = 600;
/// How long the clients send and wait before the VM is examined.
const CROWD_TIME: Duration = Duration::from_secs(6);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long each client claims to wait for its answer.
const DEADLINE_MS: u64 = 600_000;
/// How many bytes a body lacks at its end.
const MISSING_BYTES: usize = 10;
const PIECE_BYTES: usize = 50_000;
const LARGE_CHUNK_BYTES: usize = 200_000;
const SMALL_CHUNK_BYTES: usize = 20;
/// How many very small chunks are written together.
const CHUNKS_PER_WRITE: usize = 1_000;
/// Six times the limit on heads.
const LONG_HEAD_BYTES: usize = 100_000;
const EMPTY_LINES_PER_WRITE: usize = 250;
const REQUESTS_PER_WRITE: usize = 25;
const LINES_PER_ROUND: usize = 10;
const LINE_BYTES: usize = 500;

/// The crowds come one after the other.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());
/// How many connections are opened at a time, so that none waits for a resent SYN.
static CONNECTING: Semaphore = Semaphore::const_new(50);

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Crowd {
    WholeBodies,
    BodiesInPieces,
    LargeChunks,
    SmallChunks,
    LongHeads,
    EndlessHeads,
    EmptyLines,
    UnreadAnswers,
}

fn head(number: usize, framing: &str) -> String {
    head_for("patient", number, framing)
}

fn head_for(route: &str, number: usize, framing: &str) -> String {
    format!(
        "POST /{route}/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd-{number}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n\r\n"
    )
}

fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Sends as `crowd` does, until the VM takes no more.
async fn send(
    crowd: Crowd,
    number: usize,
    writer: &mut OwnedWriteHalf,
) -> Result<(), std::io::Error> {
    let stated = format!("Content-Length: {BODY_LIMIT_BYTES}");
    let chunked = "Transfer-Encoding: chunked";
    match crowd {
        Crowd::WholeBodies => {
            let mut request = head(number, &stated).into_bytes();
            request.resize(request.len() + BODY_LIMIT_BYTES, b'x');
            writer.write_all(&request).await?;
        }
        Crowd::BodiesInPieces => {
            writer.write_all(head(number, &stated).as_bytes()).await?;
            let body = vec![b'x'; BODY_LIMIT_BYTES - MISSING_BYTES];
            for piece in body.chunks(PIECE_BYTES) {
                writer.write_all(piece).await?;
                tokio::task::yield_now().await;
            }
        }
        Crowd::LargeChunks => {
            writer.write_all(head(number, chunked).as_bytes()).await?;
            let chunk = chunk(LARGE_CHUNK_BYTES);
            for _ in 0..BODY_LIMIT_BYTES / LARGE_CHUNK_BYTES {
                writer.write_all(&chunk).await?;
            }
        }
        Crowd::SmallChunks => {
            writer.write_all(head(number, chunked).as_bytes()).await?;
            let chunks = chunk(SMALL_CHUNK_BYTES).repeat(CHUNKS_PER_WRITE);
            for _ in 0..BODY_LIMIT_BYTES / chunks.len() {
                writer.write_all(&chunks).await?;
            }
        }
        Crowd::LongHeads => {
            let mut head = head(number, "X-Filler: ").trim_end().as_bytes().to_vec();
            head.resize(LONG_HEAD_BYTES, b'x');
            writer.write_all(&head).await?;
        }
        Crowd::EndlessHeads => {
            let line = head(number, "");
            writer.write_all(line.trim_end().as_bytes()).await?;
            writer.write_all(b"\r\n").await?;
            let line = format!("X-Filler: {}\r\n", "x".repeat(LINE_BYTES));
            send_for_ever(writer, line.as_bytes()).await?;
        }
        Crowd::EmptyLines => send_for_ever(writer, &b"\r\n".repeat(EMPTY_LINES_PER_WRITE)).await?,
        Crowd::UnreadAnswers => {
            // No route leads there, so that no endpoint is busy with them.
            let head = head_for("nowhere", number, "Content-Length: 0");
            send_for_ever(writer, &head.as_bytes().repeat(REQUESTS_PER_WRITE)).await?;
        }
    }
    Ok(())
}

/// Sends the same lines again and again, a piece at a time.
async fn send_for_ever(writer: &mut OwnedWriteHalf, lines: &[u8]) -> Result<(), std::io::Error> {
    loop {
        for _ in 0..LINES_PER_ROUND {
            writer.write_all(lines).await?;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Keeps a connection open until the VM closes it, and reads what the VM answers unless
/// the crowd leaves answers unread.
async fn keep(crowd: Crowd, mut reader: OwnedReadHalf) {
    if crowd == Crowd::UnreadAnswers {
        std::future::pending::<()>().await;
    }
    let mut answer = [0; 1_024];
    while matches!(reader.read(&mut answer).await, Ok(count) if count > 0) {}
}

/// Sends again on a new connection whenever the VM has closed the one before.
async fn attack(crowd: Crowd, number: usize, vm: SocketAddr) {
    loop {
        let permit = CONNECTING.acquire().await.expect("it stays open");
        let connected = TcpStream::connect(vm).await;
        drop(permit);
        if let Ok(stream) = connected {
            let (reader, mut writer) = stream.into_split();
            let send = async {
                // The VM may close the connection at any time.
                let _ = send(crowd, number, &mut writer).await;
                std::future::pending::<()>().await;
            };
            tokio::select! {
                () = send => {}
                () = keep(crowd, reader) => {}
            }
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start_without_vms(1, SAMPLER_SETTINGS).await;
    fleet.memory_mb = MEMORY_MB;
    let mut config = config(1);
    config["limits"]["body_bytes"] = BODY_LIMIT_BYTES.into();
    let text = STANDARD.encode(config.to_string());
    fleet
        .store
        .with_store(|store| store.put("op", "config", text));
    fleet.start_vms(1).await;
    fleet
}

/// Sends an ordinary request until it is answered, as callers that are refused do.
async fn assert_answered(fleet: &Fleet) {
    let vm = fleet.vms[0].addresses["callers"];
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut number = 0;
    loop {
        let id = format!("ordinary-{number}");
        let body = Bytes::from_static(&[b'x'; 600]);
        let answer = fleet.call(Method::POST, vm, "/slips/1", &id, body);
        let status = answer.await.map(|answer| answer.status);
        if status == Some(200) {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "an ordinary request is not answered: {status:?}"
        );
        tokio::time::sleep(RETRY_INTERVAL).await;
        number += 1;
    }
}

fn assert_within_limits(fleet: &mut Fleet, crowd: Crowd) {
    assert!(fleet.is_running(0), "the process has ended under {crowd:?}");
    let (open, limit) = fleet.vms[0].descriptors();
    let peak_bytes = fleet.vms[0].peak_memory_bytes();
    println!("{crowd:?}: peak {peak_bytes} bytes, {open} of {limit} descriptors");
    assert!(open < limit, "{open} of {limit} descriptors are open");
    let limit_bytes = MEMORY_MB * 1_000_000;
    assert!(
        peak_bytes < limit_bytes,
        "{crowd:?}: {peak_bytes} of {limit_bytes} bytes"
    );
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crowd_leaves_the_process_alive(
    #[values(
        Crowd::WholeBodies,
        Crowd::BodiesInPieces,
        Crowd::LargeChunks,
        Crowd::SmallChunks,
        Crowd::LongHeads,
        Crowd::EndlessHeads,
        Crowd::EmptyLines,
        Crowd::UnreadAnswers
    )]
    crowd: Crowd,
) {
    let _one_crowd = ONE_CROWD.lock().await;
    let mut fleet = start_fleet().await;
    let vm = fleet.vms[0].addresses["callers"];
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        clients.spawn(attack(crowd, number, vm));
    }
    tokio::time::sleep(CROWD_TIME).await;
    assert_within_limits(&mut fleet, crowd);
    // The crowd is still there.
    assert_answered(&fleet).await;
    assert_within_limits(&mut fleet, crowd);
}

/// The other listeners keep the same limits.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crowd_at_another_listener_leaves_the_process_alive(
    #[values("peers", "readiness", "directory")] listener: &str,
) {
    let _one_crowd = ONE_CROWD.lock().await;
    let mut fleet = start_fleet().await;
    let address = fleet.vms[0].addresses[listener];
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        clients.spawn(attack(Crowd::LongHeads, number, address));
    }
    tokio::time::sleep(CROWD_TIME).await;
    assert_within_limits(&mut fleet, Crowd::LongHeads);
    assert_answered(&fleet).await;
    assert_within_limits(&mut fleet, Crowd::LongHeads);
}
