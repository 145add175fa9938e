//! Guards against streams that hold events of two software versions of a service.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rstest::rstest;
use rustix::process::Signal;
use standins::fleet::{AnswerFault, SamplerSettings};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fleet::{Fleet, HOST, SAMPLER_SETTINGS, WAIT_TIMEOUT};

/// The number of streams that callers take up again.
const STREAMS: usize = 48;
/// How long a caller waits for a part of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// How often, and after which pause, a caller comes back to samplers that are full.
const MAX_RETRIES: u32 = 8;
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longer than the interval at which VMs read the list of VMs.
const VMS_KNOWN: Duration = Duration::from_millis(1_200);

const SLOW_STREAMS: SamplerSettings = SamplerSettings {
    events: 40,
    event_ms: 15,
    ..SAMPLER_SETTINGS
};

/// What a caller got of a stream.
#[derive(Debug, Default)]
pub struct Received {
    pub status: u16,
    /// The software version of the sampler that answered.
    pub software: Option<String>,
    pub events: u64,
}

/// Reads a stream until it holds some events, then closes the connection.
pub async fn read_stream(
    software: &BTreeMap<String, String>,
    vm: SocketAddr,
    id: &str,
    resumed: Option<(&str, u64)>,
    events: u64,
) -> Received {
    let mut head = format!(
        "POST /chats/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 8000\r\nContent-Length: 0\r\n"
    );
    if let Some((first_id, last_event)) = resumed {
        let resumed = format!("Resumes: {first_id}\r\nLast-Event-Id: {last_event}\r\n");
        head.push_str(&resumed);
    }
    head += "\r\n";
    let mut received = Received::default();
    let Ok(mut connection) = TcpStream::connect(vm).await else {
        return received;
    };
    if connection.write_all(head.as_bytes()).await.is_err() {
        return received;
    }
    let mut bytes = Vec::new();
    let deadline = Instant::now() + READ_TIMEOUT;
    while received.events < events && Instant::now() < deadline {
        let read = tokio::time::timeout(READ_TIMEOUT, connection.read_buf(&mut bytes));
        let is_over = !matches!(read.await, Ok(Ok(count)) if count > 0);
        let text = String::from_utf8_lossy(&bytes);
        received = parse(&text, software);
        if is_over || (received.status != 0 && received.status != 200) {
            break;
        }
    }
    received
}

fn parse(text: &str, software: &BTreeMap<String, String>) -> Received {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return Received::default();
    };
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let mut stamps = head
        .lines()
        .filter_map(|line| line.strip_prefix("x-response-stamp: "));
    let stamp = stamps.next().unwrap_or_default();
    let by_stamp = software
        .iter()
        .find(|(sampler, _)| stamp.contains(*sampler));
    let events = body.matches("\ndata: ").count();
    Received {
        status: status.unwrap_or(0),
        software: by_stamp.map(|(_, software)| software.clone()),
        events: u64::try_from(events).unwrap_or(0),
    }
}

