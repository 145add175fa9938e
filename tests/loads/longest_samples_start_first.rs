//! Guards against steps that are prolonged by a long sample that starts late.
//!
//! A step has more samples than slots, and a few samples are many times longer
//! than the others.

use chicoryreach::core::batch::{SampleSpec, run_order, share_count, share_of_group};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

use super::support::{draw_event_count, sample};

const GROUPS: usize = 26;
const GROUP_SIZE: usize = 8;
const SLOTS: usize = 48;

/// Returns when the last sample is done if the samples start in this order.
fn makespan(lengths: &[u64], order: &[usize]) -> u64 {
    let mut free_at = [0_u64; SLOTS];
    for index in order {
        let slot_free_at = free_at.iter_mut().min().expect("there are slots");
        *slot_free_at += lengths[*index];
    }
    free_at.into_iter().max().expect("there are slots")
}

#[rstest]
fn starting_the_longest_samples_first_never_prolongs_the_step(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let lengths: Vec<u64> = (0..GROUPS * GROUP_SIZE)
        .map(|_| u64::from(draw_event_count(&mut rng)))
        .collect();
    let samples: Vec<SampleSpec> = lengths
        .iter()
        .enumerate()
        .map(|(number, length)| sample(number, number / GROUP_SIZE, *length))
        .collect();
    let order = run_order(&samples);
    let submission_order: Vec<usize> = (0..samples.len()).collect();
    let (sorted_end, unsorted_end) = (
        makespan(&lengths, &order),
        makespan(&lengths, &submission_order),
    );
    assert!(
        sorted_end <= unsorted_end,
        "ends at {sorted_end} sorted, at {unsorted_end} unsorted"
    );
    // No order ends before the longest sample does, nor before the mean work
    // per slot.
    let longest = lengths.iter().copied().max().expect("some");
    let mean_per_slot = lengths.iter().sum::<u64>().div_ceil(48);
    let lower_bound = longest.max(mean_per_slot);
    assert!(
        sorted_end <= lower_bound * 13 / 10,
        "ends at {sorted_end}, no order ends before {lower_bound}"
    );
}

#[test]
fn shares_differ_by_at_most_one_group() {
    let count = share_count(GROUPS * GROUP_SIZE);
    let mut sizes = vec![0; usize::try_from(count).expect("few")];
    for group in 0..GROUPS {
        let share = share_of_group(group, count);
        sizes[usize::try_from(share).expect("few")] += GROUP_SIZE;
    }
    let (least, most) = (sizes.iter().min(), sizes.iter().max());
    assert!(most.expect("some") - least.expect("some") <= GROUP_SIZE);
}
