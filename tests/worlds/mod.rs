//! The simulated environments in which scenarios are played, one per part of the
//! core.

mod config;
mod drain;
mod endpoints;
mod leases;
mod membership;
mod overload;
mod quarantine;
mod requests;
mod routing;
mod samples;
mod tickets;
mod weights;

use serde_json::Value;

/// Plays a scenario's body in its world and returns the violations of its promise.
pub fn play(world: &str, body: &Value, seed: u64) -> Vec<String> {
    match world {
        "config" => config::play(body, seed),
        "drain" => drain::play(body, seed),
        "leases" => leases::play(body, seed),
        "endpoints" => endpoints::play(body, seed),
        "membership" => membership::play(body, seed),
        "overload" => overload::play(body, seed),
        "quarantine" => quarantine::play(body, seed),
        "requests" => requests::play(body, seed),
        "routing" => routing::play(body, seed),
        "tickets" => tickets::play(body, seed),
        "samples" => samples::play(body, seed),
        "weights" => weights::play(body, seed),
        other => panic!("unknown world '{other}' in a scenario"),
    }
}
