use std::collections::BTreeMap;

use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    wire::engine::{Action, Order},
};

/// How long after an order the same order is sent again. It may be shorter
/// than a load: a sampler that loads the version already goes on with it.
pub const ORDER_RESEND_MS: u64 = 3_000;
/// This share of a data centre's samplers swaps at once, in hundredths, rounded
/// up: of three that swap one by one, a few failures make the last one late.
pub const WAVE_PERCENT: usize = 50;
/// How long an order of an earlier holder may be under way.
pub const MAX_ORDER_DELAY_MS: u64 = 1_000;
/// Over this time the first orders to all samplers are spread, for the weight store.
const SPREAD_MS: u64 = 8_000;
/// Few samplers are not kept waiting for the weight store.
const MIN_ORDERS_PER_S: u64 = 20;
/// After so many orders a sampler no longer keeps the others waiting.
const MAX_TRIES: u32 = 9;
/// How long after an order such a sampler is left alone.
const PAUSE_MS: u64 = 30_000;

/// What is known of one sampler's weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sampler {
    /// The sampler's name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// The version that it last reported.
    pub weights_version: u64,
    /// The incarnation that it last reported.
    pub incarnation: u64,
}

/// Orders samplers to a version, in waves, until each reports it.
///
/// Orders are absolute, so that repeating one is harmless, and what counts is
/// what a sampler reports, never that it was ordered. So a sampler that starts
/// anew with old weights, or that obeys a late order of an earlier holder, is
/// ordered again.
///
/// # Limits
///
/// The samplers handed in are those that report and do not leave. Of each data
/// centre, half of these swap at once, rounded up, and never all of several; so
/// a data centre with a single sampler is without it during the swap.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::weights::{MAX_ORDER_DELAY_MS, Rollout, Sampler};
///
/// let sampler = |name: &str| Sampler {
///     name: name.into(),
///     data_centre: "krk-north".into(),
///     weights_version: 1,
///     incarnation: 1,
/// };
/// let samplers = [sampler("a"), sampler("b")];
/// let mut rollout = Rollout::default();
/// assert!(rollout.orders(0, 2, 1, &samplers).is_empty());
/// let orders = rollout.orders(MAX_ORDER_DELAY_MS, 2, 1, &samplers);
/// assert_eq!(orders.len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    fence: u64,
    start_ms: u64,
    allowance_permille: u64,
    last_ms: u64,
    ordered: BTreeMap<Name, Ordered>,
}

#[derive(Clone, Copy, Debug)]
struct Ordered {
    version: u64,
    incarnation: u64,
    again_at_ms: u64,
    swapping_until_ms: u64,
    tries: u32,
    is_done: bool,
}

impl Rollout {
    /// Returns the orders to send now, under the fencing number `fence`.
    pub fn orders(
        &mut self,
        now_ms: u64,
        target: u64,
        fence: u64,
        samplers: &[Sampler],
    ) -> Vec<(Name, Order)> {
        self.take_fence(now_ms, fence);
        if now_ms < self.start_ms {
            return Vec::new();
        }
        self.earn(now_ms, samplers.len());
        self.note_reports(target, samplers);
        let mut room = self.room(now_ms, samplers);
        let mut orders = Vec::new();
        for sampler in samplers {
            if self.allowance_permille < 1_000 {
                break;
            }
            let room = room.entry(&sampler.data_centre).or_default();
            if !self.is_due(now_ms, target, sampler, *room) {
                continue;
            }
            if !self.is_swapping(now_ms, &sampler.name) {
                *room = room.saturating_sub(1);
            }
            self.allowance_permille -= 1_000;
            self.note_order(now_ms, target, sampler);
            let action = Action::LoadVersion(target);
            orders.push((sampler.name.clone(), Order { fence, action }));
        }
        orders
    }

