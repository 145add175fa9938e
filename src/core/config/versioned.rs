use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Document;
use crate::core::guard::{self, Guard};

/// A configuration document with its version number.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::config::VersionedDocument;
///
/// let mut current = VersionedDocument::default();
/// let newer = VersionedDocument { number: 3, ..VersionedDocument::default() };
/// assert!(current.replace_if_newer(newer));
/// assert!(!current.replace_if_newer(VersionedDocument { number: 2, ..VersionedDocument::default() }));
/// assert_eq!(current.number, 3);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedDocument {
    /// The version number; 0 before the first patch.
    pub number: u64,
    /// The document.
    pub document: Arc<Document>,
}

impl VersionedDocument {
    /// Replaces this version by `other` if its number is higher, and returns
    /// whether it did.
    pub fn replace_if_newer(&mut self, other: Self) -> bool {
        if guard::is_on(Guard::ConfigMonotonic) && other.number <= self.number {
            return false;
        }
        *self = other;
        true
    }
}
