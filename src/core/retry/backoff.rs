use rand::Rng;

/// Returns the backoff before the next retry after `failures` failed retries, in
/// milliseconds.
///
/// The bound starts at `first_ms` and doubles with each failure up to `max_ms`.
/// The backoff is drawn at random from the upper half of the bound: with a fixed
/// one, requests that failed together would be retried together, and with one
/// drawn from zero, some would be retried immediately.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::retry::backoff_ms;
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// assert!((50..=100).contains(&backoff_ms(0, 100, 1_000, &mut rng)));
/// assert!((500..=1_000).contains(&backoff_ms(9, 100, 1_000, &mut rng)));
/// ```
pub fn backoff_ms<R>(failures: u32, first_ms: u64, max_ms: u64, rng: &mut R) -> u64
where
    R: Rng,
{
    let factor = 1_u64.checked_shl(failures).unwrap_or(u64::MAX);
    let bound_ms = first_ms.saturating_mul(factor).min(max_ms);
    rng.random_range(bound_ms / 2..=bound_ms)
}
