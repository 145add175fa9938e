//! Guards against streams that nobody knows any more after many VMs were killed at once
//! while two software versions serve: each VM writes what it began to the store.

use std::collections::BTreeSet;

use chicoryreach::core::{
    Name, rendezvous,
    streams::{BegunStreams, StreamOrigin},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use rstest::rstest;

use super::support::SERVICE;

/// The VMs that are told of a stream, as in `serve`.
const TOLD_VMS: usize = 2;
/// How long a stream lasts at most; its caller comes back with a part of it.
const LASTS_MS: u64 = 4_000;
const KILLED_MS: u64 = 20_000;
/// The time of a write of the store.
const WRITE_MS: u64 = 4;
/// The most writes a second of all VMs together: a part of the store takes 300.
const MAX_WRITES_PER_S: f64 = 220.0;

/// How the store is when the VMs are killed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreState {
    Up,
    /// Each write takes half a second.
    Slow,
    /// It has not answered for a second.
    Away,
}

impl StoreState {
    /// Returns when a write that begins now is in the store.
    fn written_ms(self, now_ms: u64) -> u64 {
        match self {
            Self::Slow => now_ms + 500,
            Self::Away if now_ms + WRITE_MS > KILLED_MS - 1_000 => u64::MAX,
            Self::Up | Self::Away => now_ms + WRITE_MS,
        }
    }
}

/// A VM and its row in the store.
struct Vm {
    begun: BegunStreams,
    unwritten_since_ms: Option<u64>,
    next_write_ms: u64,
    writes: u32,
    bytes: usize,
    /// The streams in the row that the store holds, and those being written.
    stored: BTreeSet<Name>,
    writing: Option<(u64, BTreeSet<Name>)>,
    all: BTreeSet<Name>,
}

impl Vm {
    fn new() -> Self {
        Self {
            begun: BegunStreams::default(),
            unwritten_since_ms: None,
            next_write_ms: 0,
            writes: 0,
            bytes: 0,
            stored: BTreeSet::new(),
            writing: None,
            all: BTreeSet::new(),
        }
    }

    fn begin(&mut self, now_ms: u64, id: Name, origin: StreamOrigin) {
        self.begun.insert(&id, origin, now_ms + LASTS_MS);
        self.all.insert(id);
        self.unwritten_since_ms.get_or_insert(now_ms);
    }

    fn step(&mut self, now_ms: u64, vms: u64, store: StoreState) {
        if let Some((done_ms, _)) = &self.writing {
            if *done_ms > now_ms {
                return;
            }
            self.stored = self.writing.take().expect("checked").1;
        }
        let is_due = self
            .unwritten_since_ms
            .is_some_and(|since_ms| since_ms + BegunStreams::WRITE_DELAY_MS <= now_ms);
        if is_due && self.next_write_ms <= now_ms {
            let row = self.begun.to_row(now_ms, now_ms, usize::MAX);
            let row = row.expect("a stream is in progress");
            self.bytes += rmp_serde::to_vec(&row).expect("it is encoded").len();
            self.writes += 1;
            self.unwritten_since_ms = None;
            self.next_write_ms = now_ms + BegunStreams::write_interval_ms(vms);
            self.writing = Some((store.written_ms(now_ms), self.all.clone()));
        }
    }
}

/// The share of the streams that are known must be half of all at least; with the store
/// away the VMs that were told are the only ones that know the newest streams.
#[rstest]
fn most_streams_are_known_after_many_vms_were_killed(
    #[values((13, 40.0), (68, 250.0), (195, 700.0), (360, 1_300.0))] (vms, per_s): (usize, f64),
    #[values(0.34, 0.875, 1.0)] killed_share: f64,
    #[values(StoreState::Up, StoreState::Slow, StoreState::Away)] store: StoreState,
) {
    let mut rng = SmallRng::seed_from_u64(1);
    let names: Vec<Name> = (0..vms).map(|vm| format!("vm-{vm}").into()).collect();
    let count = u64::try_from(vms).expect("few");
    let mut fleet: Vec<Vm> = (0..vms).map(|_| Vm::new()).collect();
    let mut streams: Vec<(u64, Name, usize)> = Vec::new();
    for now_ms in 0..KILLED_MS {
        let mut due = per_s / 1_000.0;
        while due > 0.0 {
            if rng.random_bool(due.min(1.0)) {
                let id: Name = format!("stream-{}", streams.len()).into();
                let first = rng.random_range(0..vms);
                let software = if rng.random_bool(0.5) { "v1" } else { "v2" };
                let origin = StreamOrigin {
                    service: SERVICE.into(),
                    software: software.into(),
                };
                fleet[first].begin(now_ms, id.clone(), origin);
                streams.push((now_ms, id, first));
            }
            due -= 1.0;
        }
        for vm in &mut fleet {
            vm.step(now_ms, count, store);
        }
    }
    let mut order: Vec<usize> = (0..vms).collect();
    order.shuffle(&mut rng);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a count"
    )]
    let killed: BTreeSet<usize> = order
        .into_iter()
        .take((vms as f64 * killed_share) as usize)
        .collect();
    let is_up = |name: &Name| {
        names
            .iter()
            .position(|n| n == name)
            .is_some_and(|vm| !killed.contains(&vm))
    };
    let (mut resumed, mut known) = (0_u32, 0_u32);
    for (begun_ms, id, first) in &streams {
        // Callers have an event after a short time.
        let has_events = begun_ms + 100 <= KILLED_MS;
        if begun_ms + LASTS_MS <= KILLED_MS || !has_events || !killed.contains(first) {
            continue;
        }
        resumed += 1;
        let is_told = rendezvous::choose(&names, id, TOLD_VMS).iter().any(is_up);
        known += u32::from(is_told || fleet[*first].stored.contains(id));
    }
    let seconds = f64::from(u32::try_from(KILLED_MS).expect("small")) / 1_000.0;
    let writes_per_s = f64::from(fleet.iter().map(|vm| vm.writes).sum::<u32>()) / seconds;
    let bytes: usize = fleet.iter().map(|vm| vm.bytes).sum();
    #[expect(clippy::cast_precision_loss, reason = "a count")]
    let bytes_per_vm_and_s = bytes as f64 / vms as f64 / seconds;
    let share = f64::from(known) / f64::from(resumed);
    println!(
        "{vms} VMs, {killed_share} killed, store {store:?}: {share:.2} known, \
         {writes_per_s:.0} writes/s, {bytes_per_vm_and_s:.0} bytes/s a VM"
    );
    assert!(writes_per_s <= MAX_WRITES_PER_S, "{writes_per_s}");
    assert!(share >= 0.5, "{share}");
}
