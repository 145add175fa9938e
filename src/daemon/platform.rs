//! The client of the platform: its table, its object store and its list of VMs.

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

const EXCHANGE_TIMEOUT_MS: u64 = 2_000;
const SCAN_PAGE_ROWS: u32 = 1_000;

/// The result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TransactResult {
    /// The transaction took effect.
    Committed(TransactionOutcome),
    /// A check failed; nothing was written.
    Conflict,
    /// The transaction was refused or never arrived; nothing was written.
    Refused,
    /// The transaction may have taken effect; only a read can show whether.
    Unknown,
}

/// A client of the platform's table, object store and list of VMs.
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

    /// Reads one row, or returns `None` if there is no such row.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PlatformUnavailable`] if the platform gives no valid response;
    /// the same holds for the other methods that return a [`Refusal`].
    pub(crate) async fn get(&self, key: &str) -> Result<Option<Row>, Refusal> {
        let get = Get {
            keys: vec![key.into()],
        };
        let rows: Vec<Row> = self
            .post_json("/table/get", &get)
            .await
            .map_err(unavailable_error)?;
        Ok(rows.into_iter().next().filter(|row| row.row_version > 0))
    }

    /// Reads several rows in one consistent read. A row that does not exist is
    /// returned with version 0.
    pub(crate) async fn get_rows(&self, keys: &[Arc<str>]) -> Result<Vec<Row>, Refusal> {
        let get = Get {
            keys: keys.to_vec(),
        };
        self.post_json("/table/get", &get)
            .await
            .map_err(unavailable_error)
    }

    /// Reads all rows whose keys start with `prefix`, in pages.
    pub(crate) async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Refusal> {
        self.scan_after(prefix, "".into()).await
    }

    /// Reads all rows whose keys start with `prefix` and sort after `after`, in
    /// pages.
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
                limit: SCAN_PAGE_ROWS,
            };
            let page: Vec<Row> = self
                .post_json("/table/scan", &scan)
                .await
                .map_err(unavailable_error)?;
            let is_last = page.len() < SCAN_PAGE_ROWS as usize;
            rows.extend(page);
            if is_last {
                return Ok(rows);
            }
        }
    }

    /// Writes rows atomically if every check holds.
    pub(crate) async fn transact(&self, transaction: &Transaction) -> TransactResult {
        match self
            .post_json::<_, TransactionOutcome>("/table/transact", transaction)
            .await
        {
            Ok(outcome) if outcome.committed => TransactResult::Committed(outcome),
            Ok(_) => TransactResult::Conflict,
            Err(HttpError::Connect(_)) => TransactResult::Refused,
            Err(HttpError::Status(status, _)) if is_overload(status) => TransactResult::Refused,
            Err(_) => TransactResult::Unknown,
        }
    }

    /// Writes an object. Writing the same object again is idempotent.
    pub(crate) async fn put_object(&self, name: &str, bytes: Bytes) -> Result<(), Refusal> {
        let path = format!("/objects/{name}");
        self.exchange(Method::PUT, &path, bytes)
            .await
            .map_err(unavailable_error)?;
        Ok(())
    }

    /// Reads an object, or returns `None` if the store answers that there is no
    /// such object.
    pub(crate) async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Refusal> {
        let path = format!("/objects/{name}");
        match self.exchange(Method::GET, &path, Bytes::new()).await {
            Ok(bytes) => Ok(Some(bytes)),
            Err(HttpError::Status(StatusCode::NOT_FOUND, _)) => Ok(None),
            Err(error) => Err(unavailable_error(error)),
        }
    }

    /// Deletes an object. No row may refer to it any more.
    pub(crate) async fn delete_object(&self, name: &str) -> Result<(), Refusal> {
        let path = format!("/objects/{name}");
        self.exchange(Method::DELETE, &path, Bytes::new())
            .await
            .map_err(unavailable_error)?;
        Ok(())
    }

    /// Reads the list of VMs, which may be outdated.
    pub(crate) async fn listed_vms(&self) -> Result<Vec<ListedVm>, Refusal> {
        let response = self
            .exchange(Method::GET, "/vms", Bytes::new())
            .await
            .map_err(unavailable_error)?;
        serde_json::from_slice(&response).map_err(unavailable_error)
    }

    async fn post_json<T, A>(&self, path: &str, body: &T) -> Result<A, HttpError>
    where
        T: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body =
            serde_json::to_vec(body).map_err(|error| HttpError::Invalid(error.to_string()))?;
        let response = self.exchange(Method::POST, path, body.into()).await?;
        serde_json::from_slice(&response).map_err(|error| HttpError::Invalid(error.to_string()))
    }

    /// Sends a request to the preferred address.
    ///
    /// If that address cannot be reached or gives no complete response in time, the
    /// next address becomes the preferred one for later calls. This call is not
    /// retried, so that a write is never sent twice.
    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, HttpError> {
        let index = self.preferred.load(Ordering::Relaxed) % self.addresses.len();
        let address = self.addresses[index];
        let request = build_request(method, address, path, "application/json", body)?;
        let result = self
            .http
            .exchange(address, request, EXCHANGE_TIMEOUT_MS)
            .await;
        if matches!(
            result,
            Err(HttpError::Connect(_) | HttpError::Incomplete(_) | HttpError::Timeout(_))
        ) {
            self.preferred.store(index + 1, Ordering::Relaxed);
        }
        result
    }
}

/// Returns whether the status means that the platform did not run the request.
fn is_overload(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE
}

fn unavailable_error<E>(error: E) -> Refusal
where
    E: std::fmt::Display,
{
    Refusal::new(ErrorKind::PlatformUnavailable, error.to_string())
}
