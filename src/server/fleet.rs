//! Follows the tables of the operator and of the endpoints: the configuration,
//! the weights versions that trainers name, and the pool of endpoints.

use std::sync::Arc;

use super::{
    crash,
    follow::{TableLayout, TableUpdate, follow_table},
    state::{Server, lock},
};
use crate::{
    core::{
        Name,
        pool::{EndpointRecord, PoolEndpoint},
    },
    daemon::now_ms,
    platform::{
        CONFIG_KEY, OPERATOR_TABLE, Row, SAMPLER_TABLE, decode_config, decode_endpoint,
        decode_weights_version, model_of_weights_key,
    },
};

/// Follows the configuration and the weights versions that trainers name.
pub(crate) async fn follow_operator(server: Arc<Server>) {
    let on_update = |server: &Arc<Server>, update: TableUpdate| match update {
        TableUpdate::All(rows) | TableUpdate::Changed(rows) => {
            for row in &rows {
                on_operator_row(server, row);
            }
        }
        TableUpdate::Recovered => {}
    };
    follow_table(server, OPERATOR_TABLE, TableLayout::OnePart, on_update).await;
}

fn on_operator_row(server: &Server, row: &Row) {
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
                    server
                        .metrics
                        .config_version
                        .set(gauge_value(table.version()));
                    *routes = Arc::new(table);
                    server.pool_listed.notify_one();
                }
            }
            Err(error) => tracing::warn!(%error, "configuration not decoded"),
        }
    } else if let Some(model) = model_of_weights_key(&row.key) {
        match decode_weights_version(bytes) {
            Ok(version) => {
                let mut newest = lock(&server.newest_weights);
                let known = newest.entry(model.clone()).or_default();
                if version > *known {
                    tracing::info!(%model, version, before = *known, "new weights version");
                    *known = version;
                }
            }
            Err(error) => tracing::warn!(%model, %error, "weights version not decoded"),
        }
    }
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Follows the endpoints that the platform lists.
pub(crate) async fn follow_endpoints(server: Arc<Server>) {
    let on_update = |server: &Arc<Server>, update: TableUpdate| {
        let now_ms = now_ms();
        let mut pool = lock(&server.pool);
        let mut gone: Vec<PoolEndpoint> = Vec::new();
        match update {
            TableUpdate::All(rows) => {
                let records: Vec<EndpointRecord> = rows.iter().filter_map(decode_record).collect();
                tracing::info!(listed = records.len(), "endpoints read");
                gone = pool.on_all_listed(now_ms, records);
            }
            TableUpdate::Changed(rows) => {
                for row in &rows {
                    if let Some(record) = decode_record(row) {
                        tracing::info!(endpoint = %record.id, stage = %record.stage, software = %record.software,
                            weights = ?record.weights, "endpoint listed");
                        gone.extend(pool.on_listed(record));
                    } else {
                        tracing::info!(endpoint = %row.key, "endpoint no longer listed");
                        gone.extend(pool.on_unlisted(now_ms, &row.key));
                    }
                }
            }
            TableUpdate::Recovered => pool.on_platform_back(now_ms),
        }
        drop(pool);
        for before in gone {
            crash::on_endpoint_gone(server, &before);
        }
        server.pool_changed.notify_waiters();
        server.pool_listed.notify_one();
    };
    follow_table(server, SAMPLER_TABLE, TableLayout::OnePart, on_update).await;
}

/// Decodes the entry of an endpoint; one that is invalid is logged and ignored.
fn decode_record(row: &Row) -> Option<EndpointRecord> {
    let bytes = row.bytes.as_ref()?;
    match decode_endpoint(&row.key, bytes) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::warn!(endpoint = %row.key, %error,
                "entry of an endpoint ignored: it cannot be decoded");
            None
        }
    }
}

/// Records the weights version that an endpoint's answer reports; a version
/// older than the known one is ignored.
pub(crate) fn record_weights_version(server: &Server, endpoint: &str, model: &Name, version: u64) {
    if let Some(known) = lock(&server.pool).get_mut(endpoint) {
        let known_version = known.record.weights.entry(model.clone()).or_default();
        *known_version = (*known_version).max(version);
    }
}
