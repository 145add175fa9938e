use std::fmt::Write;

use sha2::{Digest, Sha256};

/// Returns the first `len` bytes of the SHA-256 digest of the concatenated
/// parts, in hexadecimal.
pub(crate) fn hex_digest(parts: &[&[u8]], len: usize) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part);
    }
    let mut text = String::with_capacity(2 * len);
    for byte in hasher.finalize().iter().take(len) {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
