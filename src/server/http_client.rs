//! An HTTP client for endpoints, the platform and other VMs that reuses
//! connections.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::ErrorKind,
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
use socket2::SockRef;
use strum::{Display, EnumIter, IntoStaticStr};
use tokio::{net::TcpStream, task::AbortHandle};

use super::{
    head_limit::{HeadLimit, LimitedStream},
    lock,
    memory::{BodyBuffer, BodyError, BodyMemory, BodyPlan, stated_bytes},
};
use crate::daemon::now_ms;

/// The timeout for establishing a connection, in milliseconds: far more than a
/// round trip, far less than a caller's timeout.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 500;
/// How long the kernel tries to deliver what a VM has sent that may be frozen by now, in
/// milliseconds, where a late arrival would do harm.
const MAX_UNACKNOWLEDGED_MS: u64 = 1_000;
/// How long an idle connection is kept if the other side sends no `keep-alive`
/// header, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;
/// How long before the other side closes an idle connection it is no longer
/// used, in milliseconds: a request sent at that moment would be lost.
const IDLE_MARGIN_MS: u64 = 700;
/// How long an answer may wait for memory, unread, in milliseconds; its request may give
/// up sooner.
const MEMORY_WAIT_MS: u64 = 10_000;
/// The maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

quick_error! {
    /// Why an exchange brought no complete response.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ExchangeError {
        /// No byte of the request was sent.
        NotSent(message: String) {
            display("not sent: {message}")
        }
        /// The request was not sent, since the other side may get no more requests now.
        NotPermitted(message: String) {
            display("not permitted: {message}")
        }
        /// The request was sent and may have been processed, but its response is longer
        /// than is allowed.
        TooLong(message: String) {
            display("sent, but the response is too long: {message}")
        }
        /// The request was sent and may have been processed, but the response that came
        /// is to another request.
        Misplaced(message: String) {
            display("sent, but the response is to another request: {message}")
        }
        /// The request was sent and may have been processed, but its response
        /// is missing or incomplete.
        Incomplete(message: String) {
            display("sent, but no complete response: {message}")
        }
    }
}

/// Whether the other side accepts connections.
#[derive(
    Clone, Copy, Debug, Display, EnumIter, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Reachability {
    /// It accepts connections.
    Accepts,
    /// Its machine answers, but nothing listens at the address.
    Refuses,
    /// It does not answer.
    Silent,
}

/// What ties a response to its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseOrder {
    /// The other side sends one response to each request, in order.
    Reliable,
    /// The other side may send a response twice, but each one names its request.
    Named,
    /// The other side may send a response twice, and this request has no name.
    Unnamed,
}

/// A client that pools connections and sends one request at a time on each.
///
/// Its errors tell whether the other side may have processed the request.
#[derive(Debug)]
pub(crate) struct ExchangeClient {
    idle: Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    /// The memory for whole answers of endpoints.
    answer_memory: BodyMemory,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at_ms: u64,
}

impl IdleConnection {
    fn is_usable(&self, now_ms: u64) -> bool {
        self.expires_at_ms > now_ms && self.connection.sender.is_ready()
    }
}

/// A connection, which is closed on drop.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    /// Whether a request without a name was sent: a late copy of its response cannot be
    /// told from the response to another such request.
    has_carried_unnamed: bool,
    task: AbortHandle,
}

