use std::collections::BTreeMap;

use super::SampleSpec;
use crate::core::Name;

/// Returns the places of the samples in the order in which they are started.
///
/// A group counts only when it is whole, and it is as late as its longest
/// sample. So the longest samples start first, wherever they stand.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::batch::run_order;
///
/// assert!(run_order(&[]).is_empty());
/// ```
#[must_use]
pub fn run_order(samples: &[SampleSpec]) -> Vec<usize> {
    let mut longest: BTreeMap<&Name, u64> = BTreeMap::new();
    for sample in samples {
        let hint = longest.entry(&sample.group).or_default();
        *hint = (*hint).max(sample.length_hint);
    }
    let mut places: Vec<usize> = (0..samples.len()).collect();
    places.sort_by_key(|place| {
        let sample = &samples[*place];
        let of_group = longest.get(&sample.group).copied().unwrap_or(0);
        (
            std::cmp::Reverse(sample.length_hint),
            std::cmp::Reverse(of_group),
            *place,
        )
    });
    places
}
