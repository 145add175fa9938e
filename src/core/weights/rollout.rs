use std::collections::BTreeMap;

use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    wire::engine::{Action, Order},
};

/// How long after an order it is sent again, in milliseconds. This may be less
/// than a load takes: a sampler that is already loading the version continues.
pub const ORDER_RESEND_MS: u64 = 3_000;
/// The percentage of a data centre's samplers that swap weights at once, rounded
/// up: if three samplers swapped one by one, a few failures would delay the last.
pub const WAVE_PERCENT: usize = 50;
/// The longest time that an order of an earlier lease holder may be in transit,
/// in milliseconds.
pub const MAX_ORDER_DELAY_MS: u64 = 1_000;
/// The time over which the first orders to all samplers are spread, in
/// milliseconds, to limit the load on the weight store.
const FIRST_ORDERS_SPREAD_MS: u64 = 8_000;
/// The lowest rate of orders, so that a few samplers are not delayed by the limit
/// for the weight store.
const MIN_ORDERS_PER_S: u64 = 20;
/// The number of orders after which a sampler that has not reported the version
/// no longer delays the others.
const MAX_BLOCKING_ORDERS: u32 = 9;
/// How long after an order such a sampler gets no further one, in milliseconds.
const FAILING_SAMPLER_PAUSE_MS: u64 = 30_000;

/// A sampler and the weights that it last reported.
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

/// Orders samplers to load a version, in waves, until each of them reports it.
///
/// Orders are idempotent, as each names the version to load. A sampler counts as
/// done only by the version that it reports, never because it was ordered. A
/// sampler that restarts with old weights, or that follows a late order of an
/// earlier lease holder, is therefore ordered again.
///
/// # Limits
///
/// Callers pass the samplers that report and are not leaving. In each data centre,
/// half of these swap at once, rounded up, but never all of them if there are
/// several. A data centre with a single sampler has none during the swap.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::weights::{MAX_ORDER_DELAY_MS, WeightsRollout, Sampler};
///
/// let sampler = |name: &str| Sampler {
///     name: name.into(),
///     data_centre: "krk-north".into(),
///     weights_version: 1,
///     incarnation: 1,
/// };
/// let samplers = [sampler("a"), sampler("b")];
/// let mut rollout = WeightsRollout::default();
/// assert!(rollout.take_due_orders(0, 2, 1, &samplers).is_empty());
/// let orders = rollout.take_due_orders(MAX_ORDER_DELAY_MS, 2, 1, &samplers);
/// assert_eq!(orders.len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WeightsRollout {
    fence: u64,
    first_order_at_ms: u64,
    /// How many orders may be sent now, in thousandths.
    allowance_permille: u64,
    allowance_updated_at_ms: u64,
    ordered: BTreeMap<Name, OrderedSampler>,
}

/// A sampler that was ordered to load a version.
#[derive(Clone, Copy, Debug)]
struct OrderedSampler {
    version: u64,
    incarnation: u64,
    resend_at_ms: u64,
    swapping_until_ms: u64,
    orders_sent: u32,
    is_done: bool,
}

impl WeightsRollout {
    /// Returns the orders to send now, each with the sampler that it is for, and
    /// records them as sent.
    ///
    /// `target` is the version to load, and `fence` the current fencing number.
    pub fn take_due_orders(
        &mut self,
        now_ms: u64,
        target: u64,
        fence: u64,
        samplers: &[Sampler],
    ) -> Vec<(Name, Order)> {
        self.reset_for_fence(now_ms, fence);
        if now_ms < self.first_order_at_ms {
            return Vec::new();
        }
        self.add_allowance(now_ms, samplers.len());
        self.apply_reports(target, samplers);
        let mut capacity = self.capacity(now_ms, samplers);
        let mut orders = Vec::new();
        for sampler in samplers {
            if self.allowance_permille < 1_000 {
                break;
            }
            let capacity = capacity.entry(&sampler.data_centre).or_default();
            if !self.is_due(now_ms, target, sampler, *capacity) {
                continue;
            }
            if !self.is_swapping(now_ms, &sampler.name) {
                *capacity = capacity.saturating_sub(1);
            }
            self.allowance_permille -= 1_000;
            self.record_order(now_ms, target, sampler);
            let action = Action::LoadVersion(target);
            orders.push((sampler.name.clone(), Order { fence, action }));
        }
        orders
    }

