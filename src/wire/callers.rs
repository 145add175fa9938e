//! Messages between callers and daemons.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{core::Name, error::ErrorKind};

/// Header with the caller's id of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the time left for the answer, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Header with the priority: `interactive`, `normal` or `background`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header that says whether the request may run more than once: `true` or `false`.
pub const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Header with the ticket that a non-idempotent request needs.
pub const TICKET_HEADER: &str = "x-ticket";

/// One address that callers may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressEntry {
    /// The VM's name.
    pub vm: Name,
    /// The VM's data centre.
    pub data_centre: Name,
    /// Where callers connect.
    pub address: SocketAddr,
    /// The ticket for non-idempotent requests sent to this VM.
    pub ticket: Arc<str>,
}

/// The answer to a caller that asks which addresses to use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Addresses {
    /// The VMs that take work, those of the asked data centre first.
    pub entries: Vec<AddressEntry>,
    /// How long the list may be kept, in milliseconds from when it is received.
    pub keep_ms: u64,
}

/// A completion request in the style of the `OpenAI` API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// The service that answers.
    pub model: Name,
    /// The text to continue.
    pub prompt: Arc<str>,
    /// The most tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// The seed for sampling.
    #[serde(default)]
    pub seed: u64,
    /// Whether to stream the answer as server-sent events.
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
    /// The generated text, or a piece of it in a stream.
    pub text: String,
    /// `stop` or `length` once the text is whole.
    pub finish_reason: Option<Arc<str>>,
}

/// A completion, or a piece of one in a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completion {
    /// The caller's request id.
    pub id: Arc<str>,
    /// Always `text_completion`.
    pub object: Arc<str>,
    /// The service that answered.
    pub model: Name,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// The weights versions that produced the tokens.
    pub weights: Vec<VersionSpan>,
}

/// The body of every refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// The kind, from the closed list.
    pub kind: ErrorKind,
    /// What went wrong, as a sentence.
    pub message: Arc<str>,
    /// Whether it is certain that the request did not run.
    pub not_run: bool,
    /// When to come back, in milliseconds since the Unix epoch.
    pub retry_at_ms: Option<u64>,
    /// The address to use instead, where one is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<Arc<str>>,
}
