//! Decodes what the operator, the trainers and the samplers write to the store.

use std::{collections::BTreeMap, net::SocketAddr, num::NonZeroU32};

use serde::Deserialize;
use serde_json::Value;

use super::accounts::decode_accounts;
use crate::core::{
    Name,
    pool::{EndpointRecord, EndpointStage},
    routes::{
        CallerLimits, PoolSettings, Route, RouteKind, RouteTable, ScaleLimits, WeightedService,
    },
};

/// The operator's table, with the configuration and the weights versions that
/// trainers name.
pub(crate) const OPERATOR_TABLE: &str = "op";
/// The samplers' table.
pub(crate) const SAMPLER_TABLE: &str = "servers";
/// The key of the row with the configuration.
pub(crate) const CONFIG_KEY: &str = "config";

/// The prefix of the keys of named weights versions, before the model.
const WEIGHTS_PREFIX: &str = "version/";
const DEFAULT_ROUTE_TIMEOUT_MS: u64 = 10_000;
const DEFAULT_MAX_ATTEMPTS: u32 = 2;
/// The most endpoints of a service in a data centre that are ordered, whatever a
/// configuration allows: several times as many as the largest deployment has in all.
const MAX_SCALED_ENDPOINTS: u32 = 10_000;

#[derive(Deserialize)]
struct WireConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    limits: WireLimits,
    /// Decoded apart from the rest, since the errors of serde quote what they cannot
    /// decode, which may be a key.
    tenants: Option<Value>,
}

