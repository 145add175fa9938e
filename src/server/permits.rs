//! Obtains permits for requests to endpoints that have named a request limit, and
//! issues them to other VMs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Response, StatusCode};

use super::{
    http_client::ExchangeError,
    peer_call::post_to_peer,
    response::{Body, empty_response, full_body},
    state::{Server, lock},
};
use crate::{
    core::{
        Name,
        rate_limit::{PermitAnswer, PermitQuery, Purpose, issued_share, issuers},
    },
    daemon::now_ms,
    wire::peers::PERMIT_PATH,
};

/// How long an issuer may take to answer, in milliseconds: a round trip to another
/// region.
const ANSWER_TIMEOUT_MS: u64 = 250;
/// How long a VM that has not answered is not asked again, in milliseconds.
const SILENT_ISSUER_MS: u64 = 1_000;
/// How long an endpoint gets no request after no issuer has answered, in milliseconds.
const NO_ISSUER_RETRY_MS: u64 = 250;
/// How long an endpoint gets no request after this VM has asked too many questions, in
/// milliseconds.
const NO_QUESTION_RETRY_MS: u64 = 100;
/// How late a permit may be used, in milliseconds: a VM that was frozen meanwhile must
/// not use it.
const MAX_PERMIT_DELAY_MS: u64 = 500;
/// The interval at which buckets without questions are forgotten, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 10_000;

/// The right to send one request to an endpoint.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) purpose: Purpose,
    /// Until when it may be used; `None` if it was not issued, since no limit was known.
    usable_until_ms: Option<u64>,
}

impl Permit {
    /// Returns the permit of a request that another VM hands over and accounts for.
    pub(crate) fn of_other_vm(purpose: Purpose) -> Self {
        Self {
            purpose,
            usable_until_ms: Some(now_ms() + MAX_PERMIT_DELAY_MS),
        }
    }

    /// Returns whether it was issued, so that its request is accounted for.
    pub(crate) const fn is_issued(&self) -> bool {
        self.usable_until_ms.is_some()
    }

    pub(crate) fn is_usable(&self) -> bool {
        self.usable_until_ms
            .is_none_or(|until_ms| now_ms() <= until_ms)
    }
}

/// Waits for a permit to send a request to an endpoint, for `max_wait_ms` at most.
///
/// `id` is the request's, for the log.
///
/// An endpoint that has named no limit needs none. An order is sent in any case.
///
/// # Errors
///
/// Returns `NotPermitted` if the endpoint may get no request of this purpose now.
pub(crate) async fn obtain(
    server: &Arc<Server>,
    endpoint: &Name,
    id: &str,
    purpose: Purpose,
    max_wait_ms: u64,
) -> Result<Permit, ExchangeError> {
    let asked_ms = now_ms();
    let without_permit = Permit {
        purpose,
        usable_until_ms: None,
    };
    let Some(query) = query_for(server, endpoint, purpose, max_wait_ms) else {
        return Ok(without_permit);
    };
    if purpose == Purpose::Hedge {
        return Err(not_permitted(endpoint, "hedged requests get no permits"));
    }
    let answer = ask_issuers(server, &query).await;
    let limit_per_s = query.limit.per_s();
    let (limit_age_ms, unreported) = (query.limit_age_ms, query.sent_without_permit);
    match answer {
        PermitAnswer::Granted { wait_ms } => {
            tracing::info!(id, %endpoint, %purpose, limit_per_s, limit_age_ms, unreported, wait_ms,
                "permit granted");
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            Ok(Permit {
                purpose,
                usable_until_ms: Some(asked_ms + wait_ms + MAX_PERMIT_DELAY_MS),
            })
        }
        PermitAnswer::NotIssuer if purpose == Purpose::Order => Ok(without_permit),
        PermitAnswer::NotIssuer | PermitAnswer::Denied { .. } => {
            let retry_after_ms = match answer {
                PermitAnswer::Denied { retry_after_ms, .. } => retry_after_ms,
                _ => NO_ISSUER_RETRY_MS,
            };
            server.metrics.permits_denied.inc();
            tracing::info!(id, %endpoint, %purpose, limit_per_s, limit_age_ms, unreported,
                retry_after_ms, ?answer, "no permit");
            if let Some(known) = lock(&server.pool).get_mut(endpoint) {
                known.named_limit.on_denied(now_ms() + retry_after_ms);
            }
            let message = format!("no permit for {retry_after_ms} ms");
            Err(not_permitted(endpoint, &message))
        }
    }
}

fn not_permitted(endpoint: &Name, message: &str) -> ExchangeError {
    ExchangeError::NotPermitted(format!("endpoint {endpoint}: {message}"))
}

