use std::sync::Arc;

use crate::core::digest::hex_digest;

const OBJECT_HASH_BYTES: usize = 32;

/// Returns the key of a trainer's head row.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::sample::head_key;
///
/// assert_eq!(&*head_key("pricing"), "trainer/pricing/head");
/// ```
#[must_use]
pub fn head_key(trainer: &str) -> Arc<str> {
    format!("trainer/{trainer}/head").into()
}

/// Returns the key prefix of the rows of a trainer's open steps.
#[must_use]
pub fn steps_prefix(trainer: &str) -> Arc<str> {
    format!("trainer/{trainer}/step/").into()
}

/// Returns the key prefix of a trainer's chunk rows.
#[must_use]
pub fn chunks_prefix(trainer: &str) -> Arc<str> {
    format!("trainer/{trainer}/chunk/").into()
}

pub(super) fn step_key(trainer: &str, step: u64) -> Arc<str> {
    format!("{}{step:020}", steps_prefix(trainer)).into()
}

pub(super) fn chunk_key(trainer: &str, chunk: u64) -> Arc<str> {
    format!("{}{chunk:020}", chunks_prefix(trainer)).into()
}

/// Returns the name of an object, from its first cursor and a hash of its
/// content.
///
/// Two commits never share an object, so each object can be deleted on its own.
pub(super) fn object_name(trainer: &str, first_cursor: u64, bytes: &[u8]) -> Arc<str> {
    let hash = hex_digest(&[bytes], OBJECT_HASH_BYTES);
    format!("samples-{trainer}-{first_cursor:020}-{hash}").into()
}

/// Returns whether an object's content matches the hash in its name.
pub(super) fn is_intact(object: &str, bytes: &[u8]) -> bool {
    object.ends_with(&hex_digest(&[bytes], OBJECT_HASH_BYTES))
}