#[derive(Deserialize)]
struct WireRoute {
    name: Name,
    host: Name,
    prefix: Name,
    kind: String,
    timeout_ms: Option<u64>,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    service: Option<Name>,
    /// Several services with weights, instead of a single service.
    #[serde(default)]
    backends: Vec<WireSplit>,
    attempts: Option<u32>,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    queue_ttl_s: f64,
    #[serde(default)]
    run_target_ms: f64,
    #[serde(default)]
    single_version: bool,
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
struct WireSplit {
    service: Name,
    weight: u32,
}

#[derive(Deserialize)]
struct WireService {
    name: Name,
    engine: Option<WireEngine>,
    autoscale: Option<WireAutoscale>,
}

#[derive(Deserialize)]
struct WireAutoscale {
    min: u32,
    max: u32,
    #[serde(default)]
    boot_s: f64,
    spot_price: Option<f64>,
    #[serde(default)]
    zone_prices: BTreeMap<Name, f64>,
}

#[derive(Deserialize)]
struct WireEngine {
    #[serde(default)]
    models: Vec<WireModelName>,
}

#[derive(Deserialize)]
struct WireModelName {
    name: Name,
}

#[derive(Deserialize)]
struct WireLimits {
    header_bytes: usize,
    body_bytes: usize,
    header_ms: u64,
    idle_ms: u64,
}

#[derive(Deserialize)]
struct WireSampler {
    service: Name,
    address: SocketAddr,
    zone: Name,
    slots: NonZeroU32,
    state: String,
    #[serde(default)]
    models: Vec<WireModel>,
    #[serde(default)]
    born: u64,
    /// The version of its software, not of its weights.
    version: Name,
    // Not used; an entry whose fields have other types is not a sampler's.
    #[serde(rename = "cold_ms")]
    _cold_ms: f64,
    #[serde(rename = "seq")]
    _heartbeats: u64,
    #[serde(default, rename = "stage")]
    _work: Option<Name>,
    // Newer than the other fields: an entry counts whatever stands in them.
    #[serde(default)]
    spot: Value,
    #[serde(default)]
    leaves_ms: Value,
}

#[derive(Deserialize)]
struct WireModel {
    name: Name,
    #[serde(default)]
    version: u64,
}

#[derive(Deserialize)]
struct WireNamedVersion {
    version: u64,
}

/// Decodes a configuration.
///
/// # Errors
///
/// Fails if the document cannot be decoded, a route has an unknown kind, or the accounts
/// cannot be told apart. No error quotes a key.
pub(crate) fn decode_config(bytes: &[u8]) -> Result<RouteTable, String> {
    let config: WireConfig = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let routes: Result<Vec<Route>, String> = config.routes.into_iter().map(decode_route).collect();
    let pools = config.services.into_iter().map(|service| {
        let models = service
            .engine
            .map(|engine| engine.models)
            .unwrap_or_default();
        let models = models.into_iter().map(|model| model.name).collect();
        let scale_limits = service.autoscale.map(scale_limits);
        let settings = PoolSettings {
            models,
            scale_limits,
        };
        (service.name, settings)
    });
    let limits = CallerLimits {
        max_head_bytes: config.limits.header_bytes,
        max_body_bytes: config.limits.body_bytes,
        head_timeout_ms: config.limits.header_ms,
        idle_timeout_ms: config.limits.idle_ms,
    };
    let table = RouteTable::new(config.version, routes?, pools.collect(), limits);
    Ok(match config.tenants {
        Some(tenants) => table.with_accounts(decode_accounts(&tenants)?),
        None => table,
    })
}

fn scale_limits(wire: WireAutoscale) -> ScaleLimits {
    ScaleLimits {
        min_endpoints: wire.min.min(MAX_SCALED_ENDPOINTS),
        max_endpoints: wire.max.max(wire.min).min(MAX_SCALED_ENDPOINTS),
        boot_ms: round_ms(wire.boot_s * 1_000.0),
        spot_price_share: wire.spot_price,
        prices_per_s: wire.zone_prices,
    }
}

fn decode_route(wire: WireRoute) -> Result<Route, String> {
    let kind = match (wire.kind.as_str(), wire.resumable) {
        ("safe", _) => RouteKind::Idempotent,
        ("unsafe", _) => RouteKind::AtMostOnce,
        ("stream", true) => RouteKind::ResumableStream,
        ("stream", false) => RouteKind::Stream,
        ("batch" | "rollout", _) => RouteKind::Batch,
        (other, _) => return Err(format!("route {} has unknown kind {other}", wire.name)),
    };
    let mut services: Vec<WeightedService> = wire
        .backends
        .into_iter()
        .map(|split| WeightedService {
            service: split.service,
            weight: split.weight,
        })
        .collect();
    if let Some(service) = wire.service.filter(|_| services.is_empty()) {
        services.push(WeightedService { service, weight: 1 });
    }
    Ok(Route {
        name: wire.name,
        host: wire.host,
        prefix: wire.prefix,
        kind,
        timeout_ms: wire.timeout_ms.unwrap_or(DEFAULT_ROUTE_TIMEOUT_MS),
        target_latency_ms: round_ms(wire.target_latency_ms),
        priority: wire.priority,
        max_attempts: wire.attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
        services,
        queue_limit_ms: round_ms(wire.queue_ttl_s * 1_000.0),
        batch_target_ms: round_ms(wire.run_target_ms),
        is_single_version: wire.single_version,
        is_public: wire.public,
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float converted to an integer saturates"
)]
fn round_ms(ms: f64) -> u64 {
    ms.round() as u64
}

/// Decodes a sampler's description of itself; `id` is the key of its row.
///
/// # Errors
///
/// Fails if the document cannot be decoded, a field is missing or of another type, or its
/// state is unknown. `born` may be missing: older samplers do not state it.
pub(crate) fn decode_endpoint(id: &Name, bytes: &[u8]) -> Result<EndpointRecord, String> {
    let wire: WireSampler = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let stage = match wire.state.as_str() {
        "ready" => EndpointStage::Ready,
        "draining" => EndpointStage::Leaving,
        other => return Err(format!("sampler {id} has unknown state {other}")),
    };
    let weights = wire.models.into_iter();
    let weights = weights.map(|model| (model.name, model.version));
    Ok(EndpointRecord {
        id: id.clone(),
        started_unix_ms: wire.born,
        service: wire.service,
        software: wire.version,
        address: wire.address,
        data_centre: wire.zone,
        slots: wire.slots.get(),
        stage,
        is_spot: wire.spot.as_bool().unwrap_or(false),
        leaves_ms: wire.leaves_ms.as_f64().map(round_ms),
        weights: weights.collect::<BTreeMap<_, _>>(),
    })
}

/// Returns the model of a row with a named weights version, by the row's key.
///
/// Returns `None` for any other row of the operator's table.
pub(crate) fn model_of_weights_key(key: &str) -> Option<Name> {
    key.strip_prefix(WEIGHTS_PREFIX).map(Into::into)
}

/// Decodes the weights version that a trainer named.
///
/// # Errors
///
/// Fails if the document cannot be decoded.
pub(crate) fn decode_weights_version(bytes: &[u8]) -> Result<u64, String> {
    let value: Value = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let named: WireNamedVersion =
        serde_json::from_value(value).map_err(|error| error.to_string())?;
    Ok(named.version)
}
