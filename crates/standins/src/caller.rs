//! A caller: asks which addresses to use, keeps the answer for a while,
//! connects there itself.

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

const ADDRESSES_TIMEOUT_MS: u64 = 1_000;

/// One call of a plain service, as it stands in the data file.
#[derive(Clone, Debug, Deserialize)]
pub struct CallSpec {
    /// The service.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path at the service.
    pub path: String,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// The body.
    pub body: String,
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// With a whole answer.
    Answer(Bytes),
    /// With a refusal.
    Refused(ErrorBody),
    /// With a connection that could not be made or broke.
    Failed(String),
}

/// A caller with its list of addresses.
#[derive(Debug)]
pub struct Caller {
    http: HttpClient,
    known: Vec<SocketAddr>,
    entries: Vec<AddressEntry>,
    keep_until: Instant,
    rng: SmallRng,
}

impl Caller {
    /// Creates a caller that knows some addresses to start from.
    #[must_use]
    pub fn new(known: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            http: HttpClient::new(),
            known,
            entries: Vec::new(),
            keep_until: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    async fn entry(&mut self) -> Option<AddressEntry> {
        if self.entries.is_empty() || Instant::now() >= self.keep_until {
            self.refresh().await;
        }
        self.entries.choose(&mut self.rng).cloned()
    }

    async fn refresh(&mut self) {
        let listed = self.entries.iter().map(|entry| entry.address);
        let mut ask: Vec<SocketAddr> = listed.chain(self.known.iter().copied()).collect();
        let start = self.rng.random_range(0..ask.len().max(1));
        ask.rotate_left(start);
        for address in ask {
            let asked = Instant::now();
            let Ok(Addresses { entries, keep_ms }) = fetch_addresses(&self.http, address).await
            else {
                continue;
            };
            if !entries.is_empty() {
                self.keep_until = asked + Duration::from_millis(keep_ms);
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
        let Some(entry) = self.entry().await else {
            return CallOutcome::Failed("no address is known".to_owned());
        };
        let sending = OutgoingRequest {
            id: id.to_owned(),
            method,
            path: path.to_owned(),
            body,
            is_idempotent,
            ticket: entry.ticket.to_string(),
            timeout_ms,
        };
        let ended = sending.send(&self.http, entry.address).await;
        if matches!(ended, CallOutcome::Failed(_)) {
            self.entries.retain(|other| other.address != entry.address);
        }
        ended
    }
}

/// One request as it goes over the wire; sent again, it stays the same, the
/// ticket included.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The id.
    pub id: String,
    /// The HTTP method.
    pub method: Method,
    /// The path at the daemon.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The ticket that came with the address.
    pub ticket: String,
    /// The time left for the answer, in milliseconds.
    pub timeout_ms: u64,
}

impl OutgoingRequest {
    /// Returns a call of a plain service.
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

    /// Returns an idempotent completion request.
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
    /// If the path or a header cannot stand in a request.
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
        const GRACE_MS: u64 = 2_000;
        let request = match self.try_build(address) {
            Ok(request) => request,
            Err(error) => return CallOutcome::Failed(error.to_string()),
        };
        match http
            .exchange(address, request, self.timeout_ms + GRACE_MS)
            .await
        {
            Ok(body) => CallOutcome::Answer(body),
            Err(HttpError::Status(status, body)) => refused(status, &body),
            Err(error) => CallOutcome::Failed(error.to_string()),
        }
    }
}

/// Asks one daemon which addresses to use.
///
/// # Errors
///
/// Those of the exchange.
pub async fn fetch_addresses(
    http: &HttpClient,
    address: SocketAddr,
) -> Result<Addresses, HttpError> {
    http.get_json(address, "/v1/addresses", ADDRESSES_TIMEOUT_MS)
        .await
}

fn refused(status: StatusCode, body: &[u8]) -> CallOutcome {
    match serde_json::from_slice(body) {
        Ok(body) => CallOutcome::Refused(body),
        Err(_) => CallOutcome::Failed(format!(
            "status {status} without a body from the closed list"
        )),
    }
}

/// Reads a completion.
///
/// # Errors
///
/// The reason for which it cannot be read.
pub fn parse_completion(body: &[u8]) -> Result<Completion, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}