/// Lets one of the samplers run another version of the software; returns the version
/// of each.
pub async fn release_one(fleet: &Fleet) -> BTreeMap<String, String> {
    fleet.model_samplers[2].set_software("v2");
    for vm in &fleet.vms {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !vm.log_text().contains("\"software\":\"v2\"") {
            assert!(
                Instant::now() < deadline,
                "{} has not read the entry",
                vm.name
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let samplers = fleet.model_samplers.iter();
    let software = samplers.map(|sampler| (sampler.id.clone(), sampler.software()));
    software.collect()
}

/// What happens between the two tries of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// A VM that began some of the streams is lost.
    VmLost,
    /// All VMs but one are lost.
    AllButOneLost,
    /// The samplers of one version are gone.
    VersionGone,
}

/// Guards against a caller that comes back, at another VM, and gets the rest of its
/// stream from another software version; and against streams that are all given up to
/// prevent this.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_is_taken_up_again_stays_at_its_software_version(
    #[values(Fault::None, Fault::VmLost, Fault::AllButOneLost, Fault::VersionGone)] fault: Fault,
) {
    let fleet = Fleet::start(4, SLOW_STREAMS).await;
    let software = release_one(&fleet).await;
    tokio::time::sleep(VMS_KNOWN).await;
    let vms: Vec<_> = fleet.vms.iter().map(|vm| vm.addresses["callers"]).collect();
    let first = futures_util::future::join_all((0..STREAMS).map(|number| {
        let (software, vm) = (&software, vms[number % vms.len()]);
        async move { read_stream(software, vm, &format!("first-{number}"), None, 3).await }
    }))
    .await;
    assert!(
        first.iter().all(|received| received.events >= 3),
        "{first:?}"
    );
    match fault {
        Fault::None => {}
        Fault::VmLost => fleet.signal(0, Signal::KILL),
        Fault::AllButOneLost => (0..3).for_each(|vm| fleet.signal(vm, Signal::KILL)),
        Fault::VersionGone => {
            fleet
                .store
                .writer()
                .remove("servers", &fleet.model_samplers[2].id);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }
    let again = futures_util::future::join_all((0..STREAMS).map(|number| {
        let (software, first) = (&software, &first[number]);
        let vm = vms[if fault == Fault::AllButOneLost {
            3
        } else {
            1 + number % 3
        }];
        async move {
            let (first_id, id) = (format!("first-{number}"), format!("again-{number}"));
            let resumed = Some((first_id.as_str(), first.events));
            let mut received = read_stream(software, vm, &id, resumed, 3).await;
            for retry in 0..MAX_RETRIES {
                if received.status != 429 {
                    break;
                }
                tokio::time::sleep(RETRY_DELAY).await;
                let id = format!("{id}-{retry}");
                received = read_stream(software, vm, &id, resumed, 3).await;
            }
            received
        }
    }))
    .await;
    let pairs = || first.iter().zip(&again);
    let mixed =
        pairs().filter(|(first, again)| again.events > 0 && first.software != again.software);
    assert_eq!(
        mixed.count(),
        0,
        "{fault:?}: {:?}",
        pairs().collect::<Vec<_>>()
    );
    let can_go_on =
        |first: &Received| fault != Fault::VersionGone || first.software.as_deref() == Some("v1");
    let could_go_on = first.iter().filter(|first| can_go_on(first)).count();
    let went_on = again.iter().filter(|again| again.events > 0).count();
    let least = match fault {
        Fault::None | Fault::VersionGone => could_go_on,
        Fault::VmLost => could_go_on * 9 / 10,
        Fault::AllButOneLost => could_go_on / 2,
    };
    println!("{fault:?}: {went_on} of {could_go_on} went on");
    assert!(
        went_on >= least,
        "{fault:?}: {went_on} of {could_go_on} went on: {again:?}"
    );
}

/// What happens while samples run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SampleFault {
    /// Streams break off.
    Cuts,
    /// Streams break off and two VMs are lost.
    VmsLost,
    /// Streams break off and the only sampler of one version leaves.
    VersionGone,
}

/// Guards against samples whose text goes on at another software version after a cut,
/// or after the VM that ran them is lost and another one takes the saved text up.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_text_of_a_sample_stays_at_its_software_version(
    #[values(SampleFault::Cuts, SampleFault::VmsLost, SampleFault::VersionGone)] fault: SampleFault,
) {
    const SAMPLES: usize = 32;
    let mut fleet = Fleet::start(3, SLOW_STREAMS).await;
    release_one(&fleet).await;
    for sampler in &fleet.model_samplers {
        sampler.inject_answer_faults(AnswerFault::Cut, 8);
    }
    fleet.submit_batch(0, "b1", SAMPLES, 1).await;
    match fault {
        SampleFault::Cuts => {}
        SampleFault::VmsLost => {
            tokio::time::sleep(VMS_KNOWN).await;
            fleet.signal(0, Signal::KILL);
            fleet.signal(1, Signal::KILL);
            fleet.restart(0).await;
        }
        SampleFault::VersionGone => {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let leaving = &fleet.model_samplers[2];
            leaving.inject_answer_faults(AnswerFault::Cut, 100);
            fleet.store.writer().remove("servers", &leaving.id);
        }
    }
    let results = fleet.read_all_results(2, "b1", SAMPLES).await;
    fleet.assert_all_complete("b1", &results, SAMPLES, SLOW_STREAMS.events);
    let mut runs: BTreeMap<String, Vec<(Instant, Option<u64>, String)>> = BTreeMap::new();
    for sampler in &fleet.model_samplers {
        for run in sampler.all_runs() {
            let entry = runs.entry(run.id).or_default();
            entry.push((run.at, run.after_event, sampler.software()));
        }
    }
    let mut joined = 0;
    for (id, mut of_sample) in runs {
        of_sample.sort();
        joined += of_sample
            .iter()
            .filter(|(_, after, _)| after.is_some())
            .count();
        for pair in of_sample.windows(2) {
            let (_, after, software) = &pair[1];
            assert!(
                after.is_none() || *software == pair[0].2,
                "{id}: {of_sample:?}"
            );
        }
    }
    assert!(joined > 0, "no text went on");
}
