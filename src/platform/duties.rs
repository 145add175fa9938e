//! Builds the calls of duties to the platform's API, and classifies their answers.

use std::collections::BTreeMap;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use serde::Serialize;
use strum::IntoStaticStr;

use crate::core::Name;

const USAGE_PATH: &str = "/usage";
const SCALE_PATH: &str = "/scale";
const HOLDER_HEADER: &str = "x-duty-holder";
const FENCE_HEADER: &str = "x-fence-token";

/// A call of a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum DutyCall {
    /// Reports the requests of a window, by account.
    Usage {
        window: u64,
        counts: BTreeMap<Name, u64>,
    },
    /// Orders a number of endpoints of a service in a data centre.
    Scale {
        service: Name,
        data_centre: Name,
        endpoints: u64,
        is_spot: bool,
    },
}

/// Who makes a call of a duty.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DutyCaller<'a> {
    /// The address of the platform's API.
    pub(crate) host: &'a str,
    pub(crate) holder: &'a str,
    pub(crate) fence: u64,
}

/// What became of a call of a duty.
#[derive(Clone, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum DutyOutcome {
    /// The platform has accepted it.
    Accepted,
    /// No endpoint is available now.
    Unavailable,
    /// There were too many calls.
    Paced,
    /// The platform answered with a status of another kind.
    Rejected(u16),
    /// There was no answer, or a server error; it may have taken effect.
    Failed(String),
    /// It was not sent, since this VM does not hold the duties.
    NotHeld,
}

impl DutyOutcome {
    /// Returns the kind of the outcome, as metrics and logs state it.
    pub(crate) fn name(&self) -> &'static str {
        self.into()
    }
}

#[derive(Serialize)]
struct WireUsage<'a> {
    window: u64,
    instance_counts: &'a BTreeMap<Name, u64>,
}

#[derive(Serialize)]
struct WireScale<'a> {
    service: &'a str,
    zone: &'a str,
    target_groups: u64,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    spot: bool,
}

/// Builds the request of a call.
///
/// # Errors
///
/// Fails if the name of the holder is not valid as a header.
pub(crate) fn build_duty_request(
    call: &DutyCall,
    caller: &DutyCaller<'_>,
) -> Result<Request<Full<Bytes>>, String> {
    let (path, body) = match call {
        DutyCall::Usage { window, counts } => {
            let wire = WireUsage {
                window: *window,
                instance_counts: counts,
            };
            (USAGE_PATH, serde_json::to_vec(&wire))
        }
        DutyCall::Scale {
            service,
            data_centre,
            endpoints,
            is_spot,
        } => {
            let wire = WireScale {
                service,
                zone: data_centre,
                target_groups: *endpoints,
                spot: *is_spot,
            };
            (SCALE_PATH, serde_json::to_vec(&wire))
        }
    };
    let body = body.map_err(|error| error.to_string())?;
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, caller.host)
        .header(header::CONTENT_TYPE, "application/json")
        .header(HOLDER_HEADER, caller.holder)
        .header(FENCE_HEADER, caller.fence)
        .body(Full::new(body.into()))
        .map_err(|error| error.to_string())
}

/// Returns what an answer says of its call.
pub(crate) fn duty_outcome(status: StatusCode) -> DutyOutcome {
    match status {
        StatusCode::CONFLICT => DutyOutcome::Unavailable,
        StatusCode::TOO_MANY_REQUESTS => DutyOutcome::Paced,
        status if status.is_success() => DutyOutcome::Accepted,
        status if status.is_server_error() => {
            DutyOutcome::Failed(format!("the platform answered {status}"))
        }
        status => DutyOutcome::Rejected(status.as_u16()),
    }
}
