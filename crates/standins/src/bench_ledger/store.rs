use std::sync::Arc;

use bytes::Bytes;
use chicoryreach::{
    core::sample::{ChunkRow, StoredLedger, chunks_prefix, head_key, steps_prefix},
    wire::platform::{Get, Row, Scan, Transaction, TransactionOutcome},
};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use super::error_text;
use crate::platform::{self, Platform};

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A store in memory or the platform stand-in over loopback, with counts of
/// writes.
pub(super) struct CountingStore {
    memory: platform::Store,
    remote: Option<(Platform, HttpClient)>,
    pub(super) row_bytes: u64,
    pub(super) object_bytes: u64,
    pub(super) row_writes: u64,
    pub(super) object_writes: u64,
}

impl CountingStore {
    pub(super) async fn try_new(is_loopback: bool) -> Result<Self, String> {
        let remote = if is_loopback {
            let platform = Platform::try_start().await.map_err(error_text)?;
            let client = Client::builder(TokioExecutor::new()).build_http();
            Some((platform, client))
        } else {
            None
        };
        Ok(Self {
            memory: platform::Store::default(),
            remote,
            row_bytes: 0,
            object_bytes: 0,
            row_writes: 0,
            object_writes: 0,
        })
    }

    pub(super) async fn put_object(&mut self, name: &Arc<str>, bytes: &[u8]) -> Result<(), String> {
        self.object_writes += 1;
        self.object_bytes += bytes.len() as u64;
        let bytes = Bytes::copy_from_slice(bytes);
        if self.remote.is_some() {
            let path = format!("/objects/{name}");
            self.exchange(Method::PUT, &path, bytes).await?;
        } else {
            self.memory.objects.insert(name.clone(), bytes);
        }
        Ok(())
    }

    pub(super) async fn transact(
        &mut self,
        trainer: &str,
        transaction: &Transaction,
    ) -> Result<u64, String> {
        let body = serde_json::to_vec(transaction).map_err(error_text)?;
        self.row_writes += 1;
        self.row_bytes += body.len() as u64;
        let outcome: TransactionOutcome = if self.remote.is_some() {
            let answer = self.exchange(Method::POST, "/table/transact", body.into());
            serde_json::from_slice(&answer.await?).map_err(error_text)?
        } else {
            self.memory.transact(transaction)
        };
        if !outcome.committed {
            return Err(format!("a commit of trainer {trainer} met a conflict"));
        }
        let head = head_key(trainer);
        let mut versions = outcome.row_versions.into_iter();
        let version = versions.find_map(|(key, version)| (key == head).then_some(version));
        version.ok_or_else(|| format!("a commit of trainer {trainer} did not write its head row"))
    }

    /// Loads the rows that a new holder of the ledger loads.
    pub(super) async fn load(&mut self, trainer: &str) -> Result<StoredLedger, String> {
        let get = Get {
            keys: vec![head_key(trainer)],
        };
        let head = self.get_rows(get).await?.into_iter().next();
        let row_version = head.as_ref().map_or(0, |row| row.row_version);
        let head = head.filter(|row| row.row_version > 0);
        let head = head.map(|row| serde_json::from_value(row.value).map_err(error_text));
        let mut steps = Vec::new();
        for row in self.scan_rows(&steps_prefix(trainer)).await? {
            steps.push(serde_json::from_value(row.value).map_err(error_text)?);
        }
        let mut chunks = Vec::new();
        for row in self.scan_rows(&chunks_prefix(trainer)).await? {
            let number = row.key.rsplit('/').next().unwrap_or_default();
            let number = number.parse().map_err(error_text)?;
            let chunk: ChunkRow = serde_json::from_value(row.value).map_err(error_text)?;
            chunks.push((number, chunk));
        }
        Ok(StoredLedger {
            head: head.transpose()?,
            row_version,
            steps,
            chunks,
        })
    }

    async fn get_rows(&mut self, get: Get) -> Result<Vec<Row>, String> {
        if self.remote.is_some() {
            return self.post("/table/get", &get).await;
        }
        Ok(self.memory.get(&get))
    }

    async fn scan_rows(&mut self, prefix: &Arc<str>) -> Result<Vec<Row>, String> {
        let scan = Scan {
            prefix: prefix.clone(),
            after: "".into(),
            limit: u32::MAX,
        };
        if self.remote.is_some() {
            return self.post("/table/scan", &scan).await;
        }
        Ok(self.memory.scan(&scan))
    }

    pub(super) async fn get_object(&self, name: &Arc<str>) -> Result<Bytes, String> {
        if self.remote.is_some() {
            let path = format!("/objects/{name}");
            return self.exchange(Method::GET, &path, Bytes::new()).await;
        }
        let object = self.memory.objects.get(name).cloned();
        object.ok_or_else(|| format!("object {name} does not exist"))
    }

    async fn post<T, A>(&self, path: &str, body: &T) -> Result<A, String>
    where
        T: Serialize,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(error_text)?;
        let answer = self.exchange(Method::POST, path, body.into()).await?;
        serde_json::from_slice(&answer).map_err(error_text)
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, String> {
        let (platform, client) = self
            .remote
            .as_ref()
            .ok_or("the store in memory has no platform")?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", platform.address))
            .body(Full::new(body))
            .map_err(error_text)?;
        let response = client.request(request).await.map_err(error_text)?;
        if !response.status().is_success() {
            return Err(format!("{path}: status {}", response.status()));
        }
        let body = response.into_body().collect().await.map_err(error_text)?;
        Ok(body.to_bytes())
    }
}
