use std::sync::Arc;

use crate::core::digest::hex_digest;

/// The length of a content's fingerprint, in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// Returns the fingerprint of a request's content, which stays the same when the
/// request comes again under another id.
///
/// `target` is the path with the query.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::quarantine::content_fingerprint;
///
/// let content = content_fingerprint("rollouts.example", "/slips/1", b"body");
/// assert_eq!(content, content_fingerprint("rollouts.example", "/slips/1", b"body"));
/// assert_ne!(content, content_fingerprint("rollouts.example", "/slips/1b", b"ody"));
/// ```
#[must_use]
pub fn content_fingerprint(host: &str, target: &str, body: &[u8]) -> Arc<str> {
    let parts = [host.as_bytes(), &[0], target.as_bytes(), &[0], body];
    hex_digest(&parts, FINGERPRINT_BYTES).into()
}
