use super::handle::DutyHandle;

/// What the holder keeps for the scale duty from one check to the next.
#[derive(Debug, Default)]
pub(super) struct ScaleDuty {}

impl ScaleDuty {
    /// Makes the orders that are due; runs about every 50 ms while this VM holds the duties.
    ///
    /// A `fence` other than that of the last run shows that another VM may have held the
    /// duties since.
    #[expect(clippy::unused_async, reason = "the orders are still to come")]
    pub(super) async fn run(&mut self, _handle: &DutyHandle, _fence: u64) {}
}
