//! Guards against requests that a stopping VM passes on and then gives up.

use std::{net::SocketAddr, time::Duration};

use rstest::rstest;
use rustix::process::Signal;
use standins::fleet::{LinkState, Sampler, SamplerSettings};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};

use crate::fleet::{Fleet, HOST, SAMPLER_SETTINGS};

/// How long a VM may take to stop, as the fleet sets it.
const STOP_GRACE: Duration = Duration::from_secs(4);
const REQUESTS: u32 = 40;
const WORK_MS: u64 = 300;
/// How long a caller waits: a stream that is sent early enough ends before the VM exits.
const DEADLINE_MS: u64 = 3_200;

const STREAMS: u32 = 24;
const SLOW_STREAMS: SamplerSettings = SamplerSettings {
    events: 60,
    event_ms: 45,
    ..SAMPLER_SETTINGS
};

/// Sends a request at a time, on an open connection or a new one, and returns all
/// that comes back.
async fn send_at(
    callers: SocketAddr,
    open: Option<TcpStream>,
    at: Instant,
    path: &str,
    id: String,
) -> (String, String) {
    tokio::time::sleep_until(at).await;
    let connection = match open {
        Some(open) => Ok(open),
        None => TcpStream::connect(callers).await,
    };
    let Ok(mut connection) = connection else {
        return (id, String::new());
    };
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    );
    // Errors mean that the VM has closed the connection.
    let _ = connection.write_all(request.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(STOP_GRACE, connection.read_to_end(&mut answer)).await;
    (id, String::from_utf8_lossy(&answer).into_owned())
}

/// Guards against requests that arrive just before a stopping VM exits, on
/// connections that were opened before or that are new.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_vm_answers_each_request_that_it_passes_on(
    #[values(false, true)] is_connection_new: bool,
) {
    let slow = SamplerSettings {
        work_ms: WORK_MS,
        ..SAMPLER_SETTINGS
    };
    let fleet = Fleet::start(1, slow).await;
    let callers = fleet.vms[0].addresses["callers"];
    let stopped_at = Instant::now();
    let mut sends = Vec::new();
    for number in 0..REQUESTS {
        let open = if is_connection_new {
            None
        } else {
            Some(TcpStream::connect(callers).await.expect("it connects"))
        };
        let at = stopped_at + STOP_GRACE * number / REQUESTS;
        let id = format!("stop-{number}");
        sends.push(tokio::spawn(send_at(callers, open, at, "/slips/1", id)));
    }
    fleet.signal(0, Signal::TERM);
    let mut given_up = Vec::new();
    for send in sends {
        let (id, answer) = send.await.expect("the task ends");
        let is_whole = answer.starts_with("HTTP/1.1 ") && answer.contains("\r\n\r\n");
        let has_run = |sampler: &Sampler| sampler.run_request_ids().contains(&id);
        if !is_whole && fleet.plain_samplers.iter().any(has_run) {
            given_up.push(id);
        }
    }
    assert_eq!(given_up, Vec::<String>::new());
}

/// Guards against streams that a stopping VM accepts and then cuts at its exit: each one
/// is complete, or refused at once without having run.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_vm_cuts_no_stream_that_it_accepts(
    #[values(false, true)] is_connection_new: bool,
) {
    let fleet = Fleet::start(1, SLOW_STREAMS).await;
    let callers = fleet.vms[0].addresses["callers"];
    let stopped_at = Instant::now();
    let mut sends = Vec::new();
    for number in 0..STREAMS {
        let open = if is_connection_new {
            None
        } else {
            Some(TcpStream::connect(callers).await.expect("it connects"))
        };
        let at = stopped_at + STOP_GRACE * number / STREAMS;
        let id = format!("stream-{number}");
        sends.push(tokio::spawn(send_at(callers, open, at, "/chats/1", id)));
    }
    fleet.signal(0, Signal::TERM);
    let last_event = format!("event {}", SLOW_STREAMS.events);
    let (mut cut, mut complete) = (Vec::new(), 0);
    for send in sends {
        let (id, answer) = send.await.expect("the task ends");
        let is_complete = answer.contains(&last_event) && answer.ends_with("\r\n0\r\n\r\n");
        complete += u32::from(is_complete);
        let has_run = |sampler: &Sampler| sampler.run_request_ids().contains(&id);
        if !is_complete && fleet.model_samplers.iter().any(has_run) {
            cut.push(id);
        }
    }
    assert_eq!(cut, Vec::<String>::new());
    assert!(complete > 0, "no stream was accepted");
}

