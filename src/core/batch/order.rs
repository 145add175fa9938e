use std::collections::BTreeMap;

use super::SampleSpec;
use crate::core::Name;

/// Returns the indices of the samples in the order in which to start them.
///
/// A group is usable only when it is complete, so it is as late as its longest
/// sample. Samples are therefore started longest first, by their length hints;
/// ties go to the group with the longest sample, then to the lower index.
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
    let mut longest_hint_by_group: BTreeMap<&Name, u64> = BTreeMap::new();
    for sample in samples {
        let hint = longest_hint_by_group.entry(&sample.group).or_default();
        *hint = (*hint).max(sample.length_hint);
    }
    let mut indices: Vec<usize> = (0..samples.len()).collect();
    indices.sort_by_key(|index| {
        let sample = &samples[*index];
        let group_hint = longest_hint_by_group
            .get(&sample.group)
            .copied()
            .unwrap_or(0);
        (
            std::cmp::Reverse(sample.length_hint),
            std::cmp::Reverse(group_hint),
            *index,
        )
    });
    indices
}
