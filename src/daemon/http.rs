use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};

use super::traffic::{Traffic, response_head_len};

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

quick_error! {
    /// Why an exchange gave no answer that can be used.
    #[derive(Debug)]
    pub enum HttpError {
        /// No connection could be made: nothing was sent.
        Connect(address: SocketAddr) {
            display("no connection to {address}")
        }
        /// The connection broke after something may have been sent.
        Incomplete(address: SocketAddr) {
            display("the connection to {address} broke")
        }
        /// There was no whole answer in time.
        Timeout(address: SocketAddr) {
            display("no answer from {address} in time")
        }
        /// The other side refused.
        Status(status: StatusCode, body: Bytes) {
            display("the answer has status {status}: {}", String::from_utf8_lossy(body))
        }
        /// The answer could not be read.
        Invalid(message: String) {
            display("the answer is not valid: {message}")
        }
    }
}

impl HttpError {
    /// Returns whether any byte may have reached the other side.
    #[must_use]
    pub const fn was_sent(&self) -> bool {
        !matches!(self, Self::Connect(_))
    }
}

/// An HTTP/1.1 client that keeps connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    traffic: Option<Traffic>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client that keeps idle connections for reuse.
    #[must_use]
    pub fn new() -> Self {
        Self::with_idle(64)
    }

    /// Creates a client that reuses a connection only if it was in use lately,
    /// so that a request hardly ever meets one that is just being closed.
    #[must_use]
    pub fn new_short_idle() -> Self {
        const IDLE_MS: u64 = 1_000;
        Self::with_idle_time(64, IDLE_MS)
    }

    /// Creates a client whose exchanges are counted.
    pub(crate) fn new_counted(traffic: Traffic) -> Self {
        const MAX_IDLE: usize = 4;
        Self {
            traffic: Some(traffic),
            ..Self::with_idle(MAX_IDLE)
        }
    }

    fn with_idle(max_idle: usize) -> Self {
        const IDLE_MS: u64 = 30_000;
        Self::with_idle_time(max_idle, IDLE_MS)
    }

    fn with_idle_time(max_idle: usize, idle_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(max_idle)
            .pool_idle_timeout(Duration::from_millis(idle_ms))
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self {
            client,
            traffic: None,
        }
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// [`HttpError::Connect`] if nothing was sent, [`HttpError::Incomplete`]
    /// otherwise.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                HttpError::Connect(address)
            } else {
                HttpError::Incomplete(address)
            }
        })
    }

    /// Sends a request and returns the whole answer, if its status is a success.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`]; [`HttpError::Timeout`] after `timeout_ms`, and
    /// [`HttpError::Status`] for any other status.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Bytes, HttpError> {
        if let Some(traffic) = &self.traffic {
            traffic.on_request_sent(address, &request);
        }
        let path = request.uri().path().to_owned();
        let exchange = async {
            let response = self.send(address, request).await?;
            let status = response.status();
            let head_len = response_head_len(&response);
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let body = body
                .collect()
                .await
                .map_err(|_| HttpError::Incomplete(address))?
                .to_bytes();
            if let Some(traffic) = &self.traffic {
                traffic.on_response_received(&path, head_len + body.len());
            }
            if status.is_success() {
                Ok(body)
            } else {
                Err(HttpError::Status(status, body))
            }
        };
        tokio::time::timeout(Duration::from_millis(timeout_ms), exchange)
            .await
            .unwrap_or(Err(HttpError::Timeout(address)))
    }

    /// Sends JSON and reads JSON.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::exchange`]; [`HttpError::Invalid`] if the answer is not
    /// of the expected type.
    pub async fn post_json<T, A>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
        timeout_ms: u64,
    ) -> Result<A, HttpError>
    where
        T: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body =
            serde_json::to_vec(body).map_err(|error| HttpError::Invalid(error.to_string()))?;
        let request = build_request(Method::POST, address, path, "application/json", body.into())?;
        let answer = self.exchange(address, request, timeout_ms).await?;
        serde_json::from_slice(&answer).map_err(|error| HttpError::Invalid(error.to_string()))
    }

    /// Gets JSON.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::post_json`].
    pub async fn get_json<A>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> Result<A, HttpError>
    where
        A: DeserializeOwned,
    {
        let request = build_request(Method::GET, address, path, "application/json", Bytes::new())?;
        let answer = self.exchange(address, request, timeout_ms).await?;
        serde_json::from_slice(&answer).map_err(|error| HttpError::Invalid(error.to_string()))
    }

    /// Sends `MessagePack` and reads `MessagePack`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::post_json`].
    pub async fn post_rmp<T, A>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
        timeout_ms: u64,
    ) -> Result<A, HttpError>
    where
        T: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body =
            rmp_serde::to_vec(body).map_err(|error| HttpError::Invalid(error.to_string()))?;
        let request = build_request(
            Method::POST,
            address,
            path,
            "application/msgpack",
            body.into(),
        )?;
        let answer = self.exchange(address, request, timeout_ms).await?;
        rmp_serde::from_slice(&answer).map_err(|error| HttpError::Invalid(error.to_string()))
    }
}

/// Builds a request.
///
/// # Errors
///
/// [`HttpError::Invalid`] if the path cannot stand in a request.
pub(crate) fn build_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    content_type: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, content_type)
        .body(Full::new(body))
        .map_err(|error| HttpError::Invalid(error.to_string()))
}
