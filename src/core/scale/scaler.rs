use std::collections::{BTreeMap, BTreeSet};

use strum::IntoEnumIterator;

use super::{
    EndpointGroup, EndpointKind, ScaleDecision, ScaleInputs, ScaleOrder, ScaleOutcome, ScaleReason,
    demand::{deadline_slots, trainer_slots},
    group::Group,
    spread::Spread,
    window::Window,
};
use crate::core::{Name, routes::ScaleLimits};

/// How long fewer endpoints have to be enough until some are removed, in milliseconds.
/// Trainers pause for tens of seconds, and an endpoint that is started again is billed
/// while it boots.
const CALM_MS: u64 = 60_000;
/// The time between two removals, in milliseconds.
const STEP_DOWN_INTERVAL_MS: u64 = 5_000;
/// The endpoints that one removal takes, and the surplus that none is removed for, in
/// shares of those that are there.
const STEP_DOWN_DIVISOR: u32 = 10;
/// The endpoints per endpoint that the average work keeps busy: a third more, for uneven
/// batches and lost endpoints.
const HEADROOM_FACTOR: f64 = 4.0 / 3.0;
/// How many times the average work may be exceeded for the sake of open batches: further
/// endpoints would serve too late.
const MAX_CATCH_UP_FACTOR: f64 = 2.0;
/// The share of the ready slots for which refused requests count at most: callers that
/// ask without end must not raise the cost without end.
const MAX_REFUSED_SHARE: f64 = 0.5;
/// The weights of a higher and of a lower number of callers' requests in the moving
/// average, at two decisions a second: bursts of a second count in part, and a load that
/// falls is followed over some seconds.
const CALLERS_RISE_WEIGHT: f64 = 0.5;
const CALLERS_FALL_WEIGHT: f64 = 0.1;

/// Decides how many endpoints one service needs in each data centre.
///
/// It starts from the endpoints that it finds. More are ordered as soon as the work needs
/// them, fewer only after a minute in which fewer were enough. The work that has been there
/// for a whole minute is given to ordinary endpoints, the rest to reclaimable ones.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
///
/// use chicoryreach::core::{
///     routes::ScaleLimits,
///     scale::{EndpointGroup, EndpointKind, ScaleInputs, ServiceScaler, Supply, WorkDue},
/// };
///
/// let limits = ScaleLimits {
///     min_endpoints: 1,
///     max_endpoints: 32,
///     boot_ms: 4_000,
///     spot_price_share: None,
///     prices_per_s: BTreeMap::from([("dc-1".into(), 1.0)]),
/// };
/// let group = EndpointGroup { data_centre: "dc-1".into(), kind: EndpointKind::Ordinary };
/// let supply = BTreeMap::from([(group, Supply { ready: 2, leaving: 0, slots: 8 })]);
/// let work = WorkDue { callers_in_flight: 12, ..WorkDue::default() };
/// let inputs = ScaleInputs { now_ms: 0, limits: &limits, supply: &supply, work: &work };
/// let decision = ServiceScaler::default().decide(&inputs);
/// // Twelve requests and a third more, at four slots an endpoint.
/// assert_eq!(decision.orders[0].target, 4);
/// ```
#[derive(Clone, Debug)]
pub struct ServiceScaler {
    groups: BTreeMap<EndpointGroup, Group>,
    slots_per_endpoint: Option<f64>,
    /// The moving average of the requests other than samples.
    caller_slots: Option<f64>,
    /// The endpoints that were needed, with headroom.
    needed: Window,
    /// The endpoints that the work alone needed.
    base: Window,
    next_step_down_ms: u64,
    /// From when on reclaimable endpoints may take the place of others.
    next_exchange_ms: u64,
}

impl Default for ServiceScaler {
    fn default() -> Self {
        Self {
            groups: BTreeMap::new(),
            slots_per_endpoint: None,
            caller_slots: None,
            needed: Window::new(CALM_MS),
            base: Window::new(CALM_MS),
            next_step_down_ms: 0,
            next_exchange_ms: 0,
        }
    }
}

