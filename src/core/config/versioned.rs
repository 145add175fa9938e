use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Document;
use crate::core::guard::{self, Guard};

/// A configuration document with its number.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::config::VersionedDocument;
///
/// let mut here = VersionedDocument::default();
/// let newer = VersionedDocument { number: 3, ..VersionedDocument::default() };
/// assert!(here.replace_if_newer(newer));
/// assert!(!here.replace_if_newer(VersionedDocument { number: 2, ..VersionedDocument::default() }));
/// assert_eq!(here.number, 3);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedDocument {
    /// The number; 0 before the first patch.
    pub number: u64,
    /// The document.
    pub document: Arc<Document>,
}

impl VersionedDocument {
    /// Takes `other` if its number is higher, and says whether it did.
    pub fn replace_if_newer(&mut self, other: Self) -> bool {
        if guard::is_on(Guard::ConfigMonotonic) && other.number <= self.number {
            return false;
        }
        *self = other;
        true
    }
}
