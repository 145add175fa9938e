use std::fmt;

use sha2::{Digest, Sha256};

/// The digest of an account's key.
///
/// Keys are kept and compared as digests only, so that no log line or error text can
/// contain one.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::accounts::KeyDigest;
///
/// let digest = KeyDigest::of("secret");
/// assert_eq!(digest, KeyDigest::of("secret"));
/// assert_eq!(format!("{digest:?}"), "KeyDigest");
/// ```
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}
