//! A step has a few samples that are many times longer than the others, and
//! fewer places than samples.

use chicoryreach::core::batch::{SampleSpec, run_order, share_count, share_of_group};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

use super::support::{events, sample};

const GROUPS: usize = 26;
const GROUP_SIZE: usize = 8;
const PLACES: usize = 48;

/// Returns when the last of the samples is done, started in this order.
fn makespan(lengths: &[u64], order: &[usize]) -> u64 {
    let mut free_at = [0_u64; PLACES];
    for place in order {
        let first = free_at.iter_mut().min().expect("some places");
        *first += lengths[*place];
    }
    free_at.into_iter().max().expect("some places")
}

#[rstest]
fn the_longest_first_end_the_step_no_later(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let lengths: Vec<u64> = (0..GROUPS * GROUP_SIZE)
        .map(|_| u64::from(events(&mut rng)))
        .collect();
    let samples: Vec<SampleSpec> = lengths
        .iter()
        .enumerate()
        .map(|(number, length)| sample(number, number / GROUP_SIZE, *length))
        .collect();
    let order = run_order(&samples);
    let as_they_came: Vec<usize> = (0..samples.len()).collect();
    let (sorted, unsorted) = (
        makespan(&lengths, &order),
        makespan(&lengths, &as_they_came),
    );
    assert!(sorted <= unsorted, "{sorted} against {unsorted}");
    // No order ends before the longest sample, nor before the mean of places.
    let longest = lengths.iter().copied().max().expect("some");
    let mean = lengths.iter().sum::<u64>().div_ceil(48);
    assert!(sorted <= longest.max(mean) * 13 / 10, "{sorted}");
}

#[test]
fn each_group_belongs_to_one_share_and_shares_are_alike() {
    let count = share_count(GROUPS * GROUP_SIZE);
    let mut sizes = vec![0; usize::try_from(count).expect("few")];
    for group in 0..GROUPS {
        let share = share_of_group(group, count);
        sizes[usize::try_from(share).expect("few")] += GROUP_SIZE;
    }
    let (least, most) = (sizes.iter().min(), sizes.iter().max());
    assert!(most.expect("some") - least.expect("some") <= GROUP_SIZE);
}
