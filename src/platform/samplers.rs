//! Builds requests to samplers, and parses their answers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    header::{self, HeaderValue},
};
use serde::{Deserialize, Serialize};

use super::callers::{LAST_EVENT_HEADER, REQUEST_ID_HEADER};
use crate::core::{Name, pool::LoadReport, rate_limit::RateLimit};

const DEADLINE_HEADER: &str = "x-deadline-ms";
const EXPECTED_ENDPOINT_HEADER: &str = "x-expect-instance";
const NOT_RUN_HEADER: &str = "x-not-run";
const STAMP_HEADER: &str = "x-response-stamp";
const LOAD_HEADER: &str = "x-server-load";
const WEIGHTS_VERSION_HEADER: &str = "x-weight-versions";
const LEAVING_HEADER: &str = "server-leaving";
const RATE_LIMIT_HEADER: &str = "server-limit";
const PRIORITY_HEADER: &str = "x-request-priority";
/// The least urgent priority that an endpoint knows.
const MAX_PRIORITY: u8 = 9;

/// The field of an event that states the weights version from this event on.
pub(crate) const EVENT_VERSION_FIELD: &str = WEIGHTS_VERSION_HEADER;

/// The headers that are set anew for each request to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct RequestHeaders<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) endpoint: &'a str,
    pub(crate) host: &'a str,
    /// How long the endpoint may take, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// The last event that was received of a stream that is resumed.
    pub(crate) after_event: Option<u64>,
    /// 0 is the most urgent; all from 9 on are the same to endpoints.
    pub(crate) priority: Option<u8>,
}

/// Builds a request to an endpoint.
///
/// # Errors
///
/// Fails if the path or the value of a header is not valid.
pub(crate) fn build_request(
    method: Method,
    path: &str,
    headers: HeaderMap,
    request_headers: &RequestHeaders<'_>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, String> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(body))
        .map_err(|error| format!("request to {path:?} cannot be built: {error}"))?;
    *request.headers_mut() = headers;
    let mut set = |name: &'static str, text: &str| -> Result<(), String> {
        let value = text
            .parse()
            .map_err(|_| format!("value of header {name} is not valid: {text:?}"))?;
        request.headers_mut().insert(name, value);
        Ok(())
    };
    set(header::HOST.as_str(), request_headers.host)?;
    set(REQUEST_ID_HEADER, request_headers.request_id)?;
    set(DEADLINE_HEADER, &request_headers.remaining_ms.to_string())?;
    set(EXPECTED_ENDPOINT_HEADER, request_headers.endpoint)?;
    if let Some(event) = request_headers.after_event {
        set(LAST_EVENT_HEADER, &event.to_string())?;
    }
    if let Some(priority) = request_headers.priority {
        set(PRIORITY_HEADER, &priority.min(MAX_PRIORITY).to_string())?;
    }
    Ok(request)
}

/// The parsed head of an endpoint's answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead {
    /// Whether the endpoint states that it has not run the request.
    pub(crate) is_not_run: bool,
    /// The endpoint's signature. A success without it is not the endpoint's.
    pub(crate) stamp: Option<Name>,
    /// Whether the body is encoded, and so not the endpoint's own bytes.
    pub(crate) is_encoded: bool,
    pub(crate) load: Option<LoadReport>,
    /// How long work takes on the endpoint's machine now, in percent of the usual time.
    pub(crate) slowdown_percent: Option<u32>,
    pub(crate) weights_version: Option<u64>,
}

impl AnswerHead {
    /// Returns whether the body is the endpoint's own.
    pub(crate) const fn is_own_answer(&self) -> bool {
        !self.is_encoded && self.stamp.is_some()
    }
}

/// Parses the head of an answer.
pub(crate) fn parse_answer_head(status: StatusCode, headers: &HeaderMap) -> AnswerHead {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    AnswerHead {
        is_not_run: text(NOT_RUN_HEADER).is_some() || is_misdirected,
        stamp: text(STAMP_HEADER).map(Into::into),
        is_encoded: text(header::CONTENT_ENCODING.as_str()).is_some(),
        load: text(LOAD_HEADER).and_then(parse_load_report),
        slowdown_percent: text(LOAD_HEADER).and_then(parse_slowdown_percent),
        weights_version: text(WEIGHTS_VERSION_HEADER).and_then(|text| text.trim().parse().ok()),
    }
}

/// Returns whether a sampler says in an answer that it is about to leave.
pub(crate) fn announces_leaving(headers: &HeaderMap) -> bool {
    let value = headers.get(LEAVING_HEADER);
    value.is_some_and(|value| value.as_bytes().trim_ascii() == b"1")
}

