//! A caller that asks for the list of daemon addresses, caches it for a limited
//! time and connects to the daemons directly.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use chicoryreach::{
    daemon::{HttpClient, HttpError},
    wire::callers::{
        AddressEntry, Addresses, Completion, CompletionRequest, ErrorBody, IDEMPOTENT_HEADER,
        PRIORITY_HEADER, REQUEST_ID_HEADER, TICKET_HEADER, TIMEOUT_HEADER,
    },
};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::Deserialize;

/// The time limit of a request for the list of addresses.
const ADDRESSES_TIMEOUT_MS: u64 = 1_000;

/// A call of a plain service, as defined in the data file.
#[derive(Clone, Debug, Deserialize)]
pub struct CallSpec {
    /// The name of the service.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path at the service.
    pub path: String,
    /// Whether the call is idempotent and may run more than once.
    pub idempotent: bool,
    /// The body.
    pub body: String,
}

/// The outcome of a request for its caller.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// A whole answer.
    Answer(Bytes),
    /// A refusal.
    Refused(ErrorBody),
    /// A failure without a valid answer, for example a broken connection.
    Failed(String),
}

/// A caller with its cached list of addresses.
#[derive(Debug)]
pub struct Caller {
    http: HttpClient,
    initial_addresses: Vec<SocketAddr>,
    entries: Vec<AddressEntry>,
    entries_expire_at: Instant,
    rng: SmallRng,
}

impl Caller {
    /// Creates a caller that requests its list from `initial_addresses`.
    #[must_use]
    pub fn new(initial_addresses: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            http: HttpClient::new(),
            initial_addresses,
            entries: Vec::new(),
            entries_expire_at: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    async fn choose_entry(&mut self) -> Option<AddressEntry> {
        if self.entries.is_empty() || Instant::now() >= self.entries_expire_at {
            self.refresh_entries().await;
        }
        self.entries.choose(&mut self.rng).cloned()
    }

    async fn refresh_entries(&mut self) {
        let listed = self.entries.iter().map(|entry| entry.address);
        let mut daemons: Vec<SocketAddr> = listed
            .chain(self.initial_addresses.iter().copied())
            .collect();
        let start = self.rng.random_range(0..daemons.len().max(1));
        daemons.rotate_left(start);
        for address in daemons {
            let requested_at = Instant::now();
            let Ok(Addresses { entries, keep_ms }) = fetch_addresses(&self.http, address).await
            else {
                continue;
            };
            if !entries.is_empty() {
                self.entries_expire_at = requested_at + Duration::from_millis(keep_ms);
                self.entries = entries;
                return;
            }
        }
    }

    /// Sends a completion request and waits for the whole answer.
    pub async fn complete(
        &mut self,
        id: &str,
        completion: &CompletionRequest,
        timeout_ms: u64,
    ) -> CallOutcome {
        let body = serde_json::to_vec(completion).unwrap_or_default();
        self.send(
            id,
            Method::POST,
            "/v1/completions",
            body.into(),
            true,
            timeout_ms,
        )
        .await
    }

    /// Calls a plain service.
    pub async fn call(&mut self, id: &str, spec: &CallSpec, timeout_ms: u64) -> CallOutcome {
        let method = Method::from_bytes(spec.method.as_bytes()).unwrap_or(Method::POST);
        let path = format!("/services/{}/{}", spec.service, spec.path);
        let body = spec.body.clone().into();
        self.send(id, method, &path, body, spec.idempotent, timeout_ms)
            .await
    }

    async fn send(
        &mut self,
        id: &str,
        method: Method,
        path: &str,
        body: Bytes,
        is_idempotent: bool,
        timeout_ms: u64,
    ) -> CallOutcome {
        let Some(entry) = self.choose_entry().await else {
            return CallOutcome::Failed("no address is known".to_owned());
        };
        let request = OutgoingRequest {
            id: id.to_owned(),
            method,
            path: path.to_owned(),
            body,
            is_idempotent,
            ticket: entry.ticket.to_string(),
            timeout_ms,
        };
        let outcome = request.send(&self.http, entry.address).await;
        if matches!(outcome, CallOutcome::Failed(_)) {
            self.entries.retain(|other| other.address != entry.address);
        }
        outcome
    }
}

/// A request as it is sent over the wire. A retry sends it unchanged, including
/// the ticket.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The request id.
    pub id: String,
    /// The HTTP method.
    pub method: Method,
    /// The path at the daemon.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// Whether the request is idempotent and may run more than once.
    pub is_idempotent: bool,
    /// The ticket that came with the address.
    pub ticket: String,
    /// The time left for the answer, in milliseconds.
    pub timeout_ms: u64,
}

