//! Values of rows that may be longer than a row: those are kept in objects.

use std::borrow::Cow;

use super::state::Server;
use crate::{core::digest::hex_digest, platform::StoreError};

/// The first byte of a row that names the object with its value. No `MessagePack` value
/// begins with it.
const OBJECT_MARK: u8 = 0xc1;
/// The number of bytes of the digest in an object's name.
const NAME_DIGEST_BYTES: usize = 16;

/// Returns the bytes of the row that holds `value`, which is written to an object first
/// if it is too long for a row.
///
/// The object's name contains a digest of the value, so that a repeated write has no
/// effect and a row never leads to another value.
///
/// # Errors
///
/// Fails if the object cannot be written.
pub(crate) async fn store_value(
    server: &Server,
    object_prefix: &str,
    value: Vec<u8>,
) -> Result<Vec<u8>, StoreError> {
    if value.len() <= server.settings.row_bytes {
        return Ok(value);
    }
    let digest = hex_digest(&[&value], NAME_DIGEST_BYTES);
    let object = format!("{object_prefix}{digest}");
    server.store.put_object(&object, value.into()).await?;
    let mut row = vec![OBJECT_MARK];
    row.extend_from_slice(object.as_bytes());
    Ok(row)
}

/// Returns the value that a row holds, or that its object holds.
///
/// # Errors
///
/// Fails if the object cannot be read or is missing.
pub(crate) async fn load_value<'a>(
    server: &Server,
    row: &'a [u8],
) -> Result<Cow<'a, [u8]>, StoreError> {
    let Some(object) = object_name(row) else {
        return Ok(Cow::Borrowed(row));
    };
    match server.store.get_object(object).await? {
        Some(value) => Ok(Cow::Owned(value.into())),
        None => Err(StoreError::Unknown(format!("object {object} is missing"))),
    }
}

/// Returns the name of the object that holds the value of a row, if it is not in the row.
pub(crate) fn object_name(row: &[u8]) -> Option<&str> {
    let name = row.strip_prefix(&[OBJECT_MARK])?;
    std::str::from_utf8(name).ok()
}
