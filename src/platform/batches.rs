//! Translates the calls by which trainers submit, read and end batches.

use std::borrow::Cow;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};

use super::callers::CallerHead;
use crate::core::{
    Name,
    batch::{BatchSpec, ListedSample, SampleSpec, ScoreCall, json_bytes},
};

const BATCHES_PATH: &str = "/v1/lots/";
const SAMPLE_BODIES_PATH: &str = "/v1/items/";
const WAIT_HEADER: &str = "x-wait-ms";
const TOKEN_COUNTS_HEADER: &str = "x-token-counts";
const LENGTH_HINT_HEADER: &str = "x-length-hint";

/// A call about a batch that was submitted before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum BatchCall {
    /// Reads the listed samples, starting at a position.
    Read {
        batch: Name,
        from: usize,
        wait_ms: u64,
    },
    /// Reads the body of one sample of the batch.
    Body { batch: Name, sample: Name },
    /// Ends the batch.
    End { batch: Name },
}

impl BatchCall {
    /// Returns the batch that the call is about.
    pub(crate) const fn batch(&self) -> &Name {
        match self {
            Self::Read { batch, .. } | Self::Body { batch, .. } | Self::End { batch } => batch,
        }
    }
}

/// Parses a call about a batch; returns `None` for any other call.
pub(crate) fn parse_batch_call(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
) -> Option<BatchCall> {
    let parameter = |parameter_name: &str| {
        let query = uri.query().unwrap_or_default();
        let mut pairs = form_urlencoded::parse(query.as_bytes());
        let found = pairs.find(|(name, _)| name == parameter_name);
        found.map(|(_, value)| value.into_owned())
    };
    if let Some(batch) = uri.path().strip_prefix(SAMPLE_BODIES_PATH) {
        let sample = parameter("id").unwrap_or_default();
        return (method == Method::GET).then(|| BatchCall::Body {
            batch: batch.into(),
            sample: sample.into(),
        });
    }
    let batch: Name = uri.path().strip_prefix(BATCHES_PATH)?.into();
    match *method {
        Method::GET => {
            let wait = headers
                .get(WAIT_HEADER)
                .and_then(|value| value.to_str().ok());
            Some(BatchCall::Read {
                batch,
                from: parameter("after")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0),
                wait_ms: wait.and_then(|text| text.parse().ok()).unwrap_or(0),
            })
        }
        Method::DELETE => Some(BatchCall::End { batch }),
        _ => None,
    }
}

#[derive(Deserialize)]
struct WireBatch<'a> {
    #[serde(default)]
    step: u64,
    #[serde(default)]
    model: Name,
    #[serde(default)]
    min_version: u64,
    #[serde(default)]
    target_groups: usize,
    #[serde(borrow)]
    requests: Vec<WireSample<'a>>,
}

#[derive(Deserialize)]
struct WireSample<'a> {
    id: Name,
    path: Name,
    #[serde(default)]
    headers: std::collections::BTreeMap<Name, Name>,
    #[serde(borrow, default)]
    body: Cow<'a, str>,
    #[serde(default)]
    tokens: u64,
    #[serde(default)]
    group: Name,
    #[serde(borrow)]
    scorer: Option<WireScorer<'a>>,
}

#[derive(Deserialize)]
struct WireScorer<'a> {
    id: Name,
    host: Name,
    path: Name,
    #[serde(borrow, default)]
    body: Cow<'a, str>,
}

/// Decodes a batch from the request that submits it.
///
/// # Errors
///
/// Fails if the request has no id, or if the body has no samples or cannot be
/// decoded.
pub(crate) fn decode_batch(head: &CallerHead, body: &[u8]) -> Result<BatchSpec, String> {
    let id = head
        .request_id
        .clone()
        .ok_or("the request that submits the batch has no id")?;
    let wire: WireBatch<'_> = serde_json::from_slice(body)
        .map_err(|error| format!("the batch cannot be decoded: {error}"))?;
    if wire.requests.is_empty() {
        return Err("the batch has no samples".to_owned());
    }
    let samples: Result<Vec<SampleSpec>, String> =
        wire.requests.into_iter().map(decode_sample).collect();
    Ok(BatchSpec {
        id,
        host: head.host.clone(),
        path: head.path.clone(),
        step: wire.step,
        model: wire.model,
        min_weights_version: wire.min_version,
        target_groups: wire.target_groups,
        samples: samples?,
        account: None,
    })
}

fn decode_sample(wire: WireSample<'_>) -> Result<SampleSpec, String> {
    let header = |header_name: &str| {
        let mut headers = wire.headers.iter();
        let found = headers.find(|(name, _)| name.eq_ignore_ascii_case(header_name));
        found.map(|(_, value)| value.clone())
    };
    // The trainer's estimate is closer than the maximum that it allows.
    let hint = header(LENGTH_HINT_HEADER).and_then(|text| text.trim().parse().ok());
    let max_tokens = header(TOKEN_COUNTS_HEADER)
        .and_then(|text| text.rsplit(',').next()?.trim().parse().ok())
        .unwrap_or(wire.tokens);
    let score = wire.scorer.map(|scorer| {
        Ok::<_, String>(ScoreCall {
            body: decode_base64(&scorer.body)
                .map_err(|error| format!("body of score call {}: {error}", scorer.id))?,
            id: scorer.id,
            host: scorer.host,
            path: scorer.path,
        })
    });
    Ok(SampleSpec {
        body: decode_base64(&wire.body)
            .map_err(|error| format!("body of sample {}: {error}", wire.id))?,
        id: wire.id,
        path: wire.path,
        group: wire.group,
        length_hint: hint.unwrap_or(max_tokens),
        max_tokens: (max_tokens > 0).then_some(max_tokens),
        score: score.transpose()?,
        headers: wire.headers.into_iter().collect(),
    })
}

fn decode_base64(text: &str) -> Result<Bytes, String> {
    let decoded = STANDARD
        .decode(text)
        .map_err(|error| format!("not base64: {error}"))?;
    Ok(decoded.into())
}

/// About the most bytes of a result without its text.
pub(crate) const OTHER_RESULT_BYTES: usize = 300;

#[derive(Serialize)]
struct WireResults<'a> {
    total: usize,
    next: usize,
    results: Vec<WireResult<'a>>,
}

#[derive(Serialize)]
struct WireResult<'a> {
    id: &'a str,
    state: &'static str,
    text: &'a str,
    versions: &'a [u64],
    #[serde(skip_serializing_if = "Option::is_none")]
    score: Option<&'a str>,
}

/// Encodes the samples listed from position `from` on.
///
/// Samples after the first are omitted once the answer would exceed about
/// `max_bytes`.
pub(crate) fn encode_results(
    total: usize,
    from: usize,
    listed: &[ListedSample],
    max_bytes: usize,
) -> Vec<u8> {
    let mut bytes = 0;
    let fits = |sample: &&ListedSample| {
        let is_first = bytes == 0;
        bytes += json_bytes(&sample.text) + OTHER_RESULT_BYTES;
        is_first || bytes <= max_bytes
    };
    let results: Vec<WireResult<'_>> = listed
        .iter()
        .take_while(fits)
        .map(|sample| WireResult {
            id: &sample.id,
            state: sample.state.into(),
            text: &sample.text,
            versions: &sample.weights_versions,
            score: sample.score.as_deref(),
        })
        .collect();
    let answer = WireResults {
        total,
        next: from + results.len(),
        results,
    };
    serde_json::to_vec(&answer).unwrap_or_default()
}
