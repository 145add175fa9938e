/// Returns the median of the offsets of the VMs' times of day from the store's clock.
///
/// The time of day of a VM may be off or jump; the median is right as long as those of
/// more than half of the VMs are. Of an even number the lower one of the two in the middle
/// is taken, since a mean would be off if one of two is.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::duties::median_offset_ms;
///
/// assert_eq!(median_offset_ms([1_000, 1_003, -4_000]), Some(1_000));
/// assert_eq!(median_offset_ms([]), None);
/// ```
pub fn median_offset_ms<I>(offsets: I) -> Option<i64>
where
    I: IntoIterator<Item = i64>,
{
    let mut offsets: Vec<i64> = offsets.into_iter().collect();
    let middle = offsets.len().checked_sub(1)? / 2;
    let (_, median, _) = offsets.select_nth_unstable(middle);
    Some(*median)
}
