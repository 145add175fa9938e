//! A sampler reports `draining` while a VM that has just started reads the list of
//! samplers, which takes more than one call.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use futures_util::future::join_all;
use hyper::Method;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::{
    Outcome,
    fleet::{Fleet, SAMPLER_SETTINGS, call, config},
    record::Record,
    store_front::{self, Terms},
};

const VMS: usize = 2;
const MEMORY_MB: u64 = 140;
/// Samplers of a service to which no route leads. The users' plan has 2,600 samplers.
const OTHER_SAMPLERS: usize = 600;
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
const WAVES: usize = 4;
const REQUESTS: usize = 80;

pub async fn play(has_trouble: bool, record: &mut Record) -> Outcome {
    let mut fleet = Fleet::new(VMS, MEMORY_MB, &config(1), SAMPLER_SETTINGS).await;
    for number in 0..OTHER_SAMPLERS {
        let entry = json!({"service": "other", "address": "127.0.0.1:9", "zone": "dc-1", "slots": 8,
            "version": "v1", "state": "ready", "cold_ms": 0, "models": [], "seq": 4,
            "born": 1_700_000_000_000_u64, "stage": "both"});
        let entry = STANDARD.encode(entry.to_string());
        fleet
            .store
            .with_store(|store| store.put("servers", &format!("j-{number:04}"), entry));
    }
    let is_armed = Arc::new(AtomicBool::new(false));
    let drained_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let drain = {
        // The sampler that is to leave: the first of those that the route leads to.
        let entry = entry_of(&fleet, "i-plain-0");
        let writer = fleet.store.writer();
        let drained_at = drained_at.clone();
        move || {
            let mut entry = entry.clone();
            entry["state"] = "draining".into();
            writer.put("servers", "i-plain-0", STANDARD.encode(entry.to_string()));
            *drained_at.lock().expect("not poisoned") = Some(Instant::now());
        }
    };
    let hook = {
        let (is_armed, drain) = (is_armed.clone(), drain.clone());
        move |path: &str| {
            let is_list = path.starts_with("/v1/rows-get?table=servers&");
            let is_first_call = path.contains("&from=&");
            if is_list && !is_first_call && is_armed.swap(false, Ordering::SeqCst) {
                drain();
            }
        }
    };
    let terms = Terms::new(Arc::new(hook));
    for machine in &mut fleet.machines {
        machine.store_address = store_front::start(machine.store_address, terms.clone()).await;
    }
    fleet.start_vms().await;
    record.line(format!(
        "{VMS} VMs are ready; {} samplers are listed",
        OTHER_SAMPLERS + 6
    ));
    if has_trouble {
        fleet.signal(0, Signal::KILL);
        record.line("vm-0 is killed");
        tokio::time::sleep(Duration::from_millis(500)).await;
        is_armed.store(true, Ordering::SeqCst);
        fleet.restart(0).await;
        fleet.wait_until_ready(0).await;
        record.line("vm-0 is ready again");
    } else {
        drain();
    }
    let drained_at = *drained_at.lock().expect("not poisoned");
    let drained_at = drained_at.expect("the VM reads the list with several calls");
    record.line(format!(
        "i-plain-0 reported draining {} ms ago",
        drained_at.elapsed().as_millis()
    ));
    tokio::time::sleep(CONTACT.max(DRAIN) + Duration::from_secs(1)).await;
    let sent_from = Instant::now();
    record.line(format!(
        "{REQUESTS} requests are sent to vm-0, from {} ms after the report on",
        drained_at.elapsed().as_millis()
    ));
    let mut statuses = Vec::new();
    for wave in 0..WAVES {
        // All at once, so that they take the places of all samplers.
        let to = fleet.callers(0);
        let requests = (0..REQUESTS / WAVES).map(|number| async move {
            let id = format!("r{wave}-{number}");
            let answer = call(
                Method::POST,
                to,
                "/slips/lookup",
                &id,
                Bytes::from_static(b"?"),
            )
            .await;
            answer.map_or(0, |answer| answer.status)
        });
        statuses.extend(join_all(requests).await);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let reached: Vec<String> = fleet.plain_samplers[0]
        .runs_after(sent_from)
        .into_iter()
        .map(|run| run.id)
        .collect();
    record.line(format!("answers: {statuses:?}"));
    record.line(format!(
        "i-plain-0, which is draining, was sent {} of them: {reached:?}",
        reached.len()
    ));
    if reached.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}

fn entry_of(fleet: &Fleet, id: &str) -> Value {
    let rows = fleet
        .store
        .with_store(|store| store.read("servers", "", id, None));
    let value = rows[0]["value"].as_str().expect("a value");
    let bytes = STANDARD.decode(value).expect("base64");
    serde_json::from_slice(&bytes).expect("JSON")
}
