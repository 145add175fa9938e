//! What is sent to samplers, and what their answers say.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, StatusCode, header};
use serde::{Deserialize, Serialize};

use super::callers::REQUEST_ID_HEADER;
use crate::core::{Name, pool::LoadReport};

const DEADLINE_MS: &str = "x-deadline-ms";
const EXPECT_INSTANCE: &str = "x-expect-instance";
const LAST_EVENT_ID: &str = "last-event-id";
const NOT_RUN: &str = "x-not-run";
const STAMP: &str = "x-response-stamp";
const SERVER_LOAD: &str = "x-server-load";
const WEIGHT_VERSIONS: &str = "x-weight-versions";
const PRIORITY: &str = "x-request-priority";

/// The field of an event at which the weights version changes.
pub(crate) const EVENT_VERSION_FIELD: &str = WEIGHT_VERSIONS;

/// What the system itself says with a request that it sends on.
#[derive(Clone, Debug)]
pub(crate) struct RequestHeaders<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) endpoint: &'a str,
    pub(crate) host: &'a str,
    /// How long the endpoint may work, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// The last event of a stream that is continued.
    pub(crate) after_event: Option<u64>,
    /// From 0, the most urgent, to 9.
    pub(crate) priority: Option<u8>,
}

/// Builds a request for an endpoint.
pub(crate) fn build_request(
    method: Method,
    path: &str,
    headers: HeaderMap,
    run: &RequestHeaders<'_>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, String> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(body))
        .map_err(|error| error.to_string())?;
    *request.headers_mut() = headers;
    let mut set = |name: &'static str, text: &str| -> Result<(), String> {
        let value = text.parse().map_err(|_| format!("{name}: not a header"))?;
        request.headers_mut().insert(name, value);
        Ok(())
    };
    set(header::HOST.as_str(), run.host)?;
    set(REQUEST_ID_HEADER, run.request_id)?;
    set(DEADLINE_MS, &run.remaining_ms.to_string())?;
    set(EXPECT_INSTANCE, run.endpoint)?;
    if let Some(event) = run.after_event {
        set(LAST_EVENT_ID, &event.to_string())?;
    }
    if let Some(priority) = run.priority {
        set(PRIORITY, &priority.to_string())?;
    }
    Ok(request)
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead {
    /// The endpoint says that it has not run the request.
    pub(crate) is_not_run: bool,
    /// The signature, without which a success is not the endpoint's.
    pub(crate) stamp: Option<Name>,
    /// The answer is to this request, as far as it says.
    pub(crate) is_for_request: bool,
    /// The body is not the endpoint's own bytes.
    pub(crate) is_encoded: bool,
    pub(crate) load: Option<LoadReport>,
    pub(crate) weights_version: Option<u64>,
}

/// Reads the head of an answer to a request.
pub(crate) fn parse_answer_head(
    request_id: &str,
    status: StatusCode,
    headers: &HeaderMap,
) -> AnswerHead {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    AnswerHead {
        is_not_run: text(NOT_RUN).is_some() || is_misdirected,
        stamp: text(STAMP).map(Into::into),
        // A refusal may come before the id has been read.
        is_for_request: text(REQUEST_ID_HEADER).is_none_or(|id| id == request_id),
        is_encoded: text(header::CONTENT_ENCODING.as_str()).is_some(),
        load: text(SERVER_LOAD).and_then(load_report),
        weights_version: text(WEIGHT_VERSIONS).and_then(|text| text.trim().parse().ok()),
    }
}

fn load_report(text: &str) -> Option<LoadReport> {
    let mut fields = text.split(',').map(|field| field.trim().parse().ok());
    Some(LoadReport {
        running: fields.next()??,
        waiting: fields.next()??,
        slots: fields.next()??,
    })
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
    /// How many orders the endpoint had accepted before: an order that is
    /// carried out late then fails.
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
    /// The number of orders accepted before this one, not a row version.
    expect_rev: u64,
}

/// Builds an order; what runs at the endpoint goes on under the new weights.
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
        .header(EXPECT_INSTANCE, order.endpoint)
        .body(Full::new(body.into()))
        .map_err(|error| error.to_string())
}

/// What an endpoint made of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    /// It is being carried out.
    Started,
    /// It holds already.
    Holds,
    /// Another order is in progress, or the count of orders differs.
    Conflict,
    /// It will not be carried out.
    Refused,
}

/// Reads the answer to an order.
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
    /// The number of orders accepted; in the list of samplers the same name
    /// stands for a count of heartbeats.
    seq: u64,
}

/// Builds the question how many orders an endpoint has accepted.
pub(crate) fn build_report_request(
    endpoint: &str,
    host: &str,
) -> Result<Request<Full<Bytes>>, String> {
    Request::builder()
        .uri("/v1/report")
        .header(header::HOST, host)
        .header(EXPECT_INSTANCE, endpoint)
        .body(Full::default())
        .map_err(|error| error.to_string())
}

/// Reads how many orders an endpoint has accepted.
pub(crate) fn decode_orders_accepted(status: StatusCode, body: &[u8]) -> Result<u64, String> {
    if status != StatusCode::OK {
        return Err(format!("answered {status}"));
    }
    let report: WireReport = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    Ok(report.seq)
}
