//! What the operator and the endpoints say: routes, weights named, the pool.

use std::sync::Arc;

use super::{
    follow::{Layout, Update, follow},
    state::{Server, lock},
};
use crate::{
    core::{Name, pool::EndpointRecord},
    daemon::now_ms,
    platform::{
        CONFIG_KEY, OPERATOR_TABLE, SAMPLER_TABLE, Value, decode_config, decode_endpoint,
        decode_weights, weights_model,
    },
};

/// Follows the configuration and the weights versions that trainers name.
pub(crate) async fn follow_operator(server: Arc<Server>) {
    let on_update = |server: &Arc<Server>, update: Update| match update {
        Update::All(rows) | Update::Changed(rows) => {
            for row in &rows {
                on_operator_row(server, row);
            }
        }
        Update::Back => {}
    };
    follow(server, OPERATOR_TABLE, Layout::OnePart, on_update).await;
}

fn on_operator_row(server: &Server, row: &Value) {
    let Some(bytes) = &row.bytes else { return };
    if &*row.key == CONFIG_KEY {
        match decode_config(bytes) {
            Ok(table) => {
                let mut routes = lock(&server.routes);
                if table.version() > routes.version() {
                    tracing::info!(
                        version = table.version(),
                        before = routes.version(),
                        "configuration in force"
                    );
                    server.metrics.config_version.set(metric(table.version()));
                    *routes = Arc::new(table);
                }
            }
            Err(error) => tracing::warn!(%error, "configuration cannot be read"),
        }
    } else if let Some(model) = weights_model(&row.key) {
        match decode_weights(bytes) {
            Ok(version) => {
                let mut named = lock(&server.named_weights);
                let known = named.entry(model.clone()).or_default();
                if version > *known {
                    tracing::info!(%model, version, before = *known, "weights version named");
                    *known = version;
                }
            }
            Err(error) => tracing::warn!(%model, %error, "weights version cannot be read"),
        }
    }
}

fn metric(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Follows the endpoints that the platform lists.
pub(crate) async fn follow_endpoints(server: Arc<Server>) {
    let on_update = |server: &Arc<Server>, update: Update| {
        let now_ms = now_ms();
        let mut pool = lock(&server.pool);
        match update {
            Update::All(rows) => {
                let records: Vec<EndpointRecord> = rows.iter().filter_map(record).collect();
                tracing::info!(listed = records.len(), "endpoints read");
                pool.on_all_listed(now_ms, records);
            }
            Update::Changed(rows) => {
                for row in &rows {
                    if let Some(record) = record(row) {
                        tracing::info!(endpoint = %record.id, stage = %record.stage,
                            weights = ?record.weights, "endpoint listed");
                        pool.on_listed(record);
                    } else {
                        tracing::info!(endpoint = %row.key, "endpoint no longer listed");
                        pool.on_unlisted(now_ms, &row.key);
                    }
                }
            }
            Update::Back => pool.on_platform_back(now_ms),
        }
        drop(pool);
        server.pool_changed.notify_waiters();
    };
    follow(server, SAMPLER_TABLE, Layout::OnePart, on_update).await;
}

/// An entry that cannot be read names no endpoint to use.
fn record(row: &Value) -> Option<EndpointRecord> {
    let bytes = row.bytes.as_ref()?;
    match decode_endpoint(&row.key, bytes) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::warn!(endpoint = %row.key, %error, "entry ignored: it cannot be read");
            None
        }
    }
}

/// Notes the weights version that an endpoint's answer names.
pub(crate) fn record_weights_version(server: &Server, endpoint: &str, model: &Name, version: u64) {
    if let Some(known) = lock(&server.pool).get_mut(endpoint) {
        let before = known.record.weights.entry(model.clone()).or_default();
        *before = (*before).max(version);
    }
}
