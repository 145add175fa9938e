//! The client of the platform's store: rows, conditional transactions, objects.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use form_urlencoded::Serializer;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use quick_error::quick_error;
use serde::Deserialize;

use super::wire_rows::{WireRows, WireTxAnswer, decode_row, encode_tx};
use crate::{
    core::{
        Name,
        leader_lease::PlatformClock,
        store_path::{StorePath, StorePathSelector},
    },
    daemon::now_ms,
    server::{ExchangeClient, ExchangeError, StoreCall, WholeReply, lock, relay},
};

/// The timeout of a call, in milliseconds. Answers usually take 4 ms, slow ones
/// up to half a second.
const CALL_TIMEOUT_MS: u64 = 1_200;
/// By how much the timeout of a watch exceeds the time that the store waits for
/// changes, in milliseconds.
const WATCH_SLACK_MS: u64 = 500;
/// The most rows that one call reads.
const MAX_ROWS_PER_PAGE: usize = 500;

quick_error! {
    /// Why a call to the store failed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum StoreError {
        /// The call was refused, not sent or not encoded, and had no effect.
        NotDone(message: String) {
            display("not done: {message}")
        }
        /// The call may have taken effect.
        Unknown(message: String) {
            display("outcome unknown: {message}")
        }
    }
}

/// A row that a transaction depends on, and the version that it must have: 0 if
/// it must not exist.
#[derive(Clone, Debug)]
pub(crate) struct Condition {
    pub(crate) table: &'static str,
    pub(crate) key: Name,
    pub(crate) row_version: u64,
}

