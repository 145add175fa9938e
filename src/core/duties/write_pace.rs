/// The writes of all VMs together, per second: with those that are repeated they stay under
/// 100, and 360 VMs still write each window within the 4 s until its counts are collected.
const FLEET_WRITES_PER_S: u64 = 95;
/// The shortest interval between the slots of a VM, in milliseconds.
const MIN_INTERVAL_MS: u64 = 100;
/// How long a change waits for further ones before it is written, in milliseconds.
const COALESCE_MS: u64 = 50;

/// When one VM may write its counts, so that the writes of all VMs are spread.
///
/// Each VM has slots at equal intervals, which follow each other by rank on the store's
/// clock: otherwise VMs that begin to write at the same time would go on doing so together.
/// A VM that has not written for an interval writes at once, if a write of each VM fits
/// into a second.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::duties::WritePace;
///
/// // The second of 95 VMs, whose clock shows what the store's does.
/// let pace = WritePace::new(95, 1, 0);
/// assert_eq!(pace.write_at_ms(5_000, None), 5_050);
/// assert_eq!(pace.write_at_ms(5_100, Some(5_050)), 6_010);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct WritePace {
    interval_ms: u64,
    /// The time of a slot.
    slot_ms: u64,
    may_write_at_once: bool,
}

impl WritePace {
    /// Creates the pace of the VM with a rank among the live VMs, from 0 on.
    ///
    /// `store_ahead_ms` is how far the store's clock is ahead of the local one.
    #[must_use]
    pub fn new(live_vms: u64, rank: u64, store_ahead_ms: i64) -> Self {
        let live_vms = live_vms.max(1);
        let interval_ms = (live_vms * 1_000 / FLEET_WRITES_PER_S).max(MIN_INTERVAL_MS);
        let slot_ms = i64::try_from(rank % live_vms * interval_ms / live_vms).unwrap_or(0);
        let interval = i64::try_from(interval_ms).unwrap_or(i64::MAX);
        let local_slot_ms = (slot_ms - store_ahead_ms % interval).rem_euclid(interval);
        Self {
            interval_ms,
            slot_ms: local_slot_ms.unsigned_abs(),
            may_write_at_once: live_vms <= FLEET_WRITES_PER_S,
        }
    }

    /// Returns when a change is written, from the times of the change and the last write.
    #[must_use]
    pub fn write_at_ms(&self, changed_ms: u64, written_ms: Option<u64>) -> u64 {
        let ready_ms = changed_ms + COALESCE_MS;
        let is_idle = written_ms.is_none_or(|written| ready_ms >= written + self.interval_ms);
        if self.may_write_at_once && is_idle {
            return ready_ms;
        }
        // A little less than an interval, since a write begins a little after its slot.
        let rested_ms = written_ms.map_or(0, |written| written + self.interval_ms * 7 / 8);
        let earliest_ms = ready_ms.max(rested_ms);
        let past_slot_ms = (earliest_ms + self.interval_ms - self.slot_ms) % self.interval_ms;
        earliest_ms + (self.interval_ms - past_slot_ms) % self.interval_ms
    }
}