    /// Starts over if the fencing number is new.
    ///
    /// Nothing is known then of the orders sent before, and no order is sent until
    /// those of the earlier lease holder can no longer be in transit.
    fn reset_for_fence(&mut self, now_ms: u64, fence: u64) {
        if fence != self.fence {
            *self = Self {
                fence,
                first_order_at_ms: now_ms + MAX_ORDER_DELAY_MS,
                allowance_updated_at_ms: now_ms + MAX_ORDER_DELAY_MS,
                allowance_permille: 1_000,
                ordered: BTreeMap::new(),
            };
        }
    }

    /// Adds the allowance for orders since the last call, which spreads them over
    /// time to limit the load on the weight store.
    fn add_allowance(&mut self, now_ms: u64, samplers: usize) {
        let samplers = samplers as u64;
        let orders_per_s = (samplers * 1_000 / FIRST_ORDERS_SPREAD_MS).max(MIN_ORDERS_PER_S);
        let added_permille = (now_ms - self.allowance_updated_at_ms) * orders_per_s;
        // The allowance is capped at the orders of one second.
        self.allowance_permille =
            (self.allowance_permille + added_permille).min(orders_per_s * 1_000);
        self.allowance_updated_at_ms = now_ms;
    }

    fn apply_reports(&mut self, target: u64, samplers: &[Sampler]) {
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

    /// Returns how many more samplers of each data centre may start to swap.
    fn capacity<'a>(&self, now_ms: u64, samplers: &'a [Sampler]) -> BTreeMap<&'a Name, usize> {
        let mut counts: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
        for sampler in samplers {
            let (all, swapping) = counts.entry(&sampler.data_centre).or_default();
            *all += 1;
            *swapping += usize::from(self.is_swapping(now_ms, &sampler.name));
        }
        let capacity = counts.into_iter().map(|(data_centre, (all, swapping))| {
            (data_centre, wave_size(all).saturating_sub(swapping))
        });
        capacity.collect()
    }

    /// Returns whether a sampler counts as swapping.
    ///
    /// A sampler that was ordered counts until it reports the version, however
    /// long it loads. One that keeps failing would block the others, so from its
    /// [`MAX_BLOCKING_ORDERS`]th order on it counts only for [`ORDER_RESEND_MS`]
    /// after each order.
    fn is_swapping(&self, now_ms: u64, sampler: &Name) -> bool {
        self.ordered
            .get(sampler)
            .is_some_and(|ordered| !ordered.is_done && now_ms < ordered.swapping_until_ms)
    }

    fn is_due(&self, now_ms: u64, target: u64, sampler: &Sampler, capacity: usize) -> bool {
        match self.ordered.get(&sampler.name) {
            Some(ordered) => {
                let has_capacity = capacity > 0 || self.is_swapping(now_ms, &sampler.name);
                !ordered.is_done && now_ms >= ordered.resend_at_ms && has_capacity
            }
            None => sampler.weights_version != target && capacity > 0,
        }
    }

    fn record_order(&mut self, now_ms: u64, target: u64, sampler: &Sampler) {
        let earlier = self.ordered.get(&sampler.name);
        let orders_sent = earlier.map_or(0, |earlier| earlier.orders_sent) + 1;
        let (resend_at_ms, swapping_until_ms) = if orders_sent < MAX_BLOCKING_ORDERS {
            (now_ms + ORDER_RESEND_MS, u64::MAX)
        } else {
            (now_ms + FAILING_SAMPLER_PAUSE_MS, now_ms + ORDER_RESEND_MS)
        };
        let ordered = OrderedSampler {
            version: target,
            incarnation: sampler.incarnation,
            resend_at_ms,
            swapping_until_ms,
            orders_sent,
            is_done: false,
        };
        self.ordered.insert(sampler.name.clone(), ordered);
    }
}

fn wave_size(samplers: usize) -> usize {
    if !guard::is_on(Guard::WeightWaves) {
        return samplers;
    }
    let wave = (samplers * WAVE_PERCENT).div_ceil(100);
    wave.min(samplers.saturating_sub(1)).max(1)
}
