use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Document;
use crate::core::guard::{self, Guard};

/// A configuration document with its number.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::config::Versioned;
///
/// let mut here = Versioned::default();
/// let newer = Versioned { number: 3, ..Versioned::default() };
/// assert!(here.replace_with(newer));
/// assert!(!here.replace_with(Versioned { number: 2, ..Versioned::default() }));
/// assert_eq!(here.number, 3);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versioned {
    /// The number; 0 before the first patch.
    pub number: u64,
    /// The document.
    pub document: Arc<Document>,
}

impl Versioned {
    /// Takes `other` if its number is higher, and says whether it did.
    pub fn replace_with(&mut self, other: Self) -> bool {
        if guard::is_on(Guard::ConfigMonotonic) && other.number <= self.number {
            return false;
        }
        *self = other;
        true
    }
}
