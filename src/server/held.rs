//! Lets operators list and free held contents.

use hyper::{Response, StatusCode};

use super::{
    crash_rows,
    response::{Body, empty_response, json_response},
    state::{Server, lock},
};
use crate::{core::Name, daemon::now_ms};

/// The path at which operators list held contents, and post one that is to be freed.
pub(crate) const HELD_PATH: &str = "/operator/held";

/// Answers with all held contents.
pub(crate) fn list(server: &Server) -> Response<Body> {
    let held = lock(&server.quarantine).held_contents(now_ms());
    match serde_json::to_vec(&held) {
        Ok(bytes) => json_response(bytes),
        Err(error) => {
            tracing::error!(%error, "held contents not encoded");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Frees the content that the body names, at all VMs.
pub(crate) fn free(server: &Server, body: &[u8]) -> Response<Body> {
    let content: Name = match serde_json::from_slice(body) {
        Ok(content) => content,
        Err(error) => {
            tracing::warn!(%error, "content to free not decoded");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let cleared = lock(&server.quarantine).free(&content);
    let Some(clearance) = cleared else {
        tracing::info!(%content, "content not freed: it is not blamed for a crash");
        return empty_response(StatusCode::NOT_FOUND);
    };
    crash_rows::publish_clearance(server, clearance, "operator");
    json_response(b"true".to_vec())
}
