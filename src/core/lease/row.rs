use serde::{Deserialize, Serialize};

use crate::core::Name;

/// A lease as it stands in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// The VM that holds the lease; none once it was given back.
    pub holder: Option<Name>,
    /// The incarnation of the holder.
    pub incarnation: u64,
    /// The fencing number; each new holder has a higher one.
    pub fence: u64,
}
