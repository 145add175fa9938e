//! Guards against limits on connections that refuse a single client inside the limits.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fleet::{Fleet, HOST, SAMPLER_SETTINGS, WAIT_TIMEOUT, config};

/// The memory of the smallest VMs, and the limits in use there.
const MEMORY_MB: u64 = 120;
const BODY_LIMIT_BYTES: usize = 33_554_432;
const HEAD_LIMIT_BYTES: usize = 16_384;
const PIECE_BYTES: usize = 100_000;
/// Longer than the time for a head, shorter than the idle time.
const IDLE_TIME: Duration = Duration::from_secs(4);
const SLOW_PIECES: usize = 40;

async fn start_fleet() -> (Fleet, SocketAddr) {
    let mut fleet = Fleet::start_without_vms(1, SAMPLER_SETTINGS).await;
    fleet.memory_mb = MEMORY_MB;
    let mut config = config(1);
    config["limits"]["body_bytes"] = BODY_LIMIT_BYTES.into();
    let text = STANDARD.encode(config.to_string());
    fleet
        .store
        .with_store(|store| store.put("op", "config", text));
    fleet.start_vms(1).await;
    let vm = fleet.vms[0].addresses["callers"];
    (fleet, vm)
}

fn head(id: &str, framing: &str) -> String {
    format!(
        "POST /patient/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 30000\r\n{framing}\r\n\r\n"
    )
}

/// Reads the head of an answer and returns its status.
async fn read_status(connection: &mut TcpStream) -> u16 {
    let mut bytes = Vec::new();
    let read = async {
        while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
            let count = connection.read_buf(&mut bytes).await.expect("it is read");
            assert!(count > 0, "the connection is closed without an answer");
        }
    };
    let read = tokio::time::timeout(WAIT_TIMEOUT, read).await;
    read.expect("an answer comes");
    let text = String::from_utf8_lossy(&bytes);
    let status = text.split(' ').nth(1).expect("a status");
    status.parse().expect("a number")
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_of_the_largest_size_is_served(#[values(false, true)] is_chunked: bool) {
    let (fleet, vm) = start_fleet().await;
    let mut connection = TcpStream::connect(vm).await.expect("it connects");
    let framing = if is_chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {BODY_LIMIT_BYTES}")
    };
    let head = head("largest", &framing);
    connection
        .write_all(head.as_bytes())
        .await
        .expect("it is sent");
    let body = vec![b'x'; BODY_LIMIT_BYTES];
    for piece in body.chunks(PIECE_BYTES) {
        let mut bytes = Vec::new();
        if is_chunked {
            bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        }
        bytes.extend_from_slice(piece);
        if is_chunked {
            bytes.extend_from_slice(b"\r\n");
        }
        connection.write_all(&bytes).await.expect("it is sent");
    }
    if is_chunked {
        let end = b"0\r\n\r\n";
        connection.write_all(end).await.expect("it is sent");
    }
    assert_eq!(read_status(&mut connection).await, 200);
    let peak_bytes = fleet.vms[0].peak_memory_bytes();
    assert!(
        peak_bytes < MEMORY_MB * 1_000_000,
        "{peak_bytes} bytes at the peak"
    );
    let (open, limit) = fleet.vms[0].descriptors();
    assert!(open < limit, "{open} of {limit} descriptors are open");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_head_a_slow_body_and_an_idle_connection_are_served() {
    let (_fleet, vm) = start_fleet().await;
    let mut connection = TcpStream::connect(vm).await.expect("it connects");
    let rest = head("long", "X-Filler: \r\nContent-Length: 0").len();
    let filler = "x".repeat(HEAD_LIMIT_BYTES - rest);
    let long = head("long", &format!("X-Filler: {filler}\r\nContent-Length: 0"));
    assert_eq!(long.len(), HEAD_LIMIT_BYTES);
    let sent = connection.write_all(long.as_bytes()).await;
    sent.expect("it is sent");
    assert_eq!(read_status(&mut connection).await, 200);

    let mut connection = TcpStream::connect(vm).await.expect("it connects");
    let slow = head("slow", &format!("Content-Length: {SLOW_PIECES}"));
    let sent = connection.write_all(slow.as_bytes()).await;
    sent.expect("it is sent");
    for _ in 0..SLOW_PIECES {
        tokio::time::sleep(IDLE_TIME / 40).await;
        connection.write_all(b"x").await.expect("it is sent");
    }
    assert_eq!(read_status(&mut connection).await, 200);
    tokio::time::sleep(IDLE_TIME).await;
    let after = head("after", "Content-Length: 0");
    let sent = connection.write_all(after.as_bytes()).await;
    sent.expect("it is sent");
    let mut first = [0; 1];
    let read = tokio::time::timeout(WAIT_TIMEOUT, connection.read(&mut first)).await;
    let count = read.expect("an answer comes").expect("it is read");
    assert_eq!(count, 1, "the idle connection was closed");
}
