//! Guards against usage that is counted twice, not at all or in the wrong window, and
//! against more writes of counts than the store is to bear: 1,300 requests a second over
//! 62 or 360 VMs, of which some have a wrong time of day, with retries and refusals, writes
//! that are lost, delayed or answered late, and holders that change between steps.

use std::collections::BTreeMap;

use chicoryreach::core::{
    Name,
    duties::{
        CallAnswer, CountWrite, DutyCalls, Reports, RequestCount, UsageCounts, UsageReport,
        UsageWindows, WritePace, median_offset_ms,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const REQUESTS_PER_S: u64 = 1_300;
const END_MS: u64 = 30_000;
/// The span in which writes are counted.
const SPAN_MS: u64 = 1_000;
const ACCOUNTS: [&str; 3] = ["large", "middle", "small"];
/// The true time when the store's clock shows 0.
const TRUE_OFFSET_MS: i64 = 1_700_000_000_000;

/// A row of the store: its version and content.
type StoredRow = (u64, UsageReport);

struct Vm {
    counts: UsageCounts,
    offset_ms: i64,
    /// A write that is under way: when it arrives, whether its answer is lost, and it.
    write: Option<(u64, bool, Vec<CountWrite>)>,
}

/// A request that is sent, and when its endpoint refuses it, if it does.
struct Request {
    vm: usize,
    account: Name,
    count: RequestCount,
    window: u64,
    refused_at_ms: u64,
}

struct World {
    rng: SmallRng,
    windows: UsageWindows,
    vms: Vec<Vm>,
    rows: BTreeMap<(u64, usize), StoredRow>,
    version: u64,
    refusable: Vec<Request>,
    /// What ran, by window and account.
    truth: BTreeMap<u64, BTreeMap<Name, u64>>,
    /// The writes in each span.
    writes: BTreeMap<u64, u64>,
}

impl World {
    fn new(vms: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = (0..vms).map(|number| Vm {
            counts: UsageCounts::default(),
            // A third of the times of day are off by seconds, the others by a little.
            offset_ms: TRUE_OFFSET_MS
                + if number % 3 == 0 {
                    rng.random_range(-9_000..9_000)
                } else {
                    rng.random_range(-3..=3)
                },
            write: None,
        });
        let vms = vms.collect();
        Self {
            rng,
            windows: UsageWindows::from_seconds(5.0, 10.0),
            vms,
            rows: BTreeMap::new(),
            version: 0,
            refusable: Vec::new(),
            truth: BTreeMap::new(),
            writes: BTreeMap::new(),
        }
    }

    fn true_ms(&self, now_ms: u64) -> u64 {
        let offset_ms = median_offset_ms(self.vms.iter().map(|vm| vm.offset_ms));
        now_ms.saturating_add_signed(offset_ms.expect("there are VMs"))
    }

    fn send_request(&mut self, now_ms: u64) {
        let vm = self.rng.random_range(0..self.vms.len());
        let account: Name = ACCOUNTS[self.rng.random_range(0_usize..40).min(2)].into();
        let true_ms = self.true_ms(now_ms);
        let mut count = RequestCount::default();
        count.on_sent(1, true_ms);
        let window = self.windows.window_of(true_ms);
        self.vms[vm].counts.on_begun(window, &account, now_ms);
        // A hedged request that runs as well changes nothing.
        if self.rng.random_bool(0.05) {
            count.on_sent(2, true_ms + 60);
            assert_eq!(count.begun_ms(), Some(true_ms));
        }
        if self.rng.random_bool(0.1) {
            let refused_at_ms = now_ms + self.rng.random_range(1..100);
            self.refusable.push(Request {
                vm,
                account,
                count,
                window,
                refused_at_ms,
            });
        } else {
            let truth = self.truth.entry(window).or_default();
            *truth.entry(account).or_default() += 1;
        }
    }

    /// Refuses attempts; a request with a second one, hedged or sent again, runs there.
    fn refuse(&mut self, now_ms: u64) {
        let (due, later) = std::mem::take(&mut self.refusable)
            .into_iter()
            .partition(|request| request.refused_at_ms <= now_ms);
        self.refusable = later;
        for mut request in due {
            request.count.on_not_run(1);
            if self.rng.random_bool(0.5) {
                request.count.on_sent(3, self.true_ms(now_ms));
            }
            let counts = &mut self.vms[request.vm].counts;
            counts.on_not_run(request.window, &request.account, now_ms);
            if let Some(begun_ms) = request.count.begun_ms() {
                let window = self.windows.window_of(begun_ms);
                counts.on_begun(window, &request.account, now_ms);
                let truth = self.truth.entry(window).or_default();
                *truth.entry(request.account).or_default() += 1;
            }
        }
    }

    fn write(&mut self, vm: usize, now_ms: u64) {
        let live_vms = u64::try_from(self.vms.len()).expect("few");
        let rank = u64::try_from(vm).expect("few");
        let pace = WritePace::new(live_vms, rank, 0);
        let Vm { counts, write, .. } = &mut self.vms[vm];
        match write.take() {
            Some((at_ms, loses_answer, writes)) if at_ms <= now_ms => {
                self.version += 1;
                let found = |write: &CountWrite| {
                    let row = self.rows.get(&(write.window, vm));
                    row.map_or(0, |(version, _)| *version)
                };
                let conflicts = writes.iter().any(|write| found(write) != write.row_version);
                if conflicts {
                    for write in &writes {
                        counts.on_conflict(write.window, found(write));
                    }
                } else {
                    for write in &writes {
                        let row = (self.version, write.report.clone());
                        self.rows.insert((write.window, vm), row);
                    }
                }
                if conflicts {
                    // Repeated at once with the versions that are known now.
                    *self.writes.entry(now_ms / SPAN_MS).or_default() += 1;
                    counts.on_not_written(now_ms);
                    *write = Some((now_ms + 10, false, counts.begin_write(now_ms)));
                } else if loses_answer {
                    counts.on_not_written(now_ms);
                } else {
                    counts.on_written(&writes, self.version);
                }
            }
            Some(under_way) => *write = Some(under_way),
            None if counts.write_at_ms(&pace).is_some_and(|at| at <= now_ms) => {
                *self.writes.entry(now_ms / SPAN_MS).or_default() += 1;
                let loses_answer = self.rng.random_bool(0.02);
                let at_ms = now_ms + self.rng.random_range(2..60);
                *write = Some((at_ms, loses_answer, counts.begin_write(now_ms)));
            }
            None => {}
        }
    }

    fn collect(&self, window: u64) -> UsageReport {
        let rows = self.rows.range((window, 0)..(window + 1, 0));
        UsageReport::sum(rows.map(|(_, (_, report))| report.clone()))
    }
}

/// The store's rows of reports, and what the platform got.
#[derive(Default)]
struct Platform {
    stored: BTreeMap<u64, UsageReport>,
    first_open: u64,
    received: BTreeMap<u64, UsageReport>,
}

/// Stores and sends what is due; a holder that ends between two steps leaves `None`.
fn report(world: &mut World, platform: &mut Platform, holder: &mut Option<Reports>, now_ms: u64) {
    let true_ms = world.true_ms(now_ms);
    let reports = holder
        .get_or_insert_with(|| Reports::from_store(platform.first_open, platform.stored.clone()));
    if let Some(window) = reports.due_to_store(&world.windows, true_ms) {
        let collected = world.collect(window);
        let before = platform.stored.insert(window, collected.clone());
        assert_eq!(before, None, "a report for window {window} was there");
        if world.rng.random_bool(0.3) {
            *holder = None;
            return;
        }
        reports.on_stored(window, collected);
    }
    let Some((window, sent)) = reports.next_to_send() else {
        return;
    };
    let known = platform.received.entry(window);
    assert_eq!(known.or_insert_with(|| sent.clone()), sent, "{window}");
    if world.rng.random_bool(0.3) {
        reports.on_failed(window);
    } else {
        reports.on_acknowledged(window);
        platform.first_open = reports.first_open();
    }
    if world.rng.random_bool(0.1) {
        *holder = None;
    }
}

#[rstest]
fn reports_match_what_ran(#[values(62, 360)] vms: usize, #[values(1, 2)] seed: u64) {
    let mut world = World::new(vms, seed);
    let mut holder = None;
    let first = world.windows.window_of(world.true_ms(0));
    let mut platform = Platform {
        first_open: first,
        ..Platform::default()
    };
    let mut due_requests = 0;
    for now_ms in 0..END_MS + 10_000 {
        if now_ms < END_MS {
            due_requests += REQUESTS_PER_S;
        }
        while due_requests >= 1_000 {
            due_requests -= 1_000;
            world.send_request(now_ms);
        }
        world.refuse(now_ms);
        (0..vms).for_each(|vm| world.write(vm, now_ms));
        if now_ms % 50 == 0 {
            report(&mut world, &mut platform, &mut holder, now_ms);
        }
    }
    for (window, counts) in &world.truth {
        assert_eq!(&platform.received[window].counts, counts, "{window}");
    }
    println!("{vms} VMs, seed {seed}: writes {:?}", world.writes);
    let most = world.writes.values().max().expect("writes");
    assert!(*most <= 100);
}

/// Guards against lone counts that are lost with their VM since they wait to be written.
#[test]
fn few_counts_are_written_at_once() {
    let pace = WritePace::new(62, 7, -4_321);
    let mut counts = UsageCounts::default();
    counts.on_begun(1, &"club".into(), 10_000);
    assert!(counts.write_at_ms(&pace).expect("a write") <= 10_100);
    let writes = counts.begin_write(10_050);
    counts.on_written(&writes, 3);
    counts.on_begun(1, &"club".into(), 10_900);
    assert!(counts.write_at_ms(&pace).expect("a write") <= 11_000);
}

/// Guards against calls above half of the allowed rate, and against a holder that keeps
/// the duties although no call of it is answered.
#[rstest]
fn calls_stay_under_half_of_the_rate(#[values(10.0, 50.0)] allowed_per_s: f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut calls = DutyCalls::new(allowed_per_s);
    let sent = (0..100_000).filter(|now_ms| calls.take_turn(*now_ms));
    let sent = u32::try_from(sent.count()).expect("few");
    assert!(f64::from(sent) / 100.0 < allowed_per_s / 2.0, "{sent}");
    let mut failed_ms = Vec::new();
    for now_ms in 100_000..110_000 {
        if !calls.abstains(now_ms) && calls.take_turn(now_ms) {
            failed_ms.push(now_ms);
            calls.on_answer(now_ms, CallAnswer::Failed, &mut rng);
        }
    }
    let last_ms = failed_ms.last().expect("calls") - failed_ms[0];
    assert!((4_000..=5_000).contains(&last_ms), "{failed_ms:?}");
    assert!(failed_ms.len() <= 16, "{failed_ms:?}");
}
