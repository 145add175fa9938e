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
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

quick_error! {
    /// The error of an HTTP exchange.
    #[derive(Debug)]
    pub enum HttpError {
        /// The connection could not be established: nothing was sent.
        Connect(address: SocketAddr) {
            display("could not connect to {address}")
        }
        /// The connection was closed before the response was complete. The request
        /// may have been sent.
        Incomplete(address: SocketAddr) {
            display("the connection to {address} was closed before the response was complete")
        }
        /// The response was not complete before the timeout.
        Timeout(address: SocketAddr) {
            display("no complete response from {address} before the timeout")
        }
        /// The response has a status other than success.
        Status(status: StatusCode, body: Bytes) {
            display("the response has status {status}: {}", String::from_utf8_lossy(body))
        }
        /// The request could not be built, or the body could not be encoded or
        /// parsed.
        Invalid(message: String) {
            display("the request or the response is not valid: {message}")
        }
    }
}

impl HttpError {
    /// Returns whether any byte of the request may have reached the server.
    #[must_use]
    pub const fn was_sent(&self) -> bool {
        !matches!(self, Self::Connect(_))
    }
}

/// An HTTP/1.1 client with a pool of idle connections.
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
        Self::with_max_idle(64)
    }

    /// Creates a client that reuses a connection only shortly after its last use,
    /// so that a request is rarely sent on a connection that the server is
    /// closing.
    #[must_use]
    pub fn new_short_idle() -> Self {
        const SHORT_IDLE_TIMEOUT_MS: u64 = 1_000;
        Self::with_idle_timeout(64, SHORT_IDLE_TIMEOUT_MS)
    }

    /// Creates a client that counts the traffic of its exchanges.
    pub(crate) fn new_counted(traffic: Traffic) -> Self {
        const MAX_IDLE_PER_HOST: usize = 4;
        Self {
            traffic: Some(traffic),
            ..Self::with_max_idle(MAX_IDLE_PER_HOST)
        }
    }

    fn with_max_idle(max_idle_per_host: usize) -> Self {
        const IDLE_TIMEOUT_MS: u64 = 30_000;
        Self::with_idle_timeout(max_idle_per_host, IDLE_TIMEOUT_MS)
    }

    fn with_idle_timeout(max_idle_per_host: usize, idle_timeout_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(max_idle_per_host)
            .pool_idle_timeout(Duration::from_millis(idle_timeout_ms))
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self {
            client,
            traffic: None,
        }
    }

    /// Sends a request and returns the response, whose body is not yet read.
    ///
    /// # Errors
    ///
    /// [`HttpError::Connect`] if the connection could not be established, and
    /// [`HttpError::Incomplete`] for any later error.
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

    /// Sends a request and returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// The errors of [`HttpClient::send`]; [`HttpError::Incomplete`] if the body
    /// cannot be read or exceeds 64 MiB; [`HttpError::Timeout`] if the response is
    /// not complete after `timeout_ms`; and [`HttpError::Status`] if the status is
    /// not a success.
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
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
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

    /// Sends a `POST` request with a JSON body and parses the JSON response.
    ///
    /// # Errors
    ///
    /// The errors of [`HttpClient::exchange`], and [`HttpError::Invalid`] if the
    /// request cannot be built or the response cannot be parsed.
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
        let response = self.exchange(address, request, timeout_ms).await?;
        serde_json::from_slice(&response).map_err(|error| HttpError::Invalid(error.to_string()))
    }

    /// Sends a `GET` request and parses the JSON response.
    ///
    /// # Errors
    ///
    /// The errors of [`HttpClient::post_json`].
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
        let response = self.exchange(address, request, timeout_ms).await?;
        serde_json::from_slice(&response).map_err(|error| HttpError::Invalid(error.to_string()))
    }

    /// Sends a `POST` request with a `MessagePack` body and parses the
    /// `MessagePack` response.
    ///
    /// # Errors
    ///
    /// The errors of [`HttpClient::post_json`].
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
        let response = self.exchange(address, request, timeout_ms).await?;
        rmp_serde::from_slice(&response).map_err(|error| HttpError::Invalid(error.to_string()))
    }
}

/// Builds a request.
///
/// # Errors
///
/// [`HttpError::Invalid`] if the path or the content type is not valid in a
/// request.
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
