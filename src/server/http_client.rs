//! Connections to endpoints and to the platform, kept for reuse.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::{net::TcpStream, task::AbortHandle};

use super::lock;
use crate::daemon::now_ms;

/// How long a connection may take to be established, in milliseconds: far
/// more than a round trip, far less than a caller's patience.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// For how long an idle connection is kept where the other side says nothing.
const IDLE_MS: u64 = 4_000;
/// How long before the other side closes an idle connection it is no longer
/// used, in milliseconds: a request on its way would be lost.
const IDLE_MARGIN_MS: u64 = 700;
/// The most idle connections that are kept to one address.
const MAX_IDLE: usize = 32;

quick_error! {
    /// Why an exchange brought no whole answer.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ExchangeError {
        /// No byte of the request was sent.
        NotSent(message: String) {
            display("not sent: {message}")
        }
        /// The request was sent, and may have been read.
        Incomplete(message: String) {
            display("broken: {message}")
        }
    }
}

/// A client that keeps connections, one request at a time on each.
#[derive(Debug, Default)]
pub(crate) struct HttpClient {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until_ms: u64,
}

/// One connection; dropping it closes it.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The head of an answer, whose body is still to be read.
///
/// Dropping it closes the connection, by which the other side learns that
/// nobody waits any more.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    body: Incoming,
    connection: Connection,
    address: SocketAddr,
    client: Arc<HttpClient>,
}

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct WholeReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl HttpClient {
    /// Sends a request and waits for the head of its answer.
    ///
    /// A kept connection that turns out to be closed before the request was
    /// written is replaced by a new one.
    pub(crate) async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, ExchangeError> {
        let mut request = request;
        while let Some(connection) = self.take_idle(address) {
            match self.exchange(address, connection, request).await {
                Ok(reply) => return Ok(reply),
                Err((error, None)) => return Err(error),
                Err((_, Some(unsent))) => request = unsent,
            }
        }
        let connection = connect(address).await?;
        let sent = self.exchange(address, connection, request).await;
        sent.map_err(|(error, _)| error)
    }

    /// Sends a request and reads its whole answer before a deadline.
    pub(crate) async fn exchange_whole(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline_ms: u64,
    ) -> Result<WholeReply, ExchangeError> {
        let exchange = async { self.send(address, request).await?.whole().await };
        let left_ms = deadline_ms.saturating_sub(now_ms());
        match tokio::time::timeout(Duration::from_millis(left_ms), exchange).await {
            Ok(result) => result,
            Err(_) => Err(ExchangeError::Incomplete("no answer in time".to_owned())),
        }
    }

    async fn exchange(
        self: &Arc<Self>,
        address: SocketAddr,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, (ExchangeError, Option<Request<Full<Bytes>>>)> {
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let (parts, body) = response.into_parts();
                Ok(Reply {
                    status: parts.status,
                    headers: parts.headers,
                    body,
                    connection,
                    address,
                    client: self.clone(),
                })
            }
            Err(mut error) => {
                let unsent = error.take_message();
                let message = error.error().to_string();
                let error = match unsent {
                    Some(_) => ExchangeError::NotSent(message),
                    None => ExchangeError::Incomplete(message),
                };
                Err((error, unsent))
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(&address)?;
        let now_ms = now_ms();
        let mut found = None;
        while let Some(newest) = kept.pop() {
            if newest.until_ms > now_ms && newest.connection.sender.is_ready() {
                found = Some(newest.connection);
                break;
            }
        }
        if kept.is_empty() {
            idle.remove(&address);
        }
        found
    }

    fn keep(&self, address: SocketAddr, connection: Connection, headers: &HeaderMap) {
        let idle_ms = match allowed_idle_ms(headers) {
            Some(idle_ms) => idle_ms.saturating_sub(IDLE_MARGIN_MS),
            None => IDLE_MS,
        };
        let until_ms = now_ms() + idle_ms;
        let mut idle = lock(&self.idle);
        let kept = idle.entry(address).or_default();
        if idle_ms > 0 && kept.len() < MAX_IDLE {
            kept.push(Idle {
                connection,
                until_ms,
            });
        }
    }

    /// Returns the addresses to which a connection is idle.
    pub(crate) fn connected_addresses(&self) -> BTreeSet<SocketAddr> {
        lock(&self.idle).keys().copied().collect()
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn expire(&self) {
        let now_ms = now_ms();
        let mut idle = lock(&self.idle);
        for kept in idle.values_mut() {
            kept.retain(|entry| entry.until_ms > now_ms && entry.connection.sender.is_ready());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes the idle connections to an address, which may be silent for good.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }
}

impl Reply {
    /// Returns the next bytes of the body; none at its proper end.
    pub(crate) async fn next_bytes(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| ExchangeError::Incomplete(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Reads the whole body and keeps the connection for the next request.
    pub(crate) async fn whole(mut self) -> Result<WholeReply, ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next_bytes().await? {
            body.extend_from_slice(&bytes);
        }
        let (status, headers) = (self.status, self.headers.clone());
        self.finish().await;
        Ok(WholeReply {
            status,
            headers,
            body: body.freeze(),
        })
    }

    /// Keeps the connection once the body has been read to its end.
    pub(crate) async fn finish(self) {
        let Self {
            headers,
            mut connection,
            address,
            client,
            ..
        } = self;
        let closes = headers
            .get(hyper::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes {
            return;
        }
        // The connection's task has to take notice of the end of the body.
        let ready = connection.sender.ready();
        if let Ok(Ok(())) = tokio::time::timeout(Duration::from_millis(20), ready).await {
            client.keep(address, connection, &headers);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, ExchangeError> {
    let not_sent = |message: String| ExchangeError::NotSent(message);
    let connecting = TcpStream::connect(address);
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = tokio::time::timeout(limit, connecting)
        .await
        .map_err(|_| not_sent("no connection in time".to_owned()))?
        .map_err(|error| not_sent(error.to_string()))?;
    // Without it a small request waits for the other side's acknowledgement.
    stream
        .set_nodelay(true)
        .map_err(|error| not_sent(error.to_string()))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "connection ended");
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
    })
}

/// Reads how long the other side keeps an idle connection.
fn allowed_idle_ms(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = text
        .split(',')
        .filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(seconds * 1_000)
}
