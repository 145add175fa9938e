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

use super::text;
use crate::platform::{self, Platform};

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The platform, in memory or over loopback, with a count of what was written.
pub(super) struct Store {
    memory: platform::Store,
    remote: Option<(Platform, HttpClient)>,
    pub(super) row_bytes: u64,
    pub(super) object_bytes: u64,
    pub(super) row_writes: u64,
    pub(super) object_writes: u64,
}

impl Store {
    pub(super) async fn try_new(is_loopback: bool) -> Result<Self, String> {
        let remote = if is_loopback {
            let platform = Platform::try_start().await.map_err(text)?;
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

    pub(super) async fn put(&mut self, name: &Arc<str>, bytes: &[u8]) -> Result<(), String> {
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
        let body = serde_json::to_vec(transaction).map_err(text)?;
        self.row_writes += 1;
        self.row_bytes += body.len() as u64;
        let outcome: TransactionOutcome = if self.remote.is_some() {
            let answer = self.exchange(Method::POST, "/table/transact", body.into());
            serde_json::from_slice(&answer.await?).map_err(text)?
        } else {
            self.memory.transact(transaction)
        };
        if !outcome.committed {
            return Err("a commit met a conflict".to_owned());
        }
        let head = head_key(trainer);
        let mut versions = outcome.row_versions.into_iter();
        let version = versions.find_map(|(key, version)| (key == head).then_some(version));
        version.ok_or_else(|| "a commit did not write the head".to_owned())
    }

    /// Reads what a new holder reads.
    pub(super) async fn load(&mut self, trainer: &str) -> Result<StoredLedger, String> {
        let get = Get {
            keys: vec![head_key(trainer)],
        };
        let head = self.get(get).await?.into_iter().next();
        let row_version = head.as_ref().map_or(0, |row| row.row_version);
        let head = head.filter(|row| row.row_version > 0);
        let head = head.map(|row| serde_json::from_value(row.value).map_err(text));
        let mut steps = Vec::new();
        for row in self.scan(&steps_prefix(trainer)).await? {
            steps.push(serde_json::from_value(row.value).map_err(text)?);
        }
        let mut chunks = Vec::new();
        for row in self.scan(&chunks_prefix(trainer)).await? {
            let number = row.key.rsplit('/').next().unwrap_or_default();
            let number = number.parse().map_err(text)?;
            let chunk: ChunkRow = serde_json::from_value(row.value).map_err(text)?;
            chunks.push((number, chunk));
        }
        Ok(StoredLedger {
            head: head.transpose()?,
            row_version,
            steps,
            chunks,
        })
    }

    async fn get(&mut self, get: Get) -> Result<Vec<Row>, String> {
        if self.remote.is_some() {
            return self.post("/table/get", &get).await;
        }
        Ok(self.memory.get(&get))
    }

    async fn scan(&mut self, prefix: &Arc<str>) -> Result<Vec<Row>, String> {
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

    pub(super) async fn object(&self, name: &Arc<str>) -> Result<Bytes, String> {
        if self.remote.is_some() {
            let path = format!("/objects/{name}");
            return self.exchange(Method::GET, &path, Bytes::new()).await;
        }
        let object = self.memory.objects.get(name).cloned();
        object.ok_or_else(|| format!("there is no object {name}"))
    }

    async fn post<T, A>(&self, path: &str, body: &T) -> Result<A, String>
    where
        T: Serialize,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(text)?;
        let answer = self.exchange(Method::POST, path, body.into()).await?;
        serde_json::from_slice(&answer).map_err(text)
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, String> {
        let (platform, client) = self.remote.as_ref().ok_or("there is no platform")?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", platform.address))
            .body(Full::new(body))
            .map_err(text)?;
        let response = client.request(request).await.map_err(text)?;
        if !response.status().is_success() {
            return Err(format!("{path}: status {}", response.status()));
        }
        let body = response.into_body().collect().await.map_err(text)?;
        Ok(body.to_bytes())
    }
}