/// The changes that one decision makes to the numbers of endpoints.
#[derive(Clone, Copy, Debug, Default)]
struct Changes {
    reason: Option<ScaleReason>,
    /// Further ordinary endpoints.
    more_ordinary: u32,
    /// Further endpoints, those included.
    more: u32,
}

impl ServiceScaler {
    /// Returns the orders to give now. Each of them has to be followed by
    /// [`Self::on_outcome`]; until then its group gets no other.
    pub fn decide(&mut self, inputs: &ScaleInputs<'_>) -> ScaleDecision {
        let centres = self.observe(inputs);
        let mut decision = self.estimate(inputs, &centres);
        let now_ms = inputs.now_ms;
        let mut spread = Spread {
            limits: inputs.limits,
            centres: &centres,
            counts: self
                .groups
                .iter()
                .map(|(group, state)| (group.clone(), state.counted()))
                .collect(),
            blocked: self.blocked_groups(now_ms, inputs.limits),
        };
        let counted = spread.total();
        spread.fill_least();
        let is_below_least = spread.total() > counted;
        let changes = self.changes(&decision, &spread, inputs);
        if changes.more > 0 || changes.more_ordinary > 0 {
            grow(&mut spread, changes);
        } else if !is_below_least && self.may_step_down(now_ms) {
            self.step_down(now_ms, &decision, &mut spread);
        }
        decision.wanted = spread.total();
        let least = is_below_least.then_some(ScaleReason::BelowLeast);
        let reason = changes.reason.or(least);
        let reason = reason.unwrap_or(ScaleReason::DemandFell);
        decision.orders = self.take_orders(now_ms, &spread, reason);
        decision
    }

    /// Records how an order ended.
    pub fn on_outcome(
        &mut self,
        now_ms: u64,
        limits: &ScaleLimits,
        ordered: &EndpointGroup,
        outcome: ScaleOutcome,
    ) {
        let Some(state) = self.groups.get_mut(ordered) else {
            return;
        };
        state.on_outcome(now_ms, limits.boot_ms, outcome);
        if outcome != ScaleOutcome::Unavailable {
            return;
        }
        let same_centre = |group: &EndpointGroup| group.data_centre == ordered.data_centre;
        for (_, state) in self.groups.iter_mut().filter(|(g, _)| same_centre(g)) {
            state.pause(now_ms);
        }
        if ordered.kind == EndpointKind::Spot {
            // An exchange only saves cost: it is not tried again and again.
            self.next_exchange_ms = now_ms + CALM_MS;
        }
    }

    /// Takes over the listed endpoints, and returns the data centres.
    fn observe(&mut self, inputs: &ScaleInputs<'_>) -> BTreeSet<Name> {
        let listed = inputs.supply.keys().map(|group| &group.data_centre);
        let known = self.groups.keys().map(|group| &group.data_centre);
        let priced = inputs.limits.prices_per_s.keys();
        let centres: BTreeSet<Name> = priced.chain(listed).chain(known).cloned().collect();
        for data_centre in &centres {
            for kind in EndpointKind::iter() {
                let group = EndpointGroup {
                    data_centre: data_centre.clone(),
                    kind,
                };
                let supply = inputs.supply.get(&group).copied().unwrap_or_default();
                let state = self.groups.entry(group).or_default();
                state.observe(inputs.now_ms, supply, kind == EndpointKind::Spot);
            }
        }
        centres
    }