/// Returns the ids of the requests that ran and have no whole success.
async fn unserved_runs(
    fleet: &Fleet,
    sends: Vec<tokio::task::JoinHandle<(String, String)>>,
) -> Vec<String> {
    let mut unserved = Vec::new();
    for send in sends {
        let (id, answer) = send.await.expect("the task ends");
        let is_served = answer.starts_with("HTTP/1.1 200") && answer.contains("\r\n\r\n");
        let has_run = |sampler: &Sampler| sampler.run_request_ids().contains(&id);
        if !is_served && fleet.plain_samplers.iter().any(has_run) {
            unserved.push(id);
        }
    }
    unserved
}

/// LOST: a request that may not be repeated and goes through another VM is served or does
/// not run, whichever of the two VMs stops.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_vms_cut_no_relayed_request(#[values(0, 1)] stopping: usize) {
    let slow = SamplerSettings {
        work_ms: WORK_MS,
        ..SAMPLER_SETTINGS
    };
    let fleet = Fleet::start_linked(&["dc-1"; 2], slow).await;
    fleet.set_links(0, LinkState::Reset);
    let callers = fleet.vms[0].addresses["callers"];
    let stopped_at = Instant::now();
    let sends = (0..REQUESTS).map(|number| {
        let at = stopped_at + STOP_GRACE * number / REQUESTS;
        let id = format!("relayed-{number}");
        tokio::spawn(send_at(callers, None, at, "/bookings/1", id))
    });
    let sends: Vec<_> = sends.collect();
    fleet.signal(stopping, Signal::TERM);
    assert_eq!(unserved_runs(&fleet, sends).await, Vec::<String>::new());
    let has_run = |sampler: &Sampler| !sampler.run_request_ids().is_empty();
    assert!(
        fleet.plain_samplers.iter().any(has_run),
        "nothing was relayed"
    );
}

/// LOST: a request that waits for a permit while its VM stops is served or does not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_vm_cuts_no_request_that_waits_for_a_permit() {
    let fleet = Fleet::start(2, SAMPLER_SETTINGS).await;
    for sampler in &fleet.plain_samplers {
        sampler.name_limit(Some("4"));
    }
    let callers = fleet.vms[0].addresses["callers"];
    let stopped_at = Instant::now();
    let sends = (0..2 * REQUESTS).map(|number| {
        let at = stopped_at + STOP_GRACE * number / (2 * REQUESTS);
        let id = format!("limited-{number}");
        tokio::spawn(send_at(callers, None, at, "/bookings/1", id))
    });
    let sends: Vec<_> = sends.collect();
    fleet.signal(0, Signal::TERM);
    assert_eq!(unserved_runs(&fleet, sends).await, Vec::<String>::new());
}

/// LOST: a request whose body comes slowly while its VM stops is served or does not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_vm_cuts_no_request_with_a_slow_body() {
    const BODY_PART: &[u8] = b"half";
    let fleet = Fleet::start(1, SAMPLER_SETTINGS).await;
    let callers = fleet.vms[0].addresses["callers"];
    let stopped_at = Instant::now();
    let sends = (0..REQUESTS).map(|number| {
        let at = stopped_at + STOP_GRACE * number / REQUESTS;
        let id = format!("slow-{number}");
        tokio::spawn(async move {
            let connection = TcpStream::connect(callers).await;
            let mut connection = connection.expect("it connects");
            let head = format!(
                "POST /bookings/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
                 X-Deadline-Ms: 6000\r\nContent-Length: {}\r\n\r\n",
                2 * BODY_PART.len()
            );
            // Errors mean that the VM has closed the connection.
            let _ = connection.write_all(head.as_bytes()).await;
            let _ = connection.write_all(BODY_PART).await;
            tokio::time::sleep_until(at).await;
            let _ = connection.write_all(BODY_PART).await;
            let mut answer = Vec::new();
            let _ = tokio::time::timeout(STOP_GRACE, connection.read_to_end(&mut answer)).await;
            (id, String::from_utf8_lossy(&answer).into_owned())
        })
    });
    let sends: Vec<_> = sends.collect();
    fleet.signal(0, Signal::TERM);
    assert_eq!(unserved_runs(&fleet, sends).await, Vec::<String>::new());
}