impl Connection {
    const fn may_carry(&self, order: ResponseOrder) -> bool {
        !matches!(order, ResponseOrder::Unnamed) || !self.has_carried_unnamed
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What became of a request that was to be sent on an idle connection.
pub(crate) enum IdleOutcome {
    Replied(Box<Reply>),
    /// No connection was usable, and nothing of the request was sent.
    Unsent(Box<Request<Full<Bytes>>>),
}

/// The head of a response, with the body still to be read.
///
/// Dropping it closes the connection, which tells the other side that the
/// request is cancelled.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    body: Incoming,
    connection: Connection,
    address: SocketAddr,
    client: Arc<ExchangeClient>,
    /// Whether another VM has passed it on.
    pub(crate) is_relayed: bool,
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct WholeReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ExchangeClient {
    pub(crate) fn new(answer_memory: BodyMemory) -> Self {
        Self {
            idle: Mutex::default(),
            answer_memory,
        }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// If an idle connection turns out to be closed before the request is
    /// written, the request is sent on another connection. Whether the response is to
    /// this request is for the sender to check, unless the order is reliable.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` if no connection can be established or the request is
    /// not written, and `Incomplete` if the connection fails after that.
    pub(crate) async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        order: ResponseOrder,
    ) -> Result<Reply, ExchangeError> {
        let request = match self.send_idle(address, request, order).await? {
            IdleOutcome::Replied(reply) => return Ok(*reply),
            IdleOutcome::Unsent(request) => request,
        };
        let connection = connect(address, CONNECT_TIMEOUT_MS).await?;
        self.send_on(address, connection, *request, order).await
    }

    /// Sends a request on an idle connection, unless there is none that still is open.
    ///
    /// # Errors
    ///
    /// Returns `Incomplete` if the connection fails after the request was written.
    pub(crate) async fn send_idle(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        order: ResponseOrder,
    ) -> Result<IdleOutcome, ExchangeError> {
        let mut request = request;
        while let Some(connection) = self.take_idle(address, order) {
            match self.exchange(address, connection, request, order).await {
                Ok(reply) => return Ok(IdleOutcome::Replied(Box::new(reply))),
                Err((error, None)) => return Err(error),
                Err((_, Some(unsent))) => request = unsent,
            }
        }
        Ok(IdleOutcome::Unsent(Box::new(request)))
    }

    /// Sends a request on a connection.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` if the request is not written, and `Incomplete` if the connection
    /// fails after that.
    pub(crate) async fn send_on(
        self: &Arc<Self>,
        address: SocketAddr,
        connection: Connection,
        request: Request<Full<Bytes>>,
        order: ResponseOrder,
    ) -> Result<Reply, ExchangeError> {
        let sent = self.exchange(address, connection, request, order).await;
        sent.map_err(|(error, _)| error)
    }

    /// Keeps a new connection for the next request.
    pub(crate) fn keep(&self, address: SocketAddr, connection: Connection) {
        self.store_idle(address, connection, &HeaderMap::new());
    }

    /// Sends a request to the platform or another VM and reads its whole response
    /// before a deadline.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`send`](Self::send), and `Incomplete` if the body
    /// cannot be read or the deadline passes.
    pub(crate) async fn exchange_whole(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline_ms: u64,
    ) -> Result<WholeReply, ExchangeError> {
        let exchange = async {
            let reply = self.send(address, request, ResponseOrder::Reliable).await?;
            reply.read_whole().await
        };
        within(exchange, address, deadline_ms).await
    }

    /// Opens a connection, and keeps it for the next request.
    pub(crate) async fn check_reachability(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Reachability {
        let limit = Duration::from_millis(timeout_ms);
        match tokio::time::timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                match start_http(address, stream).await {
                    Ok(connection) => self.store_idle(address, connection, &HeaderMap::new()),
                    Err(error) => tracing::debug!(%address, %error, "connection not kept"),
                }
                Reachability::Accepts
            }
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Reachability::Refuses,
            Ok(Err(_)) | Err(_) => Reachability::Silent,
        }
    }

    async fn exchange(
        self: &Arc<Self>,
        address: SocketAddr,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        order: ResponseOrder,
    ) -> Result<Reply, (ExchangeError, Option<Request<Full<Bytes>>>)> {
        connection.head_limit.on_request();
        connection.has_carried_unnamed |= order == ResponseOrder::Unnamed;
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.head_limit.on_head();
                let (parts, body) = response.into_parts();
                Ok(Reply {
                    status: parts.status,
                    headers: parts.headers,
                    body,
                    connection,
                    address,
                    client: self.clone(),
                    is_relayed: false,
                })
            }
            Err(mut error) => {
                let unsent = error.take_message();
                let message = format!("connection to {address}: {}", error.error());
                let error = match unsent {
                    Some(_) => ExchangeError::NotSent(message),
                    None => ExchangeError::Incomplete(message),
                };
                Err((error, unsent))
            }
        }
    }

    /// Removes and returns the newest usable idle connection to an address.
    fn take_idle(&self, address: SocketAddr, order: ResponseOrder) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(&address)?;
        let now_ms = now_ms();
        kept.retain(|entry| entry.is_usable(now_ms));
        let newest = kept
            .iter()
            .rposition(|entry| entry.connection.may_carry(order));
        let found = newest.map(|index| kept.remove(index).connection);
        if kept.is_empty() {
            idle.remove(&address);
        }
        found
    }

    /// Keeps a connection as idle, for a little less than its response headers
    /// allow.
    fn store_idle(&self, address: SocketAddr, connection: Connection, headers: &HeaderMap) {
        let idle_ms = match keep_alive_timeout_ms(headers) {
            Some(idle_ms) => idle_ms.saturating_sub(IDLE_MARGIN_MS),
            None => DEFAULT_IDLE_TIMEOUT_MS,
        };
        let expires_at_ms = now_ms() + idle_ms;
        let mut idle = lock(&self.idle);
        let kept = idle.entry(address).or_default();
        if idle_ms > 0 && kept.len() < MAX_IDLE_PER_ADDRESS {
            kept.push(IdleConnection {
                connection,
                expires_at_ms,
            });
        }
    }

    /// Returns the addresses with at least one idle connection.
    pub(crate) fn connected_addresses(&self) -> BTreeSet<SocketAddr> {
        lock(&self.idle).keys().copied().collect()
    }

    /// Closes idle connections that have expired or were closed by the other
    /// side.
    pub(crate) fn close_expired(&self) {
        let now_ms = now_ms();
        let mut idle = lock(&self.idle);
        for kept in idle.values_mut() {
            kept.retain(|entry| entry.is_usable(now_ms));
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes the idle connections to an address, which may no longer respond.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }
}

