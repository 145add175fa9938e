use std::collections::BTreeMap;

use super::handle::DutyHandle;
use crate::{
    core::{
        Name,
        routes::ScaleLimits,
        scale::{
            EndpointGroup, EndpointKind, ScaleDecision, ScaleInputs, ScaleOrder, ScaleOutcome,
            ServiceScaler, SlotTimes, Supply, SupplySettling,
        },
    },
    daemon::now_ms,
    platform::{DutyCall, DutyOutcome},
    server::scaling,
};

/// The time between two decisions, in milliseconds: what they are made from changes about
/// once a second.
const DECISION_INTERVAL_MS: u64 = 500;

/// What the holder keeps for the scale duty from one check to the next.
#[derive(Debug, Default)]
pub(super) struct ScaleDuty {
    fence: u64,
    services: BTreeMap<Name, ServiceScaler>,
    settling: BTreeMap<Name, SupplySettling>,
    slot_times: BTreeMap<Name, SlotTimes>,
    decide_at_ms: u64,
    /// The last time of the platform's clock, which never goes back here.
    platform_ms: u64,
    /// The endpoints that are wanted and listed, by service.
    totals: BTreeMap<Name, (u32, u32)>,
}

/// A decision on one service, with what it was made from.
struct Decided<'a> {
    service: &'a Name,
    limits: &'a ScaleLimits,
    supply: &'a BTreeMap<EndpointGroup, Supply>,
    decision: ScaleDecision,
}

impl ScaleDuty {
    /// Makes the orders that are due; runs about every 50 ms while this VM holds the duties.
    ///
    /// A `fence` other than that of the last run shows that another VM may have held the
    /// duties since.
    pub(super) async fn run(&mut self, handle: &DutyHandle, fence: u64) {
        if fence != self.fence {
            self.fence = fence;
            self.services.clear();
            self.settling.clear();
        }
        if now_ms() < self.decide_at_ms {
            return;
        }
        self.decide_at_ms = now_ms() + DECISION_INTERVAL_MS;
        let server = handle.server();
        let routes = server.routes();
        let is_scaled = |service: &Name| {
            let settings = routes.pools().get(service);
            settings.is_some_and(|settings| settings.scale_limits.is_some())
        };
        self.services.retain(|service, _| is_scaled(service));
        self.settling.retain(|service, _| is_scaled(service));
        self.slot_times.retain(|service, _| is_scaled(service));
        self.totals.retain(|service, _| is_scaled(service));
        for (service, settings) in routes.pools() {
            if let Some(limits) = &settings.scale_limits {
                self.scale(handle, service, limits).await;
            }
        }
        let (wanted, listed) = self
            .totals
            .values()
            .fold((0, 0), |sum, totals| (sum.0 + totals.0, sum.1 + totals.1));
        server.metrics.endpoints_wanted.set(wanted.into());
        server.metrics.endpoints_listed.set(listed.into());
    }

    async fn scale(&mut self, handle: &DutyHandle, service: &Name, limits: &ScaleLimits) {
        let server = handle.server();
        let Some((earliest_ms, _)) = server.store.clock_bounds_ms() else {
            return;
        };
        self.platform_ms = self.platform_ms.max(earliest_ms);
        let Some(supply) = scaling::supply_of(server, service) else {
            return;
        };
        let listed = supply.values().map(|supply| supply.ready).sum();
        let settling = self.settling.entry(service.clone()).or_default();
        if !settling.is_settled(self.platform_ms, listed) {
            return;
        }
        let slot_times = self.slot_times.entry(service.clone()).or_default();
        let work = scaling::work_of(server, service, self.platform_ms, slot_times);
        let inputs = ScaleInputs {
            now_ms: self.platform_ms,
            limits,
            supply: &supply,
            work: &work,
        };
        let scaler = self.services.entry(service.clone()).or_default();
        let mut decision = scaler.decide(&inputs);
        self.totals
            .insert(service.clone(), (decision.wanted, listed));
        let orders = std::mem::take(&mut decision.orders);
        let decided = Decided {
            service,
            limits,
            supply: &supply,
            decision,
        };
        self.send_all(handle, &decided, &orders).await;
    }

    /// Sends orders one after the other; after one without an answer, the next decision is
    /// made from what is known by then.
    async fn send_all(
        &mut self,
        handle: &DutyHandle,
        decided: &Decided<'_>,
        orders: &[ScaleOrder],
    ) {
        let server = handle.server();
        let mut is_answered = true;
        for order in orders {
            let outcome = if is_answered {
                let call = duty_call(decided.service, order);
                let answer = handle.send(&call).await;
                let outcome = scale_outcome(&answer);
                server.metrics.on_scale_order(outcome);
                log_order(decided, order, &answer, self.fence);
                outcome
            } else {
                ScaleOutcome::Failed
            };
            is_answered &= outcome != ScaleOutcome::Failed;
            if let Some((earliest_ms, _)) = server.store.clock_bounds_ms() {
                self.platform_ms = self.platform_ms.max(earliest_ms);
            }
            if let Some(scaler) = self.services.get_mut(decided.service) {
                scaler.on_outcome(self.platform_ms, decided.limits, &order.group, outcome);
            }
        }
    }
}

fn duty_call(service: &Name, order: &ScaleOrder) -> DutyCall {
    DutyCall::Scale {
        service: service.clone(),
        data_centre: order.group.data_centre.clone(),
        endpoints: order.target.into(),
        is_spot: order.group.kind == EndpointKind::Spot,
    }
}

const fn scale_outcome(answer: &DutyOutcome) -> ScaleOutcome {
    match answer {
        DutyOutcome::Accepted => ScaleOutcome::Accepted,
        DutyOutcome::Unavailable => ScaleOutcome::Unavailable,
        DutyOutcome::Rejected(_) => ScaleOutcome::Rejected,
        DutyOutcome::Paced | DutyOutcome::Failed(_) | DutyOutcome::NotHeld => ScaleOutcome::Failed,
    }
}

fn log_order(decided: &Decided<'_>, order: &ScaleOrder, answer: &DutyOutcome, fence: u64) {
    let Decided {
        service,
        supply,
        decision,
        ..
    } = decided;
    let there = supply.get(&order.group).copied().unwrap_or_default();
    let ready: u32 = supply.values().map(|supply| supply.ready).sum();
    tracing::info!(%service, data_centre = %order.group.data_centre, kind = %order.group.kind,
        target = order.target, before = order.before, reason = %order.reason, outcome = ?answer,
        fence, group_ready = there.ready, group_leaving = there.leaving, ready,
        trainer_slots = decision.trainer_slots, caller_slots = decision.caller_slots,
        needed = decision.needed, most_needed = decision.most_needed, base = decision.base,
        wanted = decision.wanted, "endpoints ordered");
}
