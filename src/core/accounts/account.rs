use super::KeyDigest;
use crate::core::Name;

/// A client account, as the operator configures it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// The account's name.
    pub name: Name,
    /// The keys of its callers; none are left once its last key was revoked.
    pub keys: Vec<KeyDigest>,
    /// The priority of its requests, which takes precedence over that of the route; 0 is
    /// the most urgent.
    pub priority: Option<u8>,
}