    fn estimate(&mut self, inputs: &ScaleInputs<'_>, centres: &BTreeSet<Name>) -> ScaleDecision {
        let (now_ms, work, limits) = (inputs.now_ms, inputs.work, inputs.limits);
        let ready: u32 = inputs.supply.values().map(|supply| supply.ready).sum();
        let slots = inputs.supply.values().map(|supply| f64::from(supply.slots));
        let slots: f64 = slots.sum();
        if ready > 0 && slots > 0.0 {
            self.slots_per_endpoint = Some(slots / f64::from(ready));
        }
        let trainer_slots = work.slot_ms_per_token.map_or(0.0, |ms| {
            let average = trainer_slots(now_ms, &work.batches, ms);
            let catch_up = deadline_slots(now_ms, &work.batches, ms, slots, limits.boot_ms);
            // The slots that are needed to be in time hold headroom already.
            let catch_up = catch_up / HEADROOM_FACTOR;
            average.max(catch_up.min(MAX_CATCH_UP_FACTOR * average))
        });
        let refused = f64::from(work.refused_per_s).min(MAX_REFUSED_SHARE * slots);
        let caller_slots = self.on_callers(f64::from(work.callers_in_flight) + refused);
        let centre_count = u32::try_from(centres.len()).unwrap_or(u32::MAX);
        // Without any endpoint so far, nobody knows how much one can do.
        let busy = self
            .slots_per_endpoint
            .map_or(0.0, |slots| (trainer_slots + caller_slots) / slots);
        let least = limits.min_endpoints.saturating_mul(centre_count);
        let most = limits.max_endpoints.saturating_mul(centre_count);
        let most = most.max(least);
        let base = ceil(busy).clamp(least, most);
        let ordinary: u32 = self
            .groups
            .iter()
            .filter(|(group, _)| group.kind == EndpointKind::Ordinary)
            .map(|(_, state)| state.counted())
            .sum();
        let mut needed = ceil(busy * HEADROOM_FACTOR).clamp(least, most);
        if offers_spot(limits) {
            needed = needed.max(to_outlast_reclaim(base, ordinary, centre_count).min(most));
        }
        self.needed.push(now_ms, needed);
        self.base.push(now_ms, base);
        ScaleDecision {
            trainer_slots,
            caller_slots,
            needed,
            most_needed: self.needed.max(),
            base: self.base.min(),
            ..ScaleDecision::default()
        }
    }

    /// Takes over the requests other than samples, and returns their moving average.
    fn on_callers(&mut self, callers: f64) -> f64 {
        let average = self.caller_slots.unwrap_or(callers);
        let weight = if callers > average {
            CALLERS_RISE_WEIGHT
        } else {
            CALLERS_FALL_WEIGHT
        };
        let average = average + weight * (callers - average);
        self.caller_slots = Some(average);
        average
    }

    fn blocked_groups(&self, now_ms: u64, limits: &ScaleLimits) -> BTreeSet<EndpointGroup> {
        let is_blocked = |(group, state): &(&EndpointGroup, &Group)| {
            let is_offered = group.kind == EndpointKind::Ordinary || offers_spot(limits);
            !is_offered || state.paused_until_ms > now_ms
        };
        let blocked = self.groups.iter().filter(is_blocked);
        blocked.map(|(group, _)| group.clone()).collect()
    }

    /// Returns what to add now.
    fn changes(
        &self,
        decision: &ScaleDecision,
        spread: &Spread<'_>,
        inputs: &ScaleInputs<'_>,
    ) -> Changes {
        let more = decision.needed.saturating_sub(spread.total());
        if more > 0 {
            let has_lost = self.groups.values().any(|state| state.supply.leaving > 0);
            let reason = if has_lost {
                ScaleReason::EndpointsLost
            } else {
                ScaleReason::DemandRose
            };
            let more_ordinary = if offers_spot(inputs.limits) { 0 } else { more };
            return Changes {
                reason: Some(reason),
                more_ordinary,
                more,
            };
        }
        let ordinary = spread.of_kind(EndpointKind::Ordinary);
        let is_lasting = self.base.is_full(inputs.now_ms);
        if is_lasting && decision.base > ordinary + tolerance(ordinary) {
            return Changes {
                reason: Some(ScaleReason::DemandLasts),
                more_ordinary: decision.base - ordinary,
                more: 0,
            };
        }
        Changes::default()
    }

    fn may_step_down(&self, now_ms: u64) -> bool {
        self.needed.is_full(now_ms) && self.next_step_down_ms <= now_ms
    }