    /// Under a new fencing number, nothing is known of orders sent before, and
    /// those of the earlier holder are waited out.
    fn take_fence(&mut self, now_ms: u64, fence: u64) {
        if fence != self.fence {
            *self = Self {
                fence,
                start_ms: now_ms + MAX_ORDER_DELAY_MS,
                last_ms: now_ms + MAX_ORDER_DELAY_MS,
                allowance_permille: 1_000,
                ordered: BTreeMap::new(),
            };
        }
    }

    /// Spreads orders over time, so that the weight store is not rushed.
    fn earn(&mut self, now_ms: u64, samplers: usize) {
        let samplers = samplers as u64;
        let per_s = (samplers * 1_000 / SPREAD_MS).max(MIN_ORDERS_PER_S);
        let earned = (now_ms - self.last_ms) * per_s;
        // At most what a second earns is saved up.
        self.allowance_permille = (self.allowance_permille + earned).min(per_s * 1_000);
        self.last_ms = now_ms;
    }

    fn note_reports(&mut self, target: u64, samplers: &[Sampler]) {
        let reported: BTreeMap<_, _> = samplers
            .iter()
            .map(|sampler| (&sampler.name, sampler))
            .collect();
        self.ordered.retain(|name, ordered| {
            let Some(sampler) = reported.get(name) else {
                return false;
            };
            if ordered.version != target || ordered.incarnation != sampler.incarnation {
                return !guard::is_on(Guard::OrderReconciliation) && ordered.version == target;
            }
            ordered.is_done |= sampler.weights_version == target;
            !(ordered.is_done && guard::is_on(Guard::OrderReconciliation))
        });
    }

    /// Returns how many more samplers of each data centre may swap.
    fn room<'a>(&self, now_ms: u64, samplers: &'a [Sampler]) -> BTreeMap<&'a Name, usize> {
        let mut counts: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
        for sampler in samplers {
            let (all, swapping) = counts.entry(&sampler.data_centre).or_default();
            *all += 1;
            *swapping += usize::from(self.is_swapping(now_ms, &sampler.name));
        }
        let room = counts.into_iter().map(|(data_centre, (all, swapping))| {
            (data_centre, wave_len(all).saturating_sub(swapping))
        });
        room.collect()
    }

    /// A sampler that was ordered counts until it reports the version, however
    /// long it loads; but one that fails again and again would stop the others.
    fn is_swapping(&self, now_ms: u64, sampler: &Name) -> bool {
        self.ordered
            .get(sampler)
            .is_some_and(|ordered| !ordered.is_done && now_ms < ordered.swapping_until_ms)
    }

    fn is_due(&self, now_ms: u64, target: u64, sampler: &Sampler, room: usize) -> bool {
        match self.ordered.get(&sampler.name) {
            Some(ordered) => {
                let has_room = room > 0 || self.is_swapping(now_ms, &sampler.name);
                !ordered.is_done && now_ms >= ordered.again_at_ms && has_room
            }
            None => sampler.weights_version != target && room > 0,
        }
    }

    fn note_order(&mut self, now_ms: u64, target: u64, sampler: &Sampler) {
        let earlier = self.ordered.get(&sampler.name);
        let tries = earlier.map_or(0, |earlier| earlier.tries) + 1;
        let (again_at_ms, swapping_until_ms) = if tries < MAX_TRIES {
            (now_ms + ORDER_RESEND_MS, u64::MAX)
        } else {
            (now_ms + PAUSE_MS, now_ms + ORDER_RESEND_MS)
        };
        let ordered = Ordered {
            version: target,
            incarnation: sampler.incarnation,
            again_at_ms,
            swapping_until_ms,
            tries,
            is_done: false,
        };
        self.ordered.insert(sampler.name.clone(), ordered);
    }
}

fn wave_len(samplers: usize) -> usize {
    if !guard::is_on(Guard::WeightWaves) {
        return samplers;
    }
    let wave = (samplers * WAVE_PERCENT).div_ceil(100);
    wave.min(samplers.saturating_sub(1)).max(1)
}
