use std::collections::BTreeMap;

use super::BatchWork;

/// The time between two batches of a trainer while only one is known, in milliseconds.
const DEFAULT_STEP_MS: f64 = 4_000.0;
/// The time over which the batches of a trainer are averaged, in milliseconds: several
/// steps, since one may be twice as large as the next.
const RATE_WINDOW_MS: u64 = 24_000;
/// The shortest time for which new endpoints are counted on for a batch, in
/// milliseconds: later ones would cost much and finish little.
const MIN_USEFUL_MS: u64 = 2_000;

/// Returns the slots that the batches keep busy on average, by the work that each trainer
/// has submitted lately and how often it submits.
///
/// The average of a trainer that submits nothing more falls steadily.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::scale::{BatchWork, trainer_slots};
///
/// let batch = |accepted_ms| BatchWork {
///     trainer: "trainer-1".into(),
///     accepted_ms,
///     due_ms: accepted_ms + 7_500,
///     tokens: 4_000.0,
///     unlisted_share: 1.0,
/// };
/// // 4,000 tokens of 20 ms each, every four seconds.
/// let slots = trainer_slots(4_000, &[batch(0), batch(4_000)], 20.0);
/// assert!((slots - 20.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn trainer_slots(now_ms: u64, batches: &[BatchWork], slot_ms_per_token: f64) -> f64 {
    let mut by_trainer: BTreeMap<&str, Vec<&BatchWork>> = BTreeMap::new();
    for batch in batches {
        if batch.accepted_ms.saturating_add(RATE_WINDOW_MS) > now_ms {
            by_trainer.entry(&batch.trainer).or_default().push(batch);
        }
    }
    let tokens_per_ms = by_trainer.values().map(|batches| {
        let accepted = batches.iter().map(|batch| batch.accepted_ms);
        let first_ms = accepted.clone().min().unwrap_or(now_ms);
        let last_ms = accepted.max().unwrap_or(now_ms);
        let tokens: f64 = batches.iter().map(|batch| batch.tokens).sum();
        let count = batches.len();
        let covered_ms = if count > 1 {
            let step_ms = to_f64(last_ms - first_ms) / count_f64(count - 1);
            step_ms * count_f64(count)
        } else {
            DEFAULT_STEP_MS
        };
        let since_first_ms = to_f64(now_ms.saturating_sub(first_ms));
        tokens / covered_ms.max(since_first_ms).max(1_000.0)
    });
    tokens_per_ms.sum::<f64>() * slot_ms_per_token
}

/// Returns the slots that the open batches need to be in time, given the slots that are
/// there and how long further ones take to start.
///
/// A batch that is nearly due or late counts as due soon after new endpoints serve.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::scale::{BatchWork, deadline_slots};
///
/// let batch = BatchWork {
///     trainer: "trainer-1".into(),
///     accepted_ms: 0,
///     due_ms: 8_000,
///     tokens: 4_000.0,
///     unlisted_share: 1.0,
/// };
/// // Ten slots finish half of the work; ten more have four of the eight seconds.
/// assert!((deadline_slots(0, &[batch.clone()], 40.0, 10.0, 4_000) - 30.0).abs() < 1e-9);
/// assert!(deadline_slots(0, &[batch], 20.0, 10.0, 4_000) <= 10.0);
/// ```
#[must_use]
pub fn deadline_slots(
    now_ms: u64,
    batches: &[BatchWork],
    slot_ms_per_token: f64,
    slots: f64,
    boot_ms: u64,
) -> f64 {
    let earliest_ms = now_ms.saturating_add(boot_ms).saturating_add(MIN_USEFUL_MS);
    let open = batches.iter().filter(|batch| batch.unlisted_share > 0.0);
    let mut due: Vec<(u64, f64)> = open
        .map(|batch| {
            let work_ms = batch.tokens * batch.unlisted_share * slot_ms_per_token;
            (batch.due_ms.max(earliest_ms), work_ms)
        })
        .collect();
    due.sort_by_key(|(due_ms, _)| *due_ms);
    let mut work_ms = 0.0;
    let mut needed: f64 = 0.0;
    for (due_ms, batch_work_ms) in due {
        work_ms += batch_work_ms;
        let left_ms = due_ms.saturating_sub(now_ms);
        let useful_ms = left_ms.saturating_sub(boot_ms).max(MIN_USEFUL_MS);
        let missing_ms = work_ms - slots * to_f64(left_ms);
        if missing_ms > 0.0 {
            needed = needed.max(slots + missing_ms / to_f64(useful_ms));
        }
    }
    needed
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times and counts are far below 2^52"
)]
const fn to_f64(value: u64) -> f64 {
    value as f64
}

fn count_f64(count: usize) -> f64 {
    to_f64(u64::try_from(count).unwrap_or(u64::MAX))
}
