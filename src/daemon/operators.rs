//! Serves operators: the versioned configuration, its history and the status.

use std::sync::Arc;

use poem::{
    Body, Response, handler,
    web::{Data, Query},
};
use serde::Deserialize;

use super::{
    clock::now_ms,
    config, config_submit,
    response::{json_or_refusal, json_response},
    state::{Daemon, lock},
};
use crate::{
    core::{
        Name,
        endpoint::{Endpoint, Usage},
    },
    error::{ErrorKind, Refusal},
    wire::{
        operators::{EndpointStatus, LeaseStatus, Patch, Status, VmStatus},
        peers::MemberRecord,
    },
};

const MAX_PATCH_BYTES: usize = 8 * 1024 * 1024;

/// Handles `GET /operator/config`: returns the configuration in force here.
#[expect(
    clippy::needless_pass_by_value,
    reason = "poem passes extractors by value"
)]
#[handler]
pub(crate) fn get_config(daemon: Data<&Arc<Daemon>>) -> Response {
    json_response(&*daemon.config.borrow())
}

/// Handles `POST /operator/patch`: submits a patch.
#[handler]
pub(crate) async fn patch(daemon: Data<&Arc<Daemon>>, body: Body) -> Response {
    let result = async {
        let bytes = body.into_bytes_limit(MAX_PATCH_BYTES).await;
        let bytes = bytes.map_err(|error| {
            let message = format!("the body of the patch cannot be read: {error}");
            Refusal::new(ErrorKind::BadRequest, message)
        })?;
        let patch: Patch = serde_json::from_slice(&bytes).map_err(|error| {
            let message = format!("the body of the patch is invalid: {error}");
            Refusal::new(ErrorKind::BadRequest, message)
        })?;
        config_submit::submit(&daemon, patch).await
    };
    json_or_refusal(&daemon, result.await)
}

#[derive(Debug, Deserialize)]
pub(crate) struct HistoryQuery {
    since: Option<u64>,
}

/// Handles `GET /operator/history?since=N`: returns the changes after version N,
/// or all changes.
#[handler]
pub(crate) async fn history(daemon: Data<&Arc<Daemon>>, query: Query<HistoryQuery>) -> Response {
    let after_version = query.since.unwrap_or_default();
    json_or_refusal(&daemon, config::read_history(&daemon, after_version).await)
}

/// Handles `GET /operator/status`: returns the VMs, endpoints and leases that
/// this daemon knows.
#[expect(
    clippy::needless_pass_by_value,
    reason = "poem passes extractors by value"
)]
#[handler]
pub(crate) fn status(daemon: Data<&Arc<Daemon>>) -> Response {
    let config_number = daemon.config.borrow().number;
    let members = lock(&daemon.membership).clone();
    let vms = members
        .records()
        .map(|record| {
            let is_unreachable = members.is_unreachable(&record.vm);
            vm_status(&daemon, record, is_unreachable, config_number)
        })
        .collect();
    let now_ms = now_ms();
    let endpoints = lock(&daemon.endpoints)
        .iter()
        .filter(|(_, endpoint)| endpoint.usage != Usage::Unused)
        .map(|(service, endpoint)| endpoint_status(service, endpoint, now_ms))
        .collect();
    let trainers = lock(&daemon.trainers);
    let trainer_leases = trainers.values().map(|task| &task.lease);
    let weights_rollouts = lock(&daemon.weights_rollouts);
    let weights_rollout_leases = weights_rollouts.values().map(|task| &task.lease);
    let leases = trainer_leases
        .chain(weights_rollout_leases)
        .filter_map(|lease| {
            let fence = lease.fence()?;
            Some(LeaseStatus {
                lease: lease.name(),
                fence,
            })
        });
    let leases = leases.collect();
    json_response(&Status {
        vm: daemon.own_record.vm.clone(),
        config_number,
        vms,
        endpoints,
        leases,
    })
}

fn vm_status(
    daemon: &Daemon,
    record: &MemberRecord,
    is_unreachable: bool,
    config_number: u64,
) -> VmStatus {
    let state = if is_unreachable {
        "unreachable"
    } else {
        record.state.into()
    };
    VmStatus {
        vm: record.vm.clone(),
        data_centre: record.data_centre.clone(),
        state: state.into(),
        config_number: if record.vm == daemon.own_record.vm {
            config_number
        } else {
            0
        },
    }
}

fn endpoint_status(service: &Name, endpoint: &Endpoint, now_ms: u64) -> EndpointStatus {
    EndpointStatus {
        service: service.clone(),
        endpoint: endpoint.name.clone(),
        data_centre: endpoint.settings.data_centre.clone(),
        state: <&str>::from(endpoint.state(now_ms)).into(),
        weights_version: endpoint.load.weights_version,
        in_flight: endpoint.in_flight,
    }
}
