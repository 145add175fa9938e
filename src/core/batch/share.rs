/// About how many samples one VM runs of a batch.
const SAMPLES_PER_SHARE: usize = 48;
const MAX_SHARES: usize = 32;

/// Returns into how many shares a batch is divided, so that several small VMs
/// run it and the loss of one holds up a part of it only.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::batch::share_count;
///
/// assert_eq!(share_count(10), 1);
/// assert_eq!(share_count(208), 5);
/// ```
#[must_use]
pub fn share_count(samples: usize) -> u32 {
    let count = samples.div_ceil(SAMPLES_PER_SHARE).clamp(1, MAX_SHARES);
    u32::try_from(count).unwrap_or(1)
}

/// Returns the share that the group at this place of the batch belongs to.
#[must_use]
pub fn share_of_group(index: usize, share_count: u32) -> u32 {
    let share_count = usize::try_from(share_count.max(1)).unwrap_or(1);
    u32::try_from(index % share_count).unwrap_or(0)
}
