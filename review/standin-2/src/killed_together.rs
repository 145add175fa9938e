//! Several batch jobs are open when all processes are killed at the same moment.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use hyper::Method;
use rustix::process::Signal;

use crate::{
    Outcome,
    fleet::{Fleet, SAMPLER_SETTINGS, batch_body, config},
    lost::Batches,
    record::Record,
    store_front::{self, Terms},
};

/// The machines of Emra: eleven of 140 MB.
const VMS: usize = 11;
const MEMORY_MB: u64 = 140;
const BATCHES: usize = 6;
const ITEMS: usize = 1_000;
const BODY_BYTES: usize = 3_000;
const BETWEEN_BATCHES: Duration = Duration::from_secs(2);
const DOWN: Duration = Duration::from_millis(500);
/// For how long results are read after the kill, or instead of it.
const READING: Duration = Duration::from_secs(50);
/// For how long a body is asked for at the end.
const ASKING: Duration = Duration::from_secs(20);

pub async fn play(has_trouble: bool, record: &mut Record) -> Outcome {
    let mut fleet = Fleet::new(VMS, MEMORY_MB, &config(1), SAMPLER_SETTINGS).await;
    let terms = Terms::new(Arc::new(|_| {}));
    for machine in &mut fleet.machines {
        machine.store_address = store_front::start(machine.store_address, terms.clone()).await;
    }
    fleet.start_vms().await;
    record.line(format!("{VMS} VMs are ready"));
    for number in 0..BATCHES {
        let id = format!("b{number}");
        let body = Bytes::from(batch_body(&id, ITEMS, BODY_BYTES).to_string());
        let bytes = body.len();
        let path = format!("/lots/{id}");
        let status = fleet.status(Method::POST, number, &path, &id, body).await;
        record.line(format!(
            "batch job {id} of {ITEMS} items, {bytes} bytes, sent to vm-{number}: {status}"
        ));
        assert_eq!(status, 202, "not accepted");
        tokio::time::sleep(BETWEEN_BATCHES).await;
    }
    if has_trouble {
        for number in 0..VMS {
            fleet.signal(number, Signal::KILL);
        }
        record.line("all processes are killed at the same moment");
        tokio::time::sleep(DOWN).await;
        for number in 0..VMS {
            fleet.restart(number).await;
        }
        for number in 0..VMS {
            fleet.wait_until_ready(number).await;
        }
        record.line("all VMs are ready again");
    }
    let mut batches = Batches::new(BATCHES, ITEMS);
    batches.read_results(&fleet, 0, READING, record).await;
    let is_lost = batches.is_lost(&fleet, 0..VMS, ASKING, record).await;
    record.line(format!(
        "the store was asked for {} objects, of which {} were read to their end",
        terms.object_reads.load(Ordering::SeqCst),
        terms.object_reads_whole.load(Ordering::SeqCst)
    ));
    if is_lost {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
