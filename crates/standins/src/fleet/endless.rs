//! A sampler whose answers do not end until the other side closes the connection.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use super::StoreServer;

/// What does not end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndlessPart {
    /// A line of the head.
    HeaderLine,
    /// The number of lines of the head.
    HeaderLines,
    /// The number of heads that say that the answer is still to come.
    InformationalHeads,
    /// A body in chunks.
    Chunks,
    /// A body whose stated length is never reached.
    Length,
    /// A body that ends with its connection.
    UntilClose,
    /// The body of a refusal.
    Refusal,
    /// A line of an event.
    EventLine,
    /// The number of lines of an event.
    EventLines,
    /// The number of events.
    Events,
    /// The number of lines that belong to no event.
    Comments,
}

/// The number of bytes that are written at once.
const WRITE_BYTES: usize = 64 * 1024;

#[derive(Debug)]
struct Shared {
    id: String,
    part: EndlessPart,
    open: AtomicUsize,
    answered: AtomicU64,
}

/// A sampler that registers itself and whose answers do not end.
#[derive(Debug)]
pub struct EndlessSampler {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl EndlessSampler {
    /// Starts the sampler and registers it in the store; `model` as for a
    /// [`Sampler`](super::Sampler).
    ///
    /// # Errors
    ///
    /// Returns the error of binding a port.
    pub async fn try_start(
        id: &str,
        service: &str,
        model: Option<&str>,
        part: EndlessPart,
        store: &StoreServer,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address: SocketAddr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            part,
            open: AtomicUsize::new(0),
            answered: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(shared.clone(), listener));
        let models: Vec<_> = model
            .iter()
            .map(|name| json!({"name": name, "version": 1, "adapters": []}))
            .collect();
        let entry = json!({"service": service, "address": address, "zone": "dc-1", "slots": 8,
            "version": "v1", "state": "ready", "cold_ms": 0, "models": models, "seq": 4,
            "born": 1_700_000_000_000_u64, "stage": "both"});
        store
            .writer()
            .put("servers", id, STANDARD.encode(entry.to_string()));
        Ok(Self { shared, task })
    }

    /// Returns the number of answers that are still being sent.
    #[must_use]
    pub fn open_answers(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Returns the number of answers that were begun.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.shared.answered.load(Ordering::SeqCst)
    }
}

impl Drop for EndlessSampler {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    while let Ok((connection, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            // The other side closes the connection, which ends the answer.
            let _ = answer(&shared, connection).await;
        });
    }
}

/// Counts an answer as being sent until it is dropped.
struct OpenAnswer<'a>(&'a Shared);

impl Drop for OpenAnswer<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn answer(shared: &Shared, mut connection: TcpStream) -> io::Result<()> {
    let id = read_request_id(&mut connection).await?;
    shared.answered.fetch_add(1, Ordering::SeqCst);
    shared.open.fetch_add(1, Ordering::SeqCst);
    let _open = OpenAnswer(shared);
    let ids = format!(
        "X-Request-Id: {id}\r\nX-Response-Stamp: stamp-{}-{id}\r\nX-Weight-Versions: 1\r\n",
        shared.id
    );
    let ok = format!("HTTP/1.1 200 OK\r\n{ids}");
    let chunked = "Transfer-Encoding: chunked\r\n\r\n";
    let start = match shared.part {
        EndlessPart::HeaderLine => format!("{ok}X-Long: "),
        EndlessPart::HeaderLines => ok,
        EndlessPart::InformationalHeads => String::new(),
        EndlessPart::Chunks | EndlessPart::EventLine | EndlessPart::EventLines => {
            format!("{ok}{chunked}")
        }
        EndlessPart::Events | EndlessPart::Comments => format!("{ok}{chunked}"),
        EndlessPart::Length => format!("{ok}Content-Length: 1000000000000\r\n\r\n"),
        EndlessPart::UntilClose => format!("{ok}Connection: close\r\n\r\n"),
        EndlessPart::Refusal => {
            format!("HTTP/1.1 503 Full\r\n{ids}X-Not-Run: 1\r\n{chunked}")
        }
    };
    connection.write_all(start.as_bytes()).await?;
    let mut event = 0_u64;
    loop {
        let mut bytes = Vec::with_capacity(WRITE_BYTES * 2);
        while bytes.len() < WRITE_BYTES {
            event += 1;
            bytes.extend_from_slice(unit(shared.part, event).as_bytes());
        }
        connection.write_all(&bytes).await?;
        // An answer without end need not be fast: tens of megabytes a second will do.
        tokio::task::yield_now().await;
    }
}

/// Returns the bytes that are repeated.
fn unit(part: EndlessPart, number: u64) -> String {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    match part {
        EndlessPart::HeaderLine | EndlessPart::Length | EndlessPart::UntilClose => {
            "x".repeat(4_096)
        }
        EndlessPart::HeaderLines => format!("X-Line-{number}: {number}\r\n"),
        EndlessPart::InformationalHeads => "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
        EndlessPart::EventLine if number == 1 => chunk("id: 1\ndata: "),
        EndlessPart::Chunks | EndlessPart::Refusal | EndlessPart::EventLine => {
            chunk(&"x".repeat(4_096))
        }
        EndlessPart::EventLines => chunk(&"data: x\n".repeat(512)),
        EndlessPart::Events => chunk(&format!("id: {number}\ndata: event {number}\n\n")),
        EndlessPart::Comments => chunk(&": x\n\n".repeat(800)),
    }
}

/// Reads the head of a request and returns its id.
async fn read_request_id(connection: &mut TcpStream) -> io::Result<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        if text.contains("\r\n\r\n") {
            let mut lines = text.lines();
            let id = lines.find_map(|line| line.strip_prefix("x-request-id: "));
            return Ok(id.unwrap_or_default().to_owned());
        }
        if connection.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
