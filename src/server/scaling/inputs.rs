use std::collections::BTreeMap;

use crate::{
    core::{
        batch::BatchHead,
        pool::EndpointStage,
        routes::{Route, RouteTable},
        scale::{BatchWork, EndpointGroup, EndpointKind, SlotTimes, Supply, WorkDue},
    },
    server::{
        claims::KnownBatch,
        state::{Server, lock},
    },
};

/// For how long batches that have ended still tell how often their trainer submits one, in
/// milliseconds.
const RECENT_MS: u64 = 30_000;

/// Returns the listed endpoints of a service, or `None` before the list was read.
pub(crate) fn supply_of(server: &Server, service: &str) -> Option<BTreeMap<EndpointGroup, Supply>> {
    let pool = lock(&server.pool);
    if !pool.has_been_read() {
        return None;
    }
    let mut supply: BTreeMap<EndpointGroup, Supply> = BTreeMap::new();
    for known in pool.of_service(service) {
        let record = &known.record;
        let kind = if record.is_spot {
            EndpointKind::Spot
        } else {
            EndpointKind::Ordinary
        };
        let data_centre = record.data_centre.clone();
        let entry = supply
            .entry(EndpointGroup { data_centre, kind })
            .or_default();
        match record.stage {
            EndpointStage::Ready => {
                entry.ready += 1;
                entry.slots = entry.slots.saturating_add(record.slots);
            }
            EndpointStage::Leaving => entry.leaving += 1,
        }
    }
    Some(supply)
}

/// Returns the work of a service at a time of the platform's clock, and brings the slot
/// times that the VMs tell up to date.
pub(crate) fn work_of(
    server: &Server,
    service: &str,
    platform_ms: u64,
    slot_times: &mut SlotTimes,
) -> WorkDue {
    let (mut callers_in_flight, mut refused) = (0_u32, 0_u32);
    {
        let members = lock(&server.members);
        slot_times.retain_live(&members.live_vms().map(|(vm, _)| vm.clone()).collect());
        let loads = members.live_vms();
        let loads = loads.filter_map(|(vm, row)| Some((vm, row.loads.get(service)?)));
        for (vm, load) in loads {
            slot_times.on_report(vm, *load);
            callers_in_flight = callers_in_flight.saturating_add(load.callers_in_flight);
            refused = refused.saturating_add(load.refused);
        }
    }
    let routes = server.routes();
    let batches = lock(&server.batches);
    let work = batches
        .known
        .values()
        .filter_map(|batch| batch_work(&routes, service, platform_ms, batch));
    WorkDue {
        batches: work.collect(),
        slot_ms_per_token: slot_times.ms_per_token(),
        callers_in_flight,
        // Each VM reports once a second.
        refused_per_s: refused,
    }
}

/// Returns the part of a batch that is a service's work, unless it is too old to matter.
fn batch_work(
    routes: &RouteTable,
    service: &str,
    platform_ms: u64,
    batch: &KnownBatch,
) -> Option<BatchWork> {
    let head = batch.head.as_ref()?;
    let route = routes.find(&head.host, &head.path)?;
    let service_share = service_share(route, service)?;
    let accepted_ms = head.accepted_platform_ms;
    let expires_ms = accepted_ms.saturating_add(route.queue_limit_ms);
    let unlisted_share = if platform_ms < expires_ms {
        batch.unlisted_share()
    } else {
        // Its samples are given up.
        0.0
    };
    let is_recent = accepted_ms.saturating_add(RECENT_MS) > platform_ms;
    (is_recent || unlisted_share > 0.0).then(|| BatchWork {
        trainer: route.name.clone(),
        accepted_ms,
        due_ms: accepted_ms.saturating_add(route.batch_target_ms),
        tokens: tokens(head) * service_share,
        unlisted_share,
    })
}

/// Returns the share of a route's requests that a service gets.
fn service_share(route: &Route, service: &str) -> Option<f64> {
    let all: u32 = route
        .services
        .iter()
        .fold(0, |sum, entry| sum.saturating_add(entry.weight));
    let mut services = route.services.iter();
    let entry = services.find(|entry| &*entry.service == service)?;
    (entry.weight > 0).then(|| f64::from(entry.weight) / f64::from(all))
}

#[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
const fn tokens(head: &BatchHead) -> f64 {
    head.tokens as f64
}
