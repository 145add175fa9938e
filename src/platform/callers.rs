//! Translates the requests of callers and of the platform's readiness checks.

use std::net::SocketAddr;

use hyper::{
    HeaderMap, Method, Uri,
    header::{self, HeaderValue},
    http::request::Parts,
};
use serde::Serialize;

use crate::core::Name;

/// The header with the id of a request, also in its answer.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header with the last event that was received of a stream.
pub(super) const LAST_EVENT_HEADER: &str = "last-event-id";
const RESUMED_REQUEST_HEADER: &str = "resumes";
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The header that names an account to an endpoint.
const ACCOUNT_HEADER: &str = "x-tenant";
const KEY_SCHEME: &str = "Bearer";
const READY_PATH: &str = "/v1/ready";
const RESOLVE_PATH: &str = "/v1/resolve";

/// Headers that are not forwarded: they belong to one connection, or are set
/// anew for each request to an endpoint.
const UNFORWARDED_HEADERS: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "x-expect-instance",
    "x-deadline-ms",
    "x-request-priority",
];

/// The parsed head of a caller's request.
#[derive(Clone, Debug)]
pub(crate) struct CallerHead {
    pub(crate) method: Method,
    pub(crate) host: Name,
    /// The path without the query.
    pub(crate) path: Name,
    /// The path with the query.
    pub(crate) target: Name,
    pub(crate) request_id: Option<Name>,
    /// How long the caller waits for an answer, in milliseconds.
    pub(crate) patience_ms: Option<u64>,
    /// The request that began the stream that this one takes up again, if it is named.
    pub(crate) resumed_request: Option<Name>,
    /// Whether it asks for the events of a stream after one that it has received.
    pub(crate) is_resumed: bool,
}

/// Parses the head of a caller's request.
pub(crate) fn parse_caller_head(parts: &Parts) -> CallerHead {
    let text = |name: &str| {
        let value = parts.headers.get(name)?;
        value.to_str().ok().map(str::trim)
    };
    let host = text(header::HOST.as_str()).or_else(|| parts.uri.host());
    let host = host.unwrap_or_default();
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    CallerHead {
        method: parts.method.clone(),
        host: host.split(':').next().unwrap_or_default().into(),
        path: parts.uri.path().into(),
        target: target.into(),
        request_id: text(REQUEST_ID_HEADER).map(Into::into),
        patience_ms: text(DEADLINE_HEADER).and_then(|text| text.parse().ok()),
        resumed_request: text(RESUMED_REQUEST_HEADER).map(Into::into),
        is_resumed: text(LAST_EVENT_HEADER).is_some(),
    }
}

/// Returns the key that a caller presents, if it presents exactly one.
pub(crate) fn parse_key(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let text = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = text.trim().split_once(' ')?;
    scheme
        .eq_ignore_ascii_case(KEY_SCHEME)
        .then(|| key.trim_start())
}

/// Replaces a caller's key, and the account that it may have named itself, by the name of
/// the account that holds the key.
pub(crate) fn set_account(headers: &mut HeaderMap, account: Option<&Name>) {
    headers.remove(header::AUTHORIZATION);
    headers.remove(ACCOUNT_HEADER);
    // Names that are not valid as a header are refused with their configuration.
    if let Some(value) = account.and_then(|name| HeaderValue::from_str(name).ok()) {
        headers.insert(ACCOUNT_HEADER, value);
    }
}

/// Returns the headers of a request or an answer that are forwarded.
pub(crate) fn forwardable_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(',').map(str::trim))
        .collect();
    let is_excluded = |name: &str| {
        UNFORWARDED_HEADERS.contains(&name)
            || connection_options
                .iter()
                .any(|option| option.eq_ignore_ascii_case(name))
    };
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !is_excluded(name.as_str()));
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns whether a request is the platform's readiness check.
pub(crate) fn is_readiness_check(method: &Method, path: &str) -> bool {
    method == Method::GET && path == READY_PATH
}

/// Returns whether a request asks for the addresses to connect to.
pub(crate) fn is_address_query(method: &Method, path: &str) -> bool {
    method == Method::GET && path == RESOLVE_PATH
}

/// Returns the caller's data centre from its query for addresses.
pub(crate) fn parse_address_query(uri: &Uri) -> Option<Name> {
    let query = uri.query()?;
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    let (_, data_centre) = pairs.find(|(name, _)| name == "zone")?;
    Some(data_centre.as_ref().into())
}

#[derive(Serialize)]
struct WireAddresses<'a> {
    addrs: &'a [SocketAddr],
    ttl_s: u64,
}

/// Encodes the answer to a query for addresses; the caller may keep it for
/// `ttl_s` seconds.
pub(crate) fn encode_addresses(addresses: &[SocketAddr], ttl_s: u64) -> Vec<u8> {
    let answer = WireAddresses {
        addrs: addresses,
        ttl_s,
    };
    serde_json::to_vec(&answer).unwrap_or_default()
}
