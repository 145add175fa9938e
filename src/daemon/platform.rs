use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use super::http::{HttpClient, HttpError, build_request};
use crate::{
    error::{ErrorKind, Refusal},
    wire::platform::{Get, ListedVm, Row, Scan, Transaction, TransactionOutcome},
};

const TIMEOUT_MS: u64 = 2_000;
const SCAN_LIMIT: u32 = 1_000;

/// What came of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TransactResult {
    /// It took effect.
    Committed(TransactionOutcome),
    /// A check did not hold; nothing was written.
    Conflict,
    /// It was refused or never arrived; nothing was written.
    Refused,
    /// It may have taken effect: only reading tells.
    Unknown,
}

/// The platform's table, object store and list of VMs.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    http: HttpClient,
    addresses: Arc<[SocketAddr]>,
    preferred: Arc<AtomicUsize>,
}

impl Platform {
    pub(crate) fn new(http: HttpClient, addresses: &[SocketAddr]) -> Self {
        Self {
            http,
            addresses: addresses.into(),
            preferred: Arc::default(),
        }
    }

    /// Reads one row; none if there is no such row.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<Row>, Refusal> {
        let get = Get {
            keys: vec![key.into()],
        };
        let rows: Vec<Row> = self.post("/table/get", &get).await.map_err(unavailable)?;
        Ok(rows.into_iter().next().filter(|row| row.row_version > 0))
    }

    /// Reads rows together, as they stand at one time; version 0 for no row.
    pub(crate) async fn get_rows(&self, keys: &[Arc<str>]) -> Result<Vec<Row>, Refusal> {
        let get = Get {
            keys: keys.to_vec(),
        };
        self.post("/table/get", &get).await.map_err(unavailable)
    }

    /// Reads every row whose key starts with a prefix.
    pub(crate) async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Refusal> {
        self.scan_after(prefix, "".into()).await
    }

    /// Reads every row whose key starts with a prefix and comes after a key.
    pub(crate) async fn scan_after(
        &self,
        prefix: &str,
        after: Arc<str>,
    ) -> Result<Vec<Row>, Refusal> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows
                .last()
                .map_or_else(|| after.clone(), |row| row.key.clone());
            let scan = Scan {
                prefix: prefix.into(),
                after,
                limit: SCAN_LIMIT,
            };
            let page: Vec<Row> = self.post("/table/scan", &scan).await.map_err(unavailable)?;
            let is_last = page.len() < SCAN_LIMIT as usize;
            rows.extend(page);
            if is_last {
                return Ok(rows);
            }
        }
    }

    /// Writes rows together, if every check holds.
    pub(crate) async fn transact(&self, transaction: &Transaction) -> TransactResult {
        match self
            .post::<_, TransactionOutcome>("/table/transact", transaction)
            .await
        {
            Ok(outcome) if outcome.committed => TransactResult::Committed(outcome),
            Ok(_) => TransactResult::Conflict,
            Err(HttpError::Connect(_)) => TransactResult::Refused,
            Err(HttpError::Status(status, _)) if is_refusal(status) => TransactResult::Refused,
            Err(_) => TransactResult::Unknown,
        }
    }

    /// Writes an object; the same object may be written again.
    pub(crate) async fn put_object(&self, name: &str, bytes: Bytes) -> Result<(), Refusal> {
        let path = format!("/objects/{name}");
        self.exchange(Method::PUT, &path, bytes)
            .await
            .map_err(unavailable)?;
        Ok(())
    }

    /// Reads an object; none if the store says that there is no such object.
    pub(crate) async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Refusal> {
        let path = format!("/objects/{name}");
        match self.exchange(Method::GET, &path, Bytes::new()).await {
            Ok(bytes) => Ok(Some(bytes)),
            Err(HttpError::Status(StatusCode::NOT_FOUND, _)) => Ok(None),
            Err(error) => Err(unavailable(error)),
        }
    }

    /// Deletes an object that no row lists any more.
    pub(crate) async fn delete_object(&self, name: &str) -> Result<(), Refusal> {
        let path = format!("/objects/{name}");
        self.exchange(Method::DELETE, &path, Bytes::new())
            .await
            .map_err(unavailable)?;
        Ok(())
    }

    /// Reads the list of VMs, which lags.
    pub(crate) async fn listed_vms(&self) -> Result<Vec<ListedVm>, Refusal> {
        let answer = self
            .exchange(Method::GET, "/vms", Bytes::new())
            .await
            .map_err(unavailable)?;
        serde_json::from_slice(&answer).map_err(unavailable)
    }

    async fn post<T, A>(&self, path: &str, body: &T) -> Result<A, HttpError>
    where
        T: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body =
            serde_json::to_vec(body).map_err(|error| HttpError::Invalid(error.to_string()))?;
        let answer = self.exchange(Method::POST, path, body.into()).await?;
        serde_json::from_slice(&answer).map_err(|error| HttpError::Invalid(error.to_string()))
    }

    /// Tries the address that last answered, then moves on to the next one for
    /// the next call: a write is never sent twice by itself.
    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, HttpError> {
        let index = self.preferred.load(Ordering::Relaxed) % self.addresses.len();
        let address = self.addresses[index];
        let request = build_request(method, address, path, "application/json", body)?;
        let result = self.http.exchange(address, request, TIMEOUT_MS).await;
        if matches!(
            result,
            Err(HttpError::Connect(_) | HttpError::Incomplete(_) | HttpError::Timeout(_))
        ) {
            self.preferred.store(index + 1, Ordering::Relaxed);
        }
        result
    }
}

fn is_refusal(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE
}

fn unavailable<E>(error: E) -> Refusal
where
    E: std::fmt::Display,
{
    Refusal::new(ErrorKind::PlatformUnavailable, error.to_string())
}