/// Returns the question for a permit, or `None` if the endpoint has named no limit.
fn query_for(
    server: &Server,
    endpoint: &Name,
    purpose: Purpose,
    max_wait_ms: u64,
) -> Option<PermitQuery> {
    let mut pool = lock(&server.pool);
    let known = pool.get_mut(endpoint)?;
    let limit = known.named_limit.limit()?;
    Some(PermitQuery {
        endpoint: endpoint.clone(),
        incarnation: known.record.started_unix_ms,
        data_centre: known.record.data_centre.clone(),
        limit,
        limit_age_ms: known.named_limit.age_ms(now_ms()),
        sent_without_permit: known.named_limit.take_sent_without_permit(),
        purpose,
        max_wait_ms,
    })
}

/// Asks the issuer, and its standby if the issuer does not answer or issues only a part
/// of the limit.
async fn ask_issuers(server: &Arc<Server>, query: &PermitQuery) -> PermitAnswer {
    let mut best = PermitAnswer::NotIssuer;
    for (vm, address) in ranked_issuers(server, query) {
        let answer = if vm == server.settings.vm {
            issue(server, query)
        } else {
            ask_vm(server, &vm, address, query).await
        };
        match answer {
            PermitAnswer::Granted { .. }
            | PermitAnswer::Denied {
                is_reduced: false, ..
            } => return answer,
            PermitAnswer::Denied { .. } => best = answer,
            PermitAnswer::NotIssuer => {}
        }
    }
    best
}

fn ranked_issuers(server: &Server, query: &PermitQuery) -> Vec<(Name, SocketAddr)> {
    let members = lock(&server.members);
    let vms = members.live_vms().map(|(vm, row)| (vm, &row.data_centre));
    let ranked = issuers(vms, &query.endpoint, &query.data_centre);
    let address_of = |vm: Name| {
        let (_, row) = members.live_vms().find(|(name, _)| **name == vm)?;
        Some((vm, row.peer_address))
    };
    ranked.into_iter().filter_map(address_of).collect()
}

async fn ask_vm(
    server: &Server,
    vm: &Name,
    address: SocketAddr,
    query: &PermitQuery,
) -> PermitAnswer {
    let silent_until_ms = lock(&server.silent_issuers).get(vm).copied();
    if silent_until_ms.is_some_and(|until_ms| now_ms() < until_ms) {
        return PermitAnswer::NotIssuer;
    }
    if query.purpose.is_background() && !lock(&server.permit_questions).take(now_ms()) {
        return PermitAnswer::Denied {
            retry_after_ms: NO_QUESTION_RETRY_MS,
            is_reduced: false,
        };
    }
    let body: Bytes = match rmp_serde::to_vec(query) {
        Ok(body) => body.into(),
        Err(error) => {
            tracing::error!(%error, "question for a permit not encoded");
            return PermitAnswer::NotIssuer;
        }
    };
    let deadline_ms = now_ms() + ANSWER_TIMEOUT_MS;
    server.metrics.permits_asked.inc();
    let reply = post_to_peer(server, address, PERMIT_PATH, body, deadline_ms).await;
    let answer = reply.and_then(|reply| match reply.status {
        StatusCode::OK => rmp_serde::from_slice(&reply.body).map_err(|error| error.to_string()),
        status => Err(format!("answered {status}")),
    });
    answer.unwrap_or_else(|error| {
        tracing::info!(%vm, endpoint = %query.endpoint, error, "issuer of permits does not answer");
        lock(&server.silent_issuers).insert(vm.clone(), now_ms() + SILENT_ISSUER_MS);
        PermitAnswer::NotIssuer
    })
}

/// Issues a permit as far as this VM's own roster and row allow.
fn issue(server: &Server, query: &PermitQuery) -> PermitAnswer {
    if server.is_draining() {
        return PermitAnswer::NotIssuer;
    }
    let now_ms = now_ms();
    let share = {
        let members = lock(&server.members);
        let vms = members.live_vms().map(|(vm, row)| (vm, &row.data_centre));
        let ranked = issuers(vms, &query.endpoint, &query.data_centre);
        let is_fresh = lock(&server.issuer_authority).is_fresh(now_ms);
        issued_share(&server.settings.vm, &ranked, is_fresh)
    };
    let answer = share.map_or(PermitAnswer::NotIssuer, |share| {
        lock(&server.permit_issuer).issue(now_ms, query, share)
    });
    if let PermitAnswer::Granted { .. } = answer {
        server.metrics.permits_issued.inc();
    }
    answer
}

/// Answers another VM's question for a permit.
pub(crate) fn answer_query(server: &Server, body: &[u8]) -> Response<Body> {
    let query: PermitQuery = match rmp_serde::from_slice(body) {
        Ok(query) => query,
        Err(error) => {
            tracing::warn!(%error, "question for a permit not decoded");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    match rmp_serde::to_vec(&issue(server, &query)) {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(error) => {
            tracing::error!(%error, "answer to a question for a permit not encoded");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Forgets what nobody asks for any more, for as long as the process runs.
pub(crate) async fn expire_periodically(server: Arc<Server>) {
    loop {
        tokio::time::sleep(Duration::from_millis(EXPIRY_INTERVAL_MS)).await;
        lock(&server.permit_issuer).expire(now_ms());
        lock(&server.silent_issuers).retain(|_, until_ms| *until_ms > now_ms());
    }
}
