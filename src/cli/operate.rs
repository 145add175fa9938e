use std::{fs, net::SocketAddr, sync::Arc, time::Duration};

use serde_json::{Value, json};

use super::args::{ConfigCommand, HeldCommand};
use crate::{
    core::config::VersionedDocument,
    daemon::{HttpClient, HttpError},
    server::HELD_PATH,
    wire::operators::{Accepted, HeldContent, HistoryEntry, Patch, Status},
};

const REQUEST_TIMEOUT_MS: u64 = 20_000;
const WATCH_POLL_INTERVAL_MS: u64 = 500;

/// Runs a subcommand of `config`.
pub(crate) async fn config(command: ConfigCommand) -> Result<(), String> {
    match command {
        ConfigCommand::Get { daemon } => {
            let config: Value = get(daemon, "/operator/config").await?;
            print_json(&config)
        }
        ConfigCommand::Patch {
            daemon,
            against,
            id,
            file,
        } => {
            let text = fs::read_to_string(&file)
                .map_err(|error| format!("{}: {error}", file.display()))?;
            let merge = serde_json::from_str(&text)
                .map_err(|error| format!("{}: {error}", file.display()))?;
            let id = id.map_or_else(random_patch_id, Arc::from);
            submit(daemon, Patch { id, against, merge }).await
        }
        ConfigCommand::Watch { daemon } => watch(daemon).await,
        ConfigCommand::History { daemon } => {
            let history: Vec<HistoryEntry> = get(daemon, "/operator/history").await?;
            for entry in history {
                println!(
                    "{}\t{}\t{}",
                    entry.number,
                    entry.patch_id,
                    entry.changed.join(" ")
                );
            }
            Ok(())
        }
    }
}

/// Prints the status of a daemon, as tables or as JSON.
pub(crate) async fn status(daemon: SocketAddr, json: bool) -> Result<(), String> {
    let status: Status = get(daemon, "/operator/status").await?;
    if json {
        return print_json(&serde_json::to_value(status).map_err(|error| error.to_string())?);
    }
    println!(
        "{} has configuration {} in force",
        status.vm, status.config_number
    );
    println!("\n{:<16} {:<16} STATE", "VM", "DATA CENTRE");
    for vm in status.vms {
        println!("{:<16} {:<16} {}", vm.vm, vm.data_centre, vm.state);
    }
    println!(
        "\n{:<16} {:<16} {:<16} {:<10} {:>8} {:>9}",
        "SERVICE", "ENDPOINT", "DATA CENTRE", "STATE", "WEIGHTS", "IN FLIGHT"
    );
    for endpoint in status.endpoints {
        println!(
            "{:<16} {:<16} {:<16} {:<10} {:>8} {:>9}",
            endpoint.service,
            endpoint.endpoint,
            endpoint.data_centre,
            endpoint.state,
            endpoint.weights_version,
            endpoint.in_flight
        );
    }
    println!("\n{:<32} {:>8}", "LEASE HELD HERE", "FENCE");
    for lease in status.leases {
        println!("{:<32} {:>8}", lease.lease, lease.fence);
    }
    Ok(())
}

/// Runs a subcommand of `held`.
pub(crate) async fn held(command: HeldCommand) -> Result<(), String> {
    match command {
        HeldCommand::List { vm } => {
            let held: Vec<HeldContent> = get(vm, HELD_PATH).await?;
            println!(
                "{:<34} {:>16} CRASHED ENDPOINTS",
                "CONTENT", "LAST CRASH, S"
            );
            for entry in held {
                println!(
                    "{:<34} {:>16} {}",
                    entry.content,
                    entry.last_crash_age_ms / 1_000,
                    entry.crashed_endpoints.join(" ")
                );
            }
            Ok(())
        }
        HeldCommand::Free { vm, content } => {
            let freed: Result<bool, HttpError> = HttpClient::new()
                .post_json(vm, HELD_PATH, &content, REQUEST_TIMEOUT_MS)
                .await;
            match freed {
                Ok(_) => println!("freed {content}"),
                Err(HttpError::Status(status, _)) if status.as_u16() == 404 => {
                    return Err(format!("content {content} is not blamed for any crash"));
                }
                Err(error) => return Err(error_message(&error, None)),
            }
            Ok(())
        }
    }
}

/// Submits a patch that marks an endpoint as leaving or a VM as draining.
///
/// If the name is both an endpoint's and a VM's, the endpoint is marked.
pub(crate) async fn drain(daemon: SocketAddr, name: Arc<str>) -> Result<(), String> {
    let config: VersionedDocument = get(daemon, "/operator/config").await?;
    let services = &config.document.services;
    let owner = services
        .iter()
        .find(|(_, service)| service.endpoints.contains_key(&name));
    let merge = if let Some((service, _)) = owner {
        let endpoint = json!({"leaving": true});
        json!({"services": {service.as_ref(): {"endpoints": {name.as_ref(): endpoint}}}})
    } else {
        // Otherwise a misspelt name would be accepted and drain nothing.
        let status: Status = get(daemon, "/operator/status").await?;
        if !status.vms.iter().any(|vm| vm.vm == name) {
            return Err(format!("there is no VM or endpoint '{name}'"));
        }
        let mut vms = config.document.draining_vms.clone();
        vms.insert(name);
        json!({"draining_vms": vms})
    };
    submit(
        daemon,
        Patch {
            id: random_patch_id(),
            against: config.number,
            merge,
        },
    )
    .await
}

async fn submit(daemon: SocketAddr, patch: Patch) -> Result<(), String> {
    let response = HttpClient::new()
        .post_json(daemon, "/operator/patch", &patch, REQUEST_TIMEOUT_MS)
        .await;
    let accepted: Accepted = response.map_err(|error| error_message(&error, Some(&patch.id)))?;
    println!("accepted as configuration {}", accepted.number);
    Ok(())
}

async fn watch(daemon: SocketAddr) -> Result<(), String> {
    let mut last_number = None;
    loop {
        let config: VersionedDocument = get(daemon, "/operator/config").await?;
        if last_number.replace(config.number) != Some(config.number) {
            println!("{}", config.number);
        }
        tokio::time::sleep(Duration::from_millis(WATCH_POLL_INTERVAL_MS)).await;
    }
}

async fn get<T>(daemon: SocketAddr, path: &str) -> Result<T, String>
where
    T: serde::de::DeserializeOwned,
{
    HttpClient::new()
        .get_json(daemon, path, REQUEST_TIMEOUT_MS)
        .await
        .map_err(|error| error_message(&error, None))
}

/// Returns the message for a failed request: the response's body if there is a
/// response. If the outcome of a patch is unknown, the message says how to
/// submit the patch again under the same id.
fn error_message(error: &HttpError, patch_id: Option<&str>) -> String {
    match (error, patch_id) {
        (HttpError::Status(_, body), _) => String::from_utf8_lossy(body).into_owned(),
        (error, Some(id)) if error.was_sent() => {
            format!("{error}; submit the patch again with --id {id}")
        }
        (error, _) => error.to_string(),
    }
}

fn random_patch_id() -> Arc<str> {
    format!("{:016x}", rand::random::<u64>()).into()
}

fn print_json(value: &Value) -> Result<(), String> {
    let text = serde_json::to_string_pretty(value).map_err(|error| error.to_string())?;
    println!("{text}");
    Ok(())
}
