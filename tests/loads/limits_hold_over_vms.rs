//! Guards against endpoints that get more requests than the limit that they have named,
//! summed over all VMs, and against limits that are left unused.

use std::collections::BTreeMap;

use chicoryreach::core::{
    Name,
    rate_limit::{
        IssuerAuthority, NamedLimit, PermitAnswer, PermitIssuer, PermitQuery, Purpose, RateLimit,
        issued_share, issuers,
    },
    roster::{Roster, VmRow},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

/// The users' bounds, as in `process_serve::limited_samplers`.
const WINDOW_MS: u64 = 4_000;
const CONTACT_MS: u64 = 3_000;
/// How long after it has been told of a limit a VM counts.
const TOLD_MS: u64 = 500;
const MAX_FACTOR: f64 = 1.5;
const MAX_MORE: f64 = 5.0;

/// When endpoints start to name limits, and when the simulation ends.
const LIMITED_FROM_MS: u64 = 6_000;
const END_MS: u64 = 36_000;
const HEARTBEAT_MS: u64 = 1_000;
pub const MAX_WAIT_MS: u64 = 75;
/// The size of a question for a permit with its answer and the heads of both, in bytes.
pub const PERMIT_BYTES: f64 = 500.0;

/// The number of VMs, endpoints and data centres, and the requests a second.
#[derive(Clone, Copy, Debug)]
struct Size {
    vms: usize,
    endpoints: usize,
    data_centres: usize,
    requests_per_s: f64,
    /// The data centres with limited endpoints.
    limited_share: f64,
}

#[derive(Debug)]
struct Vm {
    name: Name,
    data_centre: Name,
    incarnation: u64,
    roster: Roster,
    authority: IssuerAuthority,
    issuer: PermitIssuer,
    limits: BTreeMap<usize, NamedLimit>,
    /// When it was first told of a limit.
    told_ms: BTreeMap<usize, u64>,
    next_beat_ms: u64,
    /// Until when it does not run.
    down_until_ms: u64,
    /// Until when it does not reach the store.
    no_store_until_ms: u64,
    /// Until when it does not reach other VMs.
    no_peers_until_ms: u64,
    questions: u64,
}

impl Vm {
    fn new(number: usize, size: Size) -> Self {
        Self {
            name: format!("vm-{number}").into(),
            data_centre: data_centre(number, size),
            incarnation: 1,
            roster: Roster::default(),
            authority: IssuerAuthority::default(),
            issuer: PermitIssuer::default(),
            limits: BTreeMap::new(),
            told_ms: BTreeMap::new(),
            next_beat_ms: u64::try_from(number * 7 % 1_000).expect("small"),
            down_until_ms: 0,
            no_store_until_ms: 0,
            no_peers_until_ms: 0,
            questions: 0,
        }
    }

    /// Forgets everything, as a new process does.
    fn restart(&mut self, at_ms: u64) {
        self.incarnation += 1;
        self.roster = Roster::default();
        self.authority = IssuerAuthority::default();
        self.issuer = PermitIssuer::default();
        self.limits.clear();
        self.told_ms.clear();
        self.down_until_ms = at_ms;
    }
}

fn data_centre(number: usize, size: Size) -> Name {
    format!("dc-{}", number % size.data_centres).into()
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at_ms: u64,
    is_counted: bool,
}

struct World {
    size: Size,
    rng: SmallRng,
    vms: Vec<Vm>,
    rows: BTreeMap<Name, (VmRow, u64)>,
    store_version: u64,
    store_down: (u64, u64),
    limits: Vec<Option<RateLimit>>,
    arrivals: Vec<Vec<Arrival>>,
}

impl World {
    fn new(size: Size, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let limits = (0..size.endpoints).map(|_| {
            let limit = RateLimit::new(rng.random_range(0.5..8.0));
            limit.filter(|_| rng.random_bool(size.limited_share))
        });
        let limits = limits.collect();
        Self {
            size,
            vms: (0..size.vms).map(|number| Vm::new(number, size)).collect(),
            rng,
            rows: BTreeMap::new(),
            store_version: 0,
            store_down: (0, 0),
            limits,
            arrivals: vec![Vec::new(); size.endpoints],
        }
    }

    fn beat(&mut self, number: usize, now_ms: u64) {
        let is_store_up = !(self.store_down.0..self.store_down.1).contains(&now_ms);
        let vm = &mut self.vms[number];
        vm.next_beat_ms = now_ms + HEARTBEAT_MS;
        if now_ms < vm.down_until_ms || now_ms < vm.no_store_until_ms || !is_store_up {
            return;
        }
        self.store_version += 1;
        let row = VmRow {
            incarnation: vm.incarnation,
            data_centre: vm.data_centre.clone(),
            caller_address: ([127, 0, 0, 1], 1).into(),
            peer_address: ([127, 0, 0, 1], 2).into(),
            cpu_share: 0.5,
            paths: chicoryreach::core::paths::PathReport::default(),
            unix_offset_ms: None,
            loads: std::collections::BTreeMap::new(),
        };
        self.rows.insert(vm.name.clone(), (row, self.store_version));
        vm.authority.on_row_written(now_ms, now_ms);
        let rows = self.rows.iter();
        let rows = rows.map(|(vm, (row, version))| (vm.clone(), row.clone(), *version));
        vm.roster.on_read(now_ms, rows);
        vm.authority.on_roster_read(now_ms);
    }

    /// Returns the answer of a VM to a question, or `None` if it does not answer.
    fn ask(
        &mut self,
        from: usize,
        name: &Name,
        query: &PermitQuery,
        now_ms: u64,
    ) -> Option<PermitAnswer> {
        let number = self.vms.iter().position(|vm| vm.name == *name)?;
        let is_cut = |vm: &Vm| now_ms < vm.no_peers_until_ms;
        if number != from && (is_cut(&self.vms[from]) || is_cut(&self.vms[number])) {
            return None;
        }
        if number != from {
            self.vms[from].questions += 1;
        }
        let vm = &mut self.vms[number];
        if now_ms < vm.down_until_ms {
            return None;
        }
        let ranked = ranked(vm, query);
        let share = issued_share(&vm.name, &ranked, vm.authority.is_fresh(now_ms))?;
        Some(vm.issuer.issue(now_ms, query, share))
    }

    fn request(&mut self, number: usize, now_ms: u64) {
        if now_ms < self.vms[number].down_until_ms {
            return;
        }
        let size = self.size;
        let data_centres = size.data_centres;
        let near = size.endpoints / data_centres;
        for _ in 0..4 {
            let endpoint =
                self.rng.random_range(0..near.max(1)) * data_centres + number % data_centres;
            let endpoint = endpoint % size.endpoints;
            let known = self.vms[number].limits.entry(endpoint).or_default();
            if !known.allows(now_ms, Purpose::Caller) {
                continue;
            }
            let Some(limit) = known.limit() else {
                self.arrive(number, endpoint, now_ms, false);
                return;
            };
            let query = PermitQuery {
                endpoint: format!("endpoint-{endpoint}").into(),
                incarnation: 1,
                data_centre: data_centre(endpoint, size),
                limit,
                limit_age_ms: known.age_ms(now_ms),
                sent_without_permit: known.take_sent_without_permit(),
                purpose: Purpose::Caller,
                max_wait_ms: MAX_WAIT_MS,
            };
            match self.ask_issuers(number, &query, now_ms) {
                PermitAnswer::Granted { wait_ms } => {
                    self.arrive(number, endpoint, now_ms + wait_ms, true);
                    return;
                }
                PermitAnswer::Denied { retry_after_ms, .. } => {
                    let known = self.vms[number].limits.entry(endpoint).or_default();
                    known.on_denied(now_ms + retry_after_ms);
                }
                PermitAnswer::NotIssuer => {
                    let known = self.vms[number].limits.entry(endpoint).or_default();
                    known.on_denied(now_ms + 250);
                }
            }
        }
    }

    fn ask_issuers(&mut self, from: usize, query: &PermitQuery, now_ms: u64) -> PermitAnswer {
        let mut best = PermitAnswer::NotIssuer;
        for name in ranked(&self.vms[from], query) {
            match self.ask(from, &name, query, now_ms) {
                Some(
                    answer @ (PermitAnswer::Granted { .. }
                    | PermitAnswer::Denied {
                        is_reduced: false, ..
                    }),
                ) => return answer,
                Some(answer) => best = answer,
                None => {}
            }
        }
        best
    }

    fn arrive(&mut self, number: usize, endpoint: usize, at_ms: u64, had_permit: bool) {
        let limit = self.limits[endpoint].filter(|_| at_ms >= LIMITED_FROM_MS);
        let vm = &mut self.vms[number];
        let told_ms = vm.told_ms.get(&endpoint);
        let is_counted = told_ms.is_some_and(|told_ms| told_ms + TOLD_MS <= at_ms);
        self.arrivals[endpoint].push(Arrival { at_ms, is_counted });
        let known = vm.limits.entry(endpoint).or_default();
        if let Some(limit) = limit {
            known.on_named(at_ms, limit, had_permit);
            vm.told_ms.entry(endpoint).or_insert(at_ms);
        } else {
            known.on_lifted();
        }
    }

    /// Disturbs VMs and the store at random moments.
    fn disturb(&mut self, now_ms: u64) {
        let number = self.rng.random_range(0..self.vms.len());
        let for_ms = self.rng.random_range(500..9_000);
        let fault = self.rng.random_range(0..6);
        let vm = &mut self.vms[number];
        if now_ms < vm.down_until_ms {
            return;
        }
        match fault {
            0 => vm.restart(now_ms + for_ms / 4),
            1 => vm.down_until_ms = now_ms + for_ms,
            2 => vm.no_store_until_ms = now_ms + for_ms,
            3 => vm.no_peers_until_ms = now_ms + for_ms,
            4 => {
                self.rows.remove(&vm.name);
                vm.restart(now_ms + for_ms);
            }
            _ => self.store_down = (now_ms, now_ms + for_ms),
        }
    }

    fn run(&mut self, faults_per_s: f64) {
        let steps = END_MS;
        for now_ms in 0..steps {
            for number in 0..self.vms.len() {
                if self.vms[number].next_beat_ms <= now_ms {
                    self.beat(number, now_ms);
                }
            }
            if now_ms > LIMITED_FROM_MS && self.rng.random_bool(faults_per_s / 1_000.0) {
                self.disturb(now_ms);
            }
            let mut due = self.size.requests_per_s / 1_000.0;
            while due > 0.0 {
                if self.rng.random_bool(due.min(1.0)) {
                    let number = self.rng.random_range(0..self.vms.len());
                    self.request(number, now_ms);
                }
                due -= 1.0;
            }
        }
    }

    /// Returns the endpoints that got more than their limits allow, with the counts.
    fn broken(&self) -> Vec<(usize, usize, f64)> {
        let limited = self.limits.iter().enumerate();
        let limited = limited.filter_map(|(endpoint, limit)| Some((endpoint, (*limit)?)));
        let mut broken = Vec::new();
        for (endpoint, limit) in limited {
            let counted = self.arrivals[endpoint].iter().filter(|arrival| {
                arrival.is_counted && arrival.at_ms >= LIMITED_FROM_MS + CONTACT_MS
            });
            let mut times: Vec<u64> = counted.map(|arrival| arrival.at_ms).collect();
            times.sort_unstable();
            let allowed = 4.0 * limit.per_s() * MAX_FACTOR + MAX_MORE;
            for (index, start) in times.iter().enumerate() {
                let end = times.partition_point(|at| *at < start + WINDOW_MS);
                if as_f64(end - index) > allowed {
                    broken.push((endpoint, end - index, allowed));
                    break;
                }
            }
        }
        broken
    }

    /// Returns the share of all limits that was used in the last 20 s.
    fn use_of_limits(&self) -> f64 {
        let from_ms = END_MS - 20_000;
        let mut used = 0.0;
        let mut limit_sum = 0.0;
        for (arrivals, limit) in self.arrivals.iter().zip(&self.limits) {
            if let Some(limit) = limit {
                let late = arrivals.iter().filter(|a| a.at_ms >= from_ms);
                used += as_f64(late.count()) / 20.0;
                limit_sum += limit.per_s();
            }
        }
        used / limit_sum
    }
}

fn ranked(vm: &Vm, query: &PermitQuery) -> Vec<Name> {
    let vms = vm.roster.live_vms();
    let vms = vms.map(|(name, row)| (name, &row.data_centre));
    issuers(vms, &query.endpoint, &query.data_centre)
}

#[expect(clippy::cast_precision_loss, reason = "a count")]
pub fn as_f64(count: usize) -> f64 {
    count as f64
}

const TODAY: Size = Size {
    vms: 13,
    endpoints: 16,
    data_centres: 4,
    requests_per_s: 160.0,
    limited_share: 0.8,
};
const GROWN: Size = Size {
    vms: 68,
    endpoints: 84,
    data_centres: 4,
    requests_per_s: 800.0,
    limited_share: 0.8,
};

/// Guards against a sum over VMs beyond the limit while VMs are killed, frozen, cut off
/// from the store or each other, stopped and started, and during outages of the store.
#[rstest]
#[case(TODAY, 12, 0.7)]
#[case(GROWN, 3, 1.5)]
fn limits_hold_while_vms_come_and_go(
    #[case] size: Size,
    #[case] seeds: u64,
    #[case] faults_per_s: f64,
) {
    for seed in 0..seeds {
        let mut world = World::new(size, seed);
        world.run(faults_per_s);
        let broken = world.broken();
        println!("{seed}: use {:.2}", world.use_of_limits());
        assert!(broken.is_empty(), "seed {seed}: {broken:?}");
    }
}

/// Guards against limits that are kept by leaving endpoints unused, at each size.
#[rstest]
#[case(TODAY)]
#[case(GROWN)]
fn limits_are_used_when_there_is_enough_to_do(#[case] size: Size) {
    let mut world = World::new(size, 1);
    world.run(0.0);
    let broken = world.broken();
    assert!(broken.is_empty(), "{broken:?}");
    let used = world.use_of_limits();
    println!("use {used:.2}");
    assert!(used >= 0.9, "{used}");
}

/// Guards against permits that cost more than a VM of the planned size may spend.
#[rstest]
#[case(1_300.0)]
#[case(6_000.0)]
fn permits_fit_the_planned_size(#[case] requests_per_s: f64) {
    let size = Size {
        vms: 360,
        endpoints: 2_600,
        data_centres: 9,
        requests_per_s,
        limited_share: 0.5,
    };
    let mut world = World::new(size, 1);
    world.run(0.0);
    let broken = world.broken();
    assert!(broken.is_empty(), "{broken:?}");
    let questions: u64 = world.vms.iter().map(|vm| vm.questions).sum();
    #[expect(clippy::cast_precision_loss, reason = "a count")]
    let per_vm_and_s = questions as f64 / as_f64(size.vms) / 30.0;
    // Each question costs its sender and its receiver.
    let bytes_per_s = per_vm_and_s * PERMIT_BYTES * 2.0;
    println!("questions a VM and second {per_vm_and_s:.2}, bytes {bytes_per_s:.0}");
    assert!(bytes_per_s < 15_000.0, "{bytes_per_s}");
}
