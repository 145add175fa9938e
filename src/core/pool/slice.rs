use crate::core::rendezvous;

/// The part of a service's endpoints that one share of a batch uses first.
///
/// The VMs that run a batch learn of each other's requests too late to avoid the
/// same endpoints. With a slice each, they rarely use the same endpoint, and
/// reuse their connections.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::pool::EndpointSlice;
///
/// let slices = [0, 1, 2].map(|share| EndpointSlice { share, share_count: 3 });
/// assert_eq!(slices.iter().filter(|slice| slice.contains("endpoint-7")).count(), 1);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointSlice {
    /// The index of the share.
    pub share: u32,
    /// The number of shares of the batch.
    pub share_count: u32,
}

impl EndpointSlice {
    /// Returns whether an endpoint belongs to the slice; each endpoint belongs to
    /// exactly one slice of a batch.
    #[must_use]
    pub fn contains(&self, endpoint: &str) -> bool {
        let weight = |share: u32| rendezvous::weight(endpoint, &share.to_string());
        (0..self.share_count).max_by_key(|share| weight(*share)) == Some(self.share)
    }
}