/// An atomic change of rows in one part.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tx {
    pub(crate) part: Name,
    pub(crate) conditions: Vec<Condition>,
    pub(crate) set: Vec<(&'static str, Name, Vec<u8>)>,
    pub(crate) delete: Vec<(&'static str, Name)>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug)]
pub(crate) enum TxOutcome {
    /// The transaction took effect, and the rows have this version.
    Committed(u64),
    /// A condition did not hold. Holds the current rows.
    Conflict(Vec<Row>),
}

/// A row of the store.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) part: Name,
    pub(crate) key: Name,
    /// `None` if the row was deleted or cannot be decoded.
    pub(crate) bytes: Option<Vec<u8>>,
    /// The version of the last change to the row; 0 if it was deleted.
    pub(crate) version: u64,
}

/// Rows as of one version of the store.
#[derive(Clone, Debug)]
pub(crate) struct Rows {
    pub(crate) rows: Vec<Row>,
    pub(crate) version: u64,
}

/// The outcome of a watch of a table.
#[derive(Clone, Debug)]
pub(crate) enum WatchOutcome {
    /// These rows have changed.
    Changed(Rows),
    /// The store no longer knows the changes since the given version; the table
    /// has to be read again.
    HistoryLost,
}

/// A client of the platform's store.
///
/// Calls are relayed through other VMs while the store does not answer this one.
/// They fail with [`StoreError::NotDone`] if they had no effect, and with
/// [`StoreError::Unknown`] if they may have had one.
#[derive(Debug)]
pub(crate) struct Store {
    address: SocketAddr,
    http: Arc<ExchangeClient>,
    clock: Mutex<PlatformClock>,
    path_selector: Mutex<StorePathSelector>,
    own_peer_address: SocketAddr,
    /// The addresses at which other VMs relay calls; the next to use comes first.
    peers: Mutex<Vec<SocketAddr>>,
}

/// How many VMs are asked to relay a call before it fails.
const MAX_RELAY_ATTEMPTS: usize = 2;
/// How often to check whether a probe of the direct connection is due, in
/// milliseconds.
const PROBE_CHECK_INTERVAL_MS: u64 = 50;
/// The timeout of a probe of the direct connection, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 300;
/// The path of a probe: a read that costs the store almost nothing.
const PROBE_PATH: &str = "/v1/rows-get?table=op&part=&from=config&limit=1";

impl Store {
    /// Creates a client; `seeds` relay calls until the members are known.
    pub(crate) fn new(
        address: SocketAddr,
        own_peer_address: SocketAddr,
        seeds: &[SocketAddr],
        http: Arc<ExchangeClient>,
    ) -> Self {
        let others = seeds.iter().filter(|seed| **seed != own_peer_address);
        Self {
            address,
            http,
            clock: Mutex::default(),
            path_selector: Mutex::default(),
            own_peer_address,
            peers: Mutex::new(others.copied().collect()),
        }
    }

    /// Returns the earliest and the latest time that the store's clock can show
    /// now; `None` before the first answer with its time.
    pub(crate) fn clock_bounds_ms(&self) -> Option<(u64, u64)> {
        let (clock, now_ms) = (lock(&self.clock), now_ms());
        Some((clock.earliest_ms(now_ms)?, clock.latest_ms(now_ms)?))
    }

    /// Returns whether this VM calls the store directly.
    pub(crate) fn is_direct(&self) -> bool {
        lock(&self.path_selector).path() == StorePath::Direct
    }

    /// Executes a transaction.
    pub(crate) async fn transact(&self, tx: &Tx) -> Result<TxOutcome, StoreError> {
        let body = serde_json::to_vec(&encode_tx(tx)).map_err(|error| {
            StoreError::NotDone(format!("transaction cannot be encoded: {error}"))
        })?;
        let sent_ms = now_ms();
        let reply = self
            .call(
                Method::POST,
                "/v1/rows-tx",
                body.into(),
                &[],
                CALL_TIMEOUT_MS,
            )
            .await?;
        let is_committed = reply.status == StatusCode::OK;
        if !is_committed && reply.status != StatusCode::PRECONDITION_FAILED {
            return Err(status_error(&reply));
        }
        let answer: WireTxAnswer = decode_json(&reply.body)?;
        if let Some(platform_ms) = answer.now_ms {
            lock(&self.clock).on_answer(sent_ms, now_ms(), platform_ms);
        }
        Ok(if is_committed {
            TxOutcome::Committed(answer.row_version)
        } else {
            TxOutcome::Conflict(answer.rows.into_iter().map(decode_row).collect())
        })
    }

    /// Reads up to `limit` rows of a part, with keys at or after `from` and before
    /// `to`.
    pub(crate) async fn read(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> Result<Rows, StoreError> {
        let mut rows = Vec::new();
        let mut from = from.to_owned();
        loop {
            let limit_left = limit - rows.len();
            let (page, has_more) = self.read_page(table, part, &from, to, limit_left).await?;
            rows.extend(page.rows);
            if !has_more || rows.len() >= limit {
                let version = page.version;
                return Ok(Rows { rows, version });
            }
            let last_row: &Row = rows.last().ok_or_else(|| {
                StoreError::NotDone(format!(
                    "empty page of table {table}, part {part:?}, with more rows to follow"
                ))
            })?;
            // The smallest key after the last one.
            from = format!("{}\0", last_row.key);
        }
    }

    /// Reads up to `limit` rows with one call, and whether there are more. The store
    /// bounds the bytes of an answer.
    pub(crate) async fn read_page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> Result<(Rows, bool), StoreError> {
        let limit = limit.min(MAX_ROWS_PER_PAGE).to_string();
        let mut pairs = vec![("table", table), ("part", part), ("from", from)];
        pairs.extend(to.map(|to| ("to", to)));
        pairs.push(("limit", &limit));
        let path = format!("/v1/rows-get?{}", encode_query(&pairs));
        let answer = self.get_rows(&path, CALL_TIMEOUT_MS).await?;
        let rows = Rows {
            rows: answer.rows.into_iter().map(decode_row).collect(),
            version: answer.row_version,
        };
        Ok((rows, answer.has_more))
    }

    /// Reads all parts of a table.
    pub(crate) async fn read_table(&self, table: &str) -> Result<Rows, StoreError> {
        #[derive(Deserialize)]
        struct Parts {
            parts: Vec<Name>,
            #[serde(default)]
            has_more: bool,
        }
        // The version before the first page, so that a watch from it on reports
        // all rows that change during the read.
        let version = self.read(table, "", "", None, 1).await?.version;
        let (mut rows, mut after) = (Vec::new(), None::<Name>);
        loop {
            let mut pairs = vec![("table", table)];
            pairs.extend(after.as_deref().map(|after| ("after", after)));
            let path = format!("/v1/rows-parts?{}", encode_query(&pairs));
            let reply = self
                .call(Method::GET, &path, Bytes::new(), &[], CALL_TIMEOUT_MS)
                .await?;
            if reply.status != StatusCode::OK {
                return Err(status_error(&reply));
            }
            let page: Parts = decode_json(&reply.body)?;
            for part in &page.parts {
                let read = self.read(table, part, "", None, usize::MAX).await?;
                rows.extend(read.rows);
            }
            match page.parts.last() {
                Some(last) if page.has_more => after = Some(last.clone()),
                _ => return Ok(Rows { rows, version }),
            }
        }
    }

    /// Waits up to `wait_ms` for changes of a table after version `after`.
    pub(crate) async fn watch(
        &self,
        table: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<WatchOutcome, StoreError> {
        let path = format!("/v1/rows-feed?table={table}&after={after}&wait_ms={wait_ms}");
        let reply = self
            .call(
                Method::GET,
                &path,
                Bytes::new(),
                &[],
                wait_ms + WATCH_SLACK_MS,
            )
            .await?;
        match reply.status {
            StatusCode::OK => {
                let answer: WireRows = decode_json(&reply.body)?;
                Ok(WatchOutcome::Changed(Rows {
                    version: answer.row_version,
                    rows: answer.rows.into_iter().map(decode_row).collect(),
                }))
            }
            StatusCode::GONE => Ok(WatchOutcome::HistoryLost),
            _ => Err(status_error(&reply)),
        }
    }

    /// Writes an object unless it exists; returns whether it was written.
    pub(crate) async fn put_object(&self, name: &str, bytes: Bytes) -> Result<bool, StoreError> {
        let path = format!("/v1/blob-put/{name}");
        let only_new = [(header::IF_NONE_MATCH.as_str(), "*")];
        let reply = self
            .call(Method::PUT, &path, bytes, &only_new, CALL_TIMEOUT_MS)
            .await?;
        match reply.status {
            StatusCode::OK => Ok(true),
            StatusCode::PRECONDITION_FAILED => Ok(false),
            _ => Err(status_error(&reply)),
        }
    }

    /// Reads an object; returns `None` if it does not exist.
    pub(crate) async fn get_object(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        let path = format!("/v1/blob-get/{name}");
        let reply = self
            .call(Method::GET, &path, Bytes::new(), &[], CALL_TIMEOUT_MS)
            .await?;
        match reply.status {
            StatusCode::OK => Ok(Some(reply.body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(status_error(&reply)),
        }
    }

    /// Returns the names of the objects that begin with `prefix`.
    pub(crate) async fn list_objects(&self, prefix: &str) -> Result<Vec<Name>, StoreError> {
        #[derive(Deserialize)]
        struct Objects {
            names: Vec<Name>,
            #[serde(default)]
            has_more: bool,
        }
        let (mut names, mut after) = (Vec::<Name>::new(), None::<Name>);
        loop {
            let mut pairs = vec![("prefix", prefix)];
            pairs.extend(after.as_deref().map(|after| ("after", after)));
            let path = format!("/v1/blob-list?{}", encode_query(&pairs));
            let reply = self
                .call(Method::GET, &path, Bytes::new(), &[], CALL_TIMEOUT_MS)
                .await?;
            if reply.status != StatusCode::OK {
                return Err(status_error(&reply));
            }
            let page: Objects = decode_json(&reply.body)?;
            names.extend(page.names);
            match names.last() {
                Some(last) if page.has_more => after = Some(last.clone()),
                _ => return Ok(names),
            }
        }
    }

    /// Deletes an object, if it exists.
    pub(crate) async fn delete_object(&self, name: &str) -> Result<(), StoreError> {
        let path = format!("/v1/blob-drop/{name}");
        let reply = self
            .call(Method::DELETE, &path, Bytes::new(), &[], CALL_TIMEOUT_MS)
            .await?;
        match reply.status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
            _ => Err(status_error(&reply)),
        }
    }

    async fn get_rows(&self, path: &str, timeout_ms: u64) -> Result<WireRows, StoreError> {
        let sent_ms = now_ms();
        let reply = self
            .call(Method::GET, path, Bytes::new(), &[], timeout_ms)
            .await?;
        if reply.status != StatusCode::OK {
            return Err(status_error(&reply));
        }
        let answer: WireRows = decode_json(&reply.body)?;
        lock(&self.clock).on_answer(sent_ms, now_ms(), answer.now_ms);
        Ok(answer)
    }

    /// Makes a call directly, or through other VMs if the store does not answer
    /// this one.
    ///
    /// A read whose direct call fails is relayed, and so is a write whose direct
    /// call certainly had no effect.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        headers: &[(&str, &str)],
        timeout_ms: u64,
    ) -> Result<WholeReply, StoreError> {
        let call = StoreCall {
            method: method.as_str().into(),
            path: path.into(),
            headers: headers
                .iter()
                .map(|(name, text)| ((*name).into(), (*text).into()))
                .collect(),
            body,
            timeout_ms,
        };
        let is_read = method == Method::GET;
        let direct = if self.is_direct() {
            Some(self.call_direct(&call).await)
        } else {
            None
        };
        match direct {
            Some(Ok(reply)) if !is_unavailable(reply.status) => return Ok(reply),
            Some(Err(error @ StoreError::Unknown(_))) if !is_read => return Err(error),
            _ => {}
        }
        let relayed = self.relay(&call).await;
        match (relayed, direct) {
            // Neither took effect: the store's own answer says more.
            (Err(StoreError::NotDone(_)), Some(direct)) => direct,
            (relayed, _) => relayed,
        }
    }

    /// Makes a call over this VM's own connection.
    pub(crate) async fn call_direct(&self, call: &StoreCall) -> Result<WholeReply, StoreError> {
        let mut request = Request::builder()
            .method(&*call.method)
            .uri(&*call.path)
            .header(header::HOST, self.address.to_string());
        for (name, text) in &call.headers {
            request = request.header(&**name, &**text);
        }
        if !call.body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(call.body.clone()))
            .map_err(|error| {
                StoreError::NotDone(format!(
                    "request to {:?} cannot be built: {error}",
                    call.path
                ))
            })?;
        let deadline_ms = now_ms() + call.timeout_ms;
        let result = self
            .http
            .exchange_whole(self.address, request, deadline_ms)
            .await;
        let is_answered = result
            .as_ref()
            .is_ok_and(|reply| !is_unavailable(reply.status));
        if lock(&self.path_selector).on_direct_call(now_ms(), is_answered) {
            let error = result.as_ref().err().map(ToString::to_string);
            let status = result.as_ref().ok().map(|reply| reply.status.as_u16());
            tracing::info!(is_answered, status, error, "way to the store changes");
        }
        result.map_err(|error| {
            // The other idle connections may be dead as well.
            self.http.close_idle(self.address);
            match error {
                ExchangeError::NotSent(detail) | ExchangeError::NotPermitted(detail) => {
                    StoreError::NotDone(detail)
                }
                ExchangeError::Incomplete(detail)
                | ExchangeError::TooLong(detail)
                | ExchangeError::Misplaced(detail) => StoreError::Unknown(detail),
            }
        })
    }

    /// Makes a call through other VMs, which may still reach the store.
    async fn relay(&self, call: &StoreCall) -> Result<WholeReply, StoreError> {
        let mut last = StoreError::NotDone("no other VM is known to relay the call".to_owned());
        for _ in 0..MAX_RELAY_ATTEMPTS {
            let Some(peer) = self.next_peer() else { break };
            match relay::send(&self.http, peer, call).await {
                Ok(reply) => return Ok(reply),
                Err(error @ StoreError::Unknown(_)) if &*call.method != Method::GET.as_str() => {
                    return Err(error);
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Returns the address of the VM that relays the next call.
    fn next_peer(&self) -> Option<SocketAddr> {
        let mut peers = lock(&self.peers);
        let next = peers.first().copied()?;
        peers.rotate_left(1);
        Some(next)
    }

    /// Sets the VMs that relay calls; an empty list changes nothing.
    pub(crate) fn set_peers(&self, mut addresses: Vec<SocketAddr>) {
        if !addresses.is_empty() {
            let offset = usize::from(self.own_peer_address.port()) % addresses.len();
            addresses.rotate_left(offset);
            let first = lock(&self.peers).first().copied();
            // Continues the rotation after the VM used last, which spreads load.
            if let Some(at) = addresses.iter().position(|address| Some(*address) == first) {
                addresses.rotate_left(at);
            }
            *lock(&self.peers) = addresses;
        }
    }

    /// Probes the direct connection at intervals while calls are relayed.
    pub(crate) async fn probe_direct_connection(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(PROBE_CHECK_INTERVAL_MS)).await;
            let is_due = lock(&self.path_selector).is_probe_due(now_ms());
            if is_due {
                let call = StoreCall {
                    method: Method::GET.as_str().into(),
                    path: PROBE_PATH.into(),
                    headers: Vec::new(),
                    body: Bytes::new(),
                    timeout_ms: PROBE_TIMEOUT_MS,
                };
                if let Err(error) = self.call_direct(&call).await {
                    tracing::debug!(%error, "store cannot be reached directly");
                }
            }
        }
    }
}

fn encode_query(pairs: &[(&str, &str)]) -> String {
    let mut serializer = Serializer::new(String::new());
    serializer.extend_pairs(pairs);
    serializer.finish()
}

fn is_unavailable(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
}

/// Returns the error for an answer with an unexpected status.
///
/// A server error other than an overload may come after the call took effect.
fn status_error(reply: &WholeReply) -> StoreError {
    let text = String::from_utf8_lossy(&reply.body);
    let message = format!(
        "the store answered {}: {}",
        reply.status,
        text.chars().take(200).collect::<String>()
    );
    if reply.status.is_server_error() && !is_unavailable(reply.status) {
        StoreError::Unknown(message)
    } else {
        StoreError::NotDone(message)
    }
}

fn decode_json<'a, T>(body: &'a [u8]) -> Result<T, StoreError>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(body).map_err(|error| {
        StoreError::Unknown(format!("answer of the store cannot be decoded: {error}"))
    })
}
