/// The approximate number of samples per share; one VM runs a share.
const TARGET_SAMPLES_PER_SHARE: usize = 48;
const MAX_SHARES: usize = 32;

/// Returns the number of shares that a batch is divided into.
///
/// With several shares, several small VMs run the batch, and the loss of one VM
/// delays only a part of it.
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
    let count = samples
        .div_ceil(TARGET_SAMPLES_PER_SHARE)
        .clamp(1, MAX_SHARES);
    u32::try_from(count).unwrap_or(1)
}

/// Returns the share that a group belongs to; `index` is its position among the
/// groups of the batch.
#[must_use]
pub fn share_of_group(index: usize, share_count: u32) -> u32 {
    let share_count = usize::try_from(share_count.max(1)).unwrap_or(1);
    u32::try_from(index % share_count).unwrap_or(0)
}
