use serde::{Deserialize, Serialize};
use strum::Display;

/// What a VM can say of whether an endpoint still runs.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Testimony {
    /// The endpoint accepts connections.
    Reached,
    /// The endpoint accepts no connection, but others do.
    Unreached,
    /// Neither the endpoint nor any other accepts a connection: the VM itself is cut off.
    CutOff,
}

impl Testimony {
    /// Returns whether an endpoint counts as gone by what VMs say of it.
    ///
    /// A VM that is cut off says nothing, and one that reaches the endpoint outweighs all
    /// others.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::paths::Testimony;
    ///
    /// assert!(Testimony::show_gone(&[Testimony::Unreached, Testimony::CutOff]));
    /// assert!(!Testimony::show_gone(&[Testimony::Unreached, Testimony::Reached]));
    /// assert!(!Testimony::show_gone(&[Testimony::CutOff]));
    /// ```
    #[must_use]
    pub fn show_gone(testimonies: &[Self]) -> bool {
        testimonies.contains(&Self::Unreached) && !testimonies.contains(&Self::Reached)
    }
}
