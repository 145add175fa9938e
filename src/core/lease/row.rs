use serde::{Deserialize, Serialize};

use crate::core::Name;

/// The row that stores a lease in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// The VM that holds the lease, or `None` after it was given up.
    pub holder: Option<Name>,
    /// The incarnation of the holder.
    pub incarnation: u64,
    /// The fencing number, which increases with each new holder.
    pub fence: u64,
}