impl Reply {
    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns `Incomplete` if the connection fails before the end of the body.
    pub(crate) async fn next_bytes(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| {
                ExchangeError::Incomplete(format!("body from {}: {error}", self.address))
            })?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Reads the whole body and keeps the connection for the next request.
    ///
    /// # Errors
    ///
    /// Returns `Incomplete` if the connection fails before the end of the body.
    pub(crate) async fn read_whole(mut self) -> Result<WholeReply, ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next_bytes().await? {
            body.extend_from_slice(&bytes);
        }
        Ok(self.into_whole(body.freeze()).await)
    }

    /// Reads the whole body of an endpoint's response, of at most `max_bytes`, and keeps
    /// the connection for the next request.
    ///
    /// A long body stays unread until there is memory for it. The memory is returned
    /// when the last reference to the body is dropped.
    ///
    /// # Errors
    ///
    /// Returns `Incomplete` if the connection fails before the end of the body, and
    /// `TooLong` if the body is longer, or if there is no memory for it in time.
    pub(crate) async fn read_bounded(
        mut self,
        max_bytes: usize,
    ) -> Result<WholeReply, ExchangeError> {
        let plan = BodyPlan {
            max_bytes,
            stated_bytes: stated_bytes(&self.body),
            copies: 1,
            wait_until_ms: now_ms() + MEMORY_WAIT_MS,
        };
        let address = self.address;
        let too_long = |error| {
            let message = match error {
                BodyError::TooLong => format!("body from {address} of over {max_bytes} bytes"),
                BodyError::NoMemory => format!("no memory for a body from {address}"),
            };
            ExchangeError::TooLong(message)
        };
        let mut buffer = BodyBuffer::new(&self.client.answer_memory, plan);
        buffer.check_stated().map_err(too_long)?;
        while let Some(bytes) = self.next_bytes().await? {
            buffer.push(&bytes).await.map_err(too_long)?;
        }
        Ok(self.into_whole(buffer.finish()).await)
    }

    async fn into_whole(self, body: Bytes) -> WholeReply {
        let (status, headers) = (self.status, self.headers.clone());
        self.release_connection().await;
        WholeReply {
            status,
            headers,
            body,
        }
    }

    /// Keeps the connection for the next request, unless the other side closes
    /// it; the body must have been read to its end.
    pub(crate) async fn release_connection(self) {
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
        // The task of the connection must first process the end of the body.
        let ready = connection.sender.ready();
        if let Ok(Ok(())) = tokio::time::timeout(Duration::from_millis(20), ready).await {
            client.store_idle(address, connection, &headers);
        }
    }
}