impl OutgoingRequest {
    /// Creates a call of a plain service.
    #[must_use]
    pub fn call(id: &str, spec: &CallSpec, ticket: &str, timeout_ms: u64) -> Self {
        Self {
            id: id.to_owned(),
            method: Method::from_bytes(spec.method.as_bytes()).unwrap_or(Method::POST),
            path: format!("/services/{}/{}", spec.service, spec.path),
            body: spec.body.clone().into(),
            is_idempotent: spec.idempotent,
            ticket: ticket.to_owned(),
            timeout_ms,
        }
    }

    /// Creates an idempotent completion request without a ticket.
    #[must_use]
    pub fn completion(id: &str, completion: &CompletionRequest, timeout_ms: u64) -> Self {
        Self {
            id: id.to_owned(),
            method: Method::POST,
            path: "/v1/completions".to_owned(),
            body: serde_json::to_vec(completion).unwrap_or_default().into(),
            is_idempotent: true,
            ticket: String::new(),
            timeout_ms,
        }
    }

    /// Builds the request for one address.
    ///
    /// # Errors
    ///
    /// Returns an error if the path or a header is invalid.
    pub fn try_build(
        &self,
        address: SocketAddr,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{address}{}", self.path))
            .header(REQUEST_ID_HEADER, &self.id)
            .header(TIMEOUT_HEADER, self.timeout_ms)
            .header(PRIORITY_HEADER, "interactive")
            .header(IDEMPOTENT_HEADER, self.is_idempotent.to_string());
        if !self.ticket.is_empty() {
            request = request.header(TICKET_HEADER, &self.ticket);
        }
        request.body(Full::new(self.body.clone()))
    }

    /// Sends the request to one address and waits for the whole answer.
    pub async fn send(&self, http: &HttpClient, address: SocketAddr) -> CallOutcome {
        const ANSWER_GRACE_MS: u64 = 2_000;
        let request = match self.try_build(address) {
            Ok(request) => request,
            Err(error) => return CallOutcome::Failed(error.to_string()),
        };
        match http
            .exchange(address, request, self.timeout_ms + ANSWER_GRACE_MS)
            .await
        {
            Ok(body) => CallOutcome::Answer(body),
            Err(HttpError::Status(status, body)) => status_outcome(status, &body),
            Err(error) => CallOutcome::Failed(error.to_string()),
        }
    }
}

/// Fetches the list of addresses from a daemon.
///
/// # Errors
///
/// Returns the error of the HTTP exchange.
pub async fn fetch_addresses(
    http: &HttpClient,
    address: SocketAddr,
) -> Result<Addresses, HttpError> {
    http.get_json(address, "/v1/addresses", ADDRESSES_TIMEOUT_MS)
        .await
}

/// Returns the outcome of an answer with an error status.
fn status_outcome(status: StatusCode, body: &[u8]) -> CallOutcome {
    match serde_json::from_slice(body) {
        Ok(body) => CallOutcome::Refused(body),
        Err(_) => CallOutcome::Failed(format!("status {status} without a valid error body")),
    }
}

/// Parses a completion.
///
/// # Errors
///
/// Returns a message if the body is not a valid completion.
pub fn parse_completion(body: &[u8]) -> Result<Completion, String> {
    serde_json::from_slice(body).map_err(|error| format!("invalid completion: {error}"))
}