/// What an answer says of the request limit of its sampler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StatedLimit {
    /// It names no limit.
    None,
    Named(RateLimit),
    /// It names something that is not a positive number.
    Invalid,
}

/// Returns what an answer says of the request limit of its sampler.
pub(crate) fn stated_limit(headers: &HeaderMap) -> StatedLimit {
    let Some(value) = headers.get(RATE_LIMIT_HEADER) else {
        return StatedLimit::None;
    };
    let per_s = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    per_s
        .and_then(RateLimit::new)
        .map_or(StatedLimit::Invalid, StatedLimit::Named)
}

/// Returns the id of a request, from its headers or those of the answer to it.
pub(crate) fn named_request(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers.get(REQUEST_ID_HEADER).filter(|id| !id.is_empty())
}

fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut fields = text.split(',').map(|field| field.trim().parse().ok());
    Some(LoadReport {
        running: fields.next()??,
        waiting: fields.next()??,
        slots: fields.next()??,
    })
}

/// Returns the figure after those of the load report, which older endpoints don't send.
fn parse_slowdown_percent(text: &str) -> Option<u32> {
    let percent = text.split(',').nth(3)?.trim().parse().ok();
    percent.filter(|percent| *percent > 0)
}

/// An order to load weights.
#[derive(Clone, Debug)]
pub(crate) struct Order<'a> {
    pub(crate) endpoint: &'a str,
    pub(crate) host: &'a str,
    pub(crate) model: &'a str,
    pub(crate) version: u64,
    pub(crate) holder: &'a str,
    pub(crate) fence: u64,
    /// The number of orders that the endpoint has accepted before. The order is
    /// refused if the endpoint has accepted another one in the meantime.
    pub(crate) orders_accepted: u64,
}

#[derive(Serialize)]
struct WireOrder<'a> {
    op: &'static str,
    model: &'a str,
    version: u64,
    mode: &'static str,
    holder: &'a str,
    fencing_token: u64,
    /// The number of orders that were accepted before, not a row version.
    expect_rev: u64,
}

/// Builds an order to load weights. Requests that the endpoint is running
/// continue under the new weights.
///
/// # Errors
///
/// Fails if the order cannot be encoded or the host or endpoint is not valid as
/// a header.
pub(crate) fn build_order_request(order: &Order<'_>) -> Result<Request<Full<Bytes>>, String> {
    let body = WireOrder {
        op: "version",
        model: order.model,
        version: order.version,
        mode: "keep",
        holder: order.holder,
        fencing_token: order.fence,
        expect_rev: order.orders_accepted,
    };
    let body = serde_json::to_vec(&body).map_err(|error| error.to_string())?;
    Request::builder()
        .method(Method::POST)
        .uri("/v1/order")
        .header(header::HOST, order.host)
        .header(header::CONTENT_TYPE, "application/json")
        .header(EXPECTED_ENDPOINT_HEADER, order.endpoint)
        .body(Full::new(body.into()))
        .map_err(|error| error.to_string())
}

/// How an endpoint answered an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    /// The endpoint is loading the weights.
    Started,
    /// The endpoint already has the weights.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The endpoint does not carry out the order.
    Refused,
}

/// Returns the outcome of an order from the status of its answer.
pub(crate) fn order_outcome(status: StatusCode) -> OrderOutcome {
    match status {
        StatusCode::ACCEPTED => OrderOutcome::Started,
        StatusCode::OK => OrderOutcome::Holds,
        StatusCode::CONFLICT => OrderOutcome::Conflict,
        _ => OrderOutcome::Refused,
    }
}

#[derive(Deserialize)]
struct WireReport {
    /// The number of accepted orders. In the samplers' table, the field of this
    /// name counts heartbeats.
    seq: u64,
}

/// Builds the request for the number of orders that an endpoint has accepted.
///
/// # Errors
///
/// Fails if the host or endpoint is not valid as a header.
pub(crate) fn build_report_request(
    endpoint: &str,
    host: &str,
) -> Result<Request<Full<Bytes>>, String> {
    Request::builder()
        .uri("/v1/report")
        .header(header::HOST, host)
        .header(EXPECTED_ENDPOINT_HEADER, endpoint)
        .body(Full::default())
        .map_err(|error| error.to_string())
}

/// Decodes the number of orders that an endpoint has accepted.
///
/// # Errors
///
/// Fails if the status is not 200 or the body cannot be decoded.
pub(crate) fn decode_orders_accepted(status: StatusCode, body: &[u8]) -> Result<u64, String> {
    if status != StatusCode::OK {
        return Err(format!("request for accepted orders was answered {status}"));
    }
    let report: WireReport = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    Ok(report.seq)
}
