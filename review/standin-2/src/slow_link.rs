//! A machine with a fast link accepts a batch job and is removed for good; the others have
//! slow links.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::Method;
use rustix::process::Signal;

use crate::{
    Outcome,
    fleet::{Fleet, SAMPLER_SETTINGS, batch_body, config},
    link::{self, Way},
    lost::Batches,
    record::Record,
    store_front::{self, Terms},
};

/// The links of Cúram: 45 to 600 Mbit/s; its smallest machines have 120 MB.
const LINKS_MBPS: [f64; 3] = [600.0, 45.0, 45.0];
const MEMORY_MB: u64 = 120;
const ITEMS: usize = 384;
const BODY_BYTES: usize = 21_000;
const READING: Duration = Duration::from_secs(45);
const ASKING: Duration = Duration::from_secs(20);

pub async fn play(has_trouble: bool, record: &mut Record) -> Outcome {
    let mut fleet = Fleet::new(LINKS_MBPS.len(), MEMORY_MB, &config(1), SAMPLER_SETTINGS).await;
    let terms = Terms::new(Arc::new(|_| {}));
    for (machine, mbps) in fleet.machines.iter_mut().zip(LINKS_MBPS) {
        let front = store_front::start(machine.store_address, terms.clone()).await;
        machine.store_address = link::start(front, Way::new(mbps), Way::new(mbps)).await;
    }
    fleet.start_vms().await;
    record.line(format!(
        "the VMs reach the store over links of {LINKS_MBPS:?} Mbit/s"
    ));
    let body = Bytes::from(batch_body("b0", ITEMS, BODY_BYTES).to_string());
    let bytes = body.len();
    let status = fleet.status(Method::POST, 0, "/lots/b0", "b0", body).await;
    record.line(format!(
        "batch job b0 of {ITEMS} items, {bytes} bytes, sent to vm-0: {status}"
    ));
    assert_eq!(status, 202, "not accepted");
    while fleet
        .model_samplers
        .iter()
        .all(|sampler| sampler.run_request_ids().is_empty())
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    record.line("the first items have begun");
    if has_trouble {
        fleet.signal(0, Signal::KILL);
        record.line("vm-0 is removed for good");
    }
    let mut batches = Batches::new(1, ITEMS);
    batches.read_results(&fleet, 1, READING, record).await;
    if batches
        .is_lost(&fleet, 1..LINKS_MBPS.len(), ASKING, record)
        .await
    {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
