/// How long a VM may rely on its last write of its row and on its last read of the
/// roster, in milliseconds: less than after which others take it for lost.
const AUTHORITY_MS: u64 = 2_500;
/// How long a VM waits after its row was written first, in milliseconds, until all VMs
/// with authority have read it.
const START_DELAY_MS: u64 = 3_000;

/// Whether a VM may be the only issuer of permits, from its calls to the store.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::rate_limit::IssuerAuthority;
///
/// let mut authority = IssuerAuthority::default();
/// for second in 0..=4 {
///     let now_ms = second * 1_000;
///     authority.on_row_written(now_ms, now_ms + 5);
///     authority.on_roster_read(now_ms + 5);
/// }
/// assert!(authority.is_fresh(4_100));
/// assert!(!authority.is_fresh(6_600));
/// ```
#[expect(
    clippy::struct_field_names,
    reason = "all fields are times, and fields carry their unit"
)]
#[derive(Clone, Copy, Debug, Default)]
pub struct IssuerAuthority {
    /// When the first of the writes was acknowledged that have followed in time.
    fresh_since_ms: Option<u64>,
    /// When the last acknowledged write was begun.
    written_ms: u64,
    /// When the last successful read was begun.
    read_ms: u64,
}

impl IssuerAuthority {
    /// Records that a write of this VM's row was acknowledged.
    pub const fn on_row_written(&mut self, begun_ms: u64, acknowledged_ms: u64) {
        let is_late = acknowledged_ms >= self.written_ms + AUTHORITY_MS;
        if self.fresh_since_ms.is_none() || is_late {
            self.fresh_since_ms = Some(acknowledged_ms);
        }
        self.written_ms = begun_ms;
    }

    /// Records that the roster was read.
    pub const fn on_roster_read(&mut self, begun_ms: u64) {
        self.read_ms = begun_ms;
    }

    /// Returns whether no other VM counts as the first issuer where this one does.
    #[must_use]
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        let has_started = self
            .fresh_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + START_DELAY_MS);
        has_started && now_ms < self.written_ms.min(self.read_ms) + AUTHORITY_MS
    }
}
