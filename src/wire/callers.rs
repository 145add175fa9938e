//! Messages between callers and daemons.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{core::Name, error::ErrorKind};

/// Header with the request id that the caller chose.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the remaining time for the response, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Header with the priority: `interactive`, `normal` or `background`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with whether the request may run more than once: `true` or `false`.
pub const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Header with the ticket, which is required for a non-idempotent request.
pub const TICKET_HEADER: &str = "x-ticket";

/// The address of one VM that accepts callers' requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressEntry {
    /// The VM's name.
    pub vm: Name,
    /// The VM's data centre.
    pub data_centre: Name,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The ticket for non-idempotent requests sent to this VM.
    pub ticket: Arc<str>,
}

/// The response to `GET /v1/addresses`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Addresses {
    /// The VMs that accept requests, those of the requested data centre first.
    pub entries: Vec<AddressEntry>,
    /// How long the list is valid, in milliseconds from when it is received.
    pub keep_ms: u64,
}

/// A completion request in the style of the `OpenAI` API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// The name of the model service.
    pub model: Name,
    /// The text to continue.
    pub prompt: Arc<str>,
    /// The maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// The seed for sampling.
    #[serde(default)]
    pub seed: u64,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

const fn default_max_tokens() -> u32 {
    64
}

/// A range of tokens and the weights version that produced it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionSpan {
    /// The index of the first token.
    pub from_token: u32,
    /// The index after the last token.
    pub to_token: u32,
    /// The weights version.
    pub weights_version: u64,
}

/// One choice of a completion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// The index of the choice; always 0.
    pub index: u32,
    /// The generated text, or one part of it in a stream.
    pub text: String,
    /// `stop` or `length` once the text is complete.
    pub finish_reason: Option<Arc<str>>,
}

/// A completion, or one part of it in a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completion {
    /// The caller's request id.
    pub id: Arc<str>,
    /// Always `text_completion`.
    pub object: Arc<str>,
    /// The name of the model service.
    pub model: Name,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// The weights versions that produced the tokens.
    pub weights: Vec<VersionSpan>,
}

/// The response body of every refused request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// The kind of error.
    pub kind: ErrorKind,
    /// A description of the error.
    pub message: Arc<str>,
    /// Whether it is certain that the request did not run.
    pub not_run: bool,
    /// The earliest time to retry, in milliseconds since the Unix epoch.
    pub retry_at_ms: Option<u64>,
    /// The address to use instead, if one is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<Arc<str>>,
}