    /// Removes some endpoints if fewer have been enough for long, ordinary ones first as
    /// far as the lasting work leaves any over.
    fn step_down(&mut self, now_ms: u64, decision: &ScaleDecision, spread: &mut Spread<'_>) {
        let (total, most_needed) = (spread.total(), decision.most_needed);
        let ordinary = spread.of_kind(EndpointKind::Ordinary);
        let is_pending = self.groups.values().any(|state| state.pending.is_some());
        let ready: u32 = self.groups.values().map(|state| state.supply.ready).sum();
        let surplus = total.min(ready).saturating_sub(most_needed);
        let step = (total / STEP_DOWN_DIVISOR).max(1);
        if is_pending {
            return;
        }
        let excess = ordinary.saturating_sub(decision.base + tolerance(decision.base));
        let exchanged = step.min(excess);
        let has_spot = spread.of_kind(EndpointKind::Spot) > 0;
        if exchanged > 0 && surplus >= exchanged {
            spread.remove(EndpointKind::Ordinary, exchanged);
        } else if exchanged > 0 && offers_spot(spread.limits) && self.next_exchange_ms <= now_ms {
            spread.add(EndpointKind::Spot, exchanged - surplus);
        } else if surplus > tolerance(total) {
            let kind = if has_spot {
                EndpointKind::Spot
            } else {
                EndpointKind::Ordinary
            };
            spread.remove(kind, step);
        } else {
            return;
        }
        self.next_step_down_ms = now_ms + STEP_DOWN_INTERVAL_MS;
    }

    /// Returns the orders for the groups whose number changes, or whose endpoints have to be
    /// ordered again.
    fn take_orders(
        &mut self,
        now_ms: u64,
        spread: &Spread<'_>,
        reason: ScaleReason,
    ) -> Vec<ScaleOrder> {
        let mut orders = Vec::new();
        for (group, state) in &mut self.groups {
            let target = spread.counts.get(group).copied().unwrap_or(0);
            let may_send = state.pending.is_none() && state.retry_at_ms <= now_ms;
            let is_repeat = state.has_lost && target == state.target;
            if !may_send || (target == state.target && !is_repeat) {
                continue;
            }
            state.on_sent(target);
            let reason = if is_repeat {
                ScaleReason::EndpointsLost
            } else {
                reason
            };
            orders.push(ScaleOrder {
                group: group.clone(),
                target,
                before: state.target,
                reason,
            });
        }
        orders
    }
}

/// Adds endpoints; those that one kind cannot provide are taken of the other.
fn grow(spread: &mut Spread<'_>, changes: Changes) {
    let missing = spread.add(EndpointKind::Ordinary, changes.more_ordinary);
    let more_spot = changes.more.saturating_sub(changes.more_ordinary);
    let missing = missing.min(changes.more) + more_spot;
    let missing = spread.add(EndpointKind::Spot, missing);
    spread.add(EndpointKind::Ordinary, missing);
}

fn offers_spot(limits: &ScaleLimits) -> bool {
    limits.spot_price_share.is_some_and(|share| share < 1.0)
}

/// Returns how many endpoints there have to be so that `base` are left when all
/// reclaimable ones of a data centre vanish. Those are spread evenly, and all endpoints
/// but the `ordinary` ones are reclaimable.
fn to_outlast_reclaim(base: u32, ordinary: u32, centres: u32) -> u32 {
    if centres < 2 || base <= ordinary {
        return base;
    }
    let sum = base.saturating_mul(centres) - ordinary;
    sum.div_ceil(centres - 1)
}

/// Returns the difference from a number of endpoints that changes nothing.
const fn tolerance(endpoints: u32) -> u32 {
    1 + endpoints / STEP_DOWN_DIVISOR
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float converted to an integer saturates"
)]
fn ceil(value: f64) -> u32 {
    // Rounding errors must not add an endpoint.
    (value - 1e-6).ceil().max(0.0) as u32
}
