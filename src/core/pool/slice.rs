use crate::core::rendezvous;

/// The part of a service's endpoints that one share of a batch fills first.
///
/// The VMs that run a batch do not know each other's requests in time. With a
/// slice each, they seldom meet at an endpoint, and keep their connections.
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
    /// Which share of the batch.
    pub share: u32,
    /// How many shares the batch has.
    pub share_count: u32,
}

impl EndpointSlice {
    /// Returns whether an endpoint is in the slice; each is in one.
    #[must_use]
    pub fn contains(&self, endpoint: &str) -> bool {
        let weight = |share: u32| rendezvous::weight(endpoint, &share.to_string());
        (0..self.share_count).max_by_key(|share| weight(*share)) == Some(self.share)
    }
}
