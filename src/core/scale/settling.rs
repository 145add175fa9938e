/// For how long the number of listed endpoints has not to grow until the list is taken for
/// whole, in milliseconds: endpoints that start together with the VMs are listed one after
/// the other within some seconds, and an order that counts only the first of them would
/// remove the others.
const SETTLED_MS: u64 = 5_000;

/// Whether the list of a service's endpoints can be taken for whole.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::scale::SupplySettling;
///
/// let mut settling = SupplySettling::default();
/// assert!(!settling.is_settled(1_000, 3));
/// assert!(!settling.is_settled(4_000, 16));
/// assert!(!settling.is_settled(8_000, 16));
/// assert!(settling.is_settled(9_000, 16));
/// // Endpoints that are added later are known to be there.
/// assert!(settling.is_settled(9_500, 20));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SupplySettling {
    most_listed: u32,
    /// When the number of endpoints was first as high as now.
    unchanged_since_ms: Option<u64>,
    is_settled: bool,
}

impl SupplySettling {
    /// Records the number of listed endpoints; returns whether the list is taken for whole,
    /// which it stays.
    pub fn is_settled(&mut self, now_ms: u64, listed: u32) -> bool {
        if self.is_settled {
            return true;
        }
        if listed > self.most_listed {
            self.most_listed = listed;
            self.unchanged_since_ms = None;
        }
        let since_ms = *self.unchanged_since_ms.get_or_insert(now_ms);
        self.is_settled = now_ms >= since_ms + SETTLED_MS;
        self.is_settled
    }
}
