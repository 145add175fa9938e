use std::io;

use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, StatusCode, body::Frame};

use crate::http::{Answer, status_answer};

/// The way in which an answer is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFault {
    /// It says that the request was not run because there is no room.
    Refused,
    /// It names the id of another request.
    Foreign,
    /// It is a second copy of an answer to another request, and the order that it comes
    /// in answer to is not carried out. Applies to orders only.
    LateCopy,
    /// It is a second copy of the answer to an earlier order or question on the same
    /// connection, if there was one, and the order that it comes in answer to is not
    /// carried out. Applies to orders only.
    LateUnnamedCopy,
    /// It is a second copy of a refusal of another request, and the request that it comes
    /// in answer to runs.
    LateRefusal,
    /// It is a refusal that names no request, and the request that it comes in answer to
    /// runs.
    UnnamedRefusal,
    /// It does not name the sampler that sent it.
    Unstamped,
    /// It claims a content encoding that the request did not ask for.
    Encoded,
    /// The connection breaks within the body.
    Cut,
    /// An event is sent twice. Applies to streams only.
    Duplicated,
    /// An event is left out. Applies to streams only.
    Gap,
    /// It names no weights version. Applies to streams only.
    Versionless,
}

/// Breaks the connection after half of the body.
pub(super) async fn truncate_body(answer: Answer) -> Answer {
    let (parts, body) = answer.into_parts();
    let whole = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return status_answer(StatusCode::BAD_GATEWAY, &error.to_string()),
    };
    let half = whole.slice(..whole.len() / 2);
    let broken = io::Error::from(io::ErrorKind::ConnectionReset);
    let frames = stream::iter([Ok(Frame::data(half)), Err(broken)]);
    Response::from_parts(parts, BodyExt::boxed(StreamBody::new(frames)))
}
