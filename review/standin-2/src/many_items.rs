//! A trainer submits one batch job of many small items, well within `body_bytes`.

use std::time::{Duration, Instant};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};

use crate::{
    Outcome,
    fleet::{Fleet, HOST, SAMPLER_SETTINGS, call, config},
    platform::MemoryWatch,
    record::Record,
};

const VMS: usize = 5;
/// The memory of the machines of Emra.
const MEMORY_MB: u64 = 140;
const ITEMS: usize = 40_000;
/// The size of the steps of the sheets.
const CALM_ITEMS: usize = 208;
const GROUP_ITEMS: usize = 100;
const WATCHED: Duration = Duration::from_secs(60);

pub async fn play(has_trouble: bool, record: &mut Record) -> Outcome {
    let items = if has_trouble { ITEMS } else { CALM_ITEMS };
    let mut fleet = Fleet::new(VMS, MEMORY_MB, &config(1), SAMPLER_SETTINGS).await;
    fleet.start_vms().await;
    record.line(format!("{VMS} VMs of {MEMORY_MB} MB are ready"));
    let body = Bytes::from(batch_body(items).to_string());
    let bytes = body.len();
    let mut watch = MemoryWatch::new(&fleet);
    // The platform looks after the processes while the batch job is sent as well.
    let call = tokio::spawn({
        let to = fleet.callers(0);
        async move { call(Method::POST, to, "/lots/b1", "b1", body).await }
    });
    while !call.is_finished() {
        watch.check(&mut fleet, record).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let status = call.await.ok().flatten().map_or(0, |answer| answer.status);
    record.line(format!(
        "batch job b1 of {items} items, {bytes} bytes of 33554432, sent to vm-0: {status}"
    ));
    let began = Instant::now();
    let mut next_line = Instant::now();
    while began.elapsed() < WATCHED && !watch.is_fault() {
        watch.check(&mut fleet, record).await;
        if Instant::now() >= next_line {
            next_line = Instant::now() + Duration::from_secs(5);
            let runs: usize = fleet
                .model_samplers
                .iter()
                .map(|sampler| sampler.run_request_ids().len())
                .sum();
            let peaks: Vec<u64> = fleet
                .vms
                .iter()
                .map(|vm| vm.peak_bytes() / 1_000_000)
                .collect();
            record.line(format!(
                "ends by memory {:?}, {runs} runs, peaks {peaks:?} MB",
                watch.ends
            ));
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    record.line(format!("ends by memory at the end: {:?}", watch.ends));
    if watch.is_fault() {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Items like that of the example in PROTOCOL.md.
fn batch_body(items: usize) -> Value {
    let items: Vec<Value> = (0..items)
        .map(|number| {
            json!({
                "id": format!("e{number:015x}"), "path": format!("/lots/{number:04x}/91c4"),
                "headers": {"X-Model": "advice", "X-Token-Counts": "540,400",
                            "X-Prompt-Prefix": "9c2e41:300,5d07b8:240"},
                "body": "q83vEjRWeJA=", "tokens": 940,
                "group": format!("g{:x}", number / GROUP_ITEMS),
                "scorer": {"id": format!("4{number:015x}"), "host": HOST, "path": "/slips/5e07",
                           "body": STANDARD.encode("text")}
            })
        })
        .collect();
    json!({"step": 0, "model": "advice", "min_version": 1, "target_groups": 1, "requests": items})
}