/// Waits for an exchange until a deadline.
///
/// # Errors
///
/// Returns the errors of the exchange, and `Incomplete` if the deadline passes.
pub(crate) async fn within<F>(
    exchange: F,
    address: SocketAddr,
    deadline_ms: u64,
) -> Result<WholeReply, ExchangeError>
where
    F: Future<Output = Result<WholeReply, ExchangeError>>,
{
    let remaining_ms = deadline_ms.saturating_sub(now_ms());
    match tokio::time::timeout(Duration::from_millis(remaining_ms), exchange).await {
        Ok(result) => result,
        Err(_) => Err(ExchangeError::Incomplete(format!(
            "no response from {address} in {remaining_ms} ms"
        ))),
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Returns `NotSent` if the other side does not accept it in time.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<Connection, ExchangeError> {
    start_http(address, open(address, timeout_ms).await?).await
}

async fn open(address: SocketAddr, timeout_ms: u64) -> Result<TcpStream, ExchangeError> {
    let not_sent = |message: String| ExchangeError::NotSent(message);
    let connect = TcpStream::connect(address);
    let limit = Duration::from_millis(timeout_ms);
    tokio::time::timeout(limit, connect)
        .await
        .map_err(|_| not_sent(format!("no connection to {address} in {timeout_ms} ms")))?
        .map_err(|error| not_sent(format!("cannot connect to {address}: {error}")))
}

/// Opens a connection that discards what the other side has not received once it is
/// closed.
///
/// Otherwise the kernel would go on sending a request that was given up, and it would
/// arrive late when the network works again.
///
/// # Errors
///
/// Returns `NotSent` if the other side does not accept it in time.
pub(crate) async fn connect_discarding(
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<Connection, ExchangeError> {
    let stream = open(address, timeout_ms).await?;
    let not_set = |error| {
        ExchangeError::NotSent(format!("connection to {address} cannot be set up: {error}"))
    };
    stream.set_zero_linger().map_err(not_set)?;
    SockRef::from(&stream)
        .set_tcp_user_timeout(Some(Duration::from_millis(MAX_UNACKNOWLEDGED_MS)))
        .map_err(not_set)?;
    start_http(address, stream).await
}

async fn start_http(address: SocketAddr, stream: TcpStream) -> Result<Connection, ExchangeError> {
    let not_sent = |message: String| ExchangeError::NotSent(message);
    // With Nagle's algorithm a small request waits for the other side's
    // acknowledgement.
    stream
        .set_nodelay(true)
        .map_err(|error| not_sent(format!("cannot set TCP_NODELAY for {address}: {error}")))?;
    let head_limit = HeadLimit::new();
    let limited = LimitedStream::new(stream, head_limit.clone());
    let (sender, connection) = http1::handshake(TokioIo::new(limited))
        .await
        .map_err(|error| not_sent(format!("cannot start HTTP with {address}: {error}")))?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "connection to the address failed");
        }
    });
    Ok(Connection {
        sender,
        head_limit,
        has_carried_unnamed: false,
        task: task.abort_handle(),
    })
}

/// Returns how long the other side keeps an idle connection, from the
/// `keep-alive` header of its response.
fn keep_alive_timeout_ms(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = text
        .split(',')
        .filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(seconds * 1_000)
}
