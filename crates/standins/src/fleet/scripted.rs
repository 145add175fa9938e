//! A sampler that sends the bytes that a test gives it.

use std::{
    io,
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
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

/// What a scripted sampler sends in answer to one request.
#[derive(Clone, Debug)]
pub struct ScriptedAnswer {
    /// The bytes, in which `{id}` stands for the id of the request.
    pub text: String,
    /// Whether it closes the connection after them.
    pub closes: bool,
}

/// A sampler that registers itself and answers from a script, whose last answer it repeats.
#[derive(Debug)]
pub struct ScriptedSampler {
    answered: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl ScriptedSampler {
    /// Starts the sampler and registers it in the store; `model` as for a
    /// [`Sampler`](super::Sampler).
    ///
    /// Questions about accepted orders are answered as usual and are not in the script.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a port.
    pub async fn try_start(
        id: &str,
        service: &str,
        model: Option<&str>,
        script: Vec<ScriptedAnswer>,
        store: &StoreServer,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
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
        let answered = Arc::new(AtomicUsize::new(0));
        let task = tokio::spawn(accept(listener, Arc::from(script), answered.clone()));
        Ok(Self { answered, task })
    }

    /// Returns the number of answers that it has sent.
    #[must_use]
    pub fn answers(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }
}

impl Drop for ScriptedSampler {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, script: Arc<[ScriptedAnswer]>, answered: Arc<AtomicUsize>) {
    while let Ok((connection, _)) = listener.accept().await {
        let (script, answered) = (script.clone(), answered.clone());
        tokio::spawn(async move {
            // The other side may close the connection at any time.
            let _ = serve(connection, &script, &answered).await;
        });
    }
}

async fn serve(
    mut connection: TcpStream,
    script: &[ScriptedAnswer],
    answered: &AtomicUsize,
) -> io::Result<()> {
    connection.set_nodelay(true)?;
    loop {
        let head = read_request(&mut connection).await?;
        if head.starts_with("get /v1/report") {
            let body = r#"{"seq": 0}"#;
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            connection.write_all(answer.as_bytes()).await?;
            continue;
        }
        let number = answered.fetch_add(1, Ordering::SeqCst);
        let Some(answer) = script.get(number.min(script.len() - 1)) else {
            return Ok(());
        };
        let id = header(&head, "x-request-id").unwrap_or_default();
        let text = answer.text.replace("{id}", id);
        connection.write_all(text.as_bytes()).await?;
        if answer.closes {
            return connection.shutdown().await;
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Reads a request and returns its head in lowercase.
async fn read_request(connection: &mut TcpStream) -> io::Result<String> {
    const END: &str = "\r\n\r\n";
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        if let Some(end) = text.find(END) {
            let head = text[..end].to_owned();
            let body_bytes = header(&head, "content-length").and_then(|text| text.parse().ok());
            if bytes.len() >= end + END.len() + body_bytes.unwrap_or(0) {
                return Ok(head);
            }
        }
        if connection.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
