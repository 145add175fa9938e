//! VMs behind proxies, and the injection of faults.

use std::{
    collections::BTreeSet,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use chicoryreach::daemon::HttpClient;
use hyper::Method;
use rustix::process::Signal;
use serde_json::Value;
use standins::fleet::{LinkState, RowStore, Sampler, SamplerSettings, WhenDown};

use super::{
    fault_plan::{FaultKind, PlannedCrash, PlannedCut, PlannedFault},
    proxy::{Proxy, ProxyFault},
};
use crate::{
    fleet::{Answer, Fleet, batch_body, call},
    process_serve::requests_that_crash_samplers::{CULPRIT, Damage, MAX_LATE_RETRIES},
};

pub const VMS: usize = 4;
/// The prefix of the ids of requests that may not be repeated.
pub const BOOKING: &str = "booking-";
/// The settings of samplers. A sample takes half a second, so that faults occur
/// during runs.
const SAMPLER_SETTINGS: SamplerSettings = SamplerSettings {
    events: 25,
    event_ms: 20,
    work_ms: 20,
    padding_bytes: 0,
    load_ms: 200,
};
/// How long a silent sampler stays listed.
const LISTED_WHILE_SILENT: Duration = Duration::from_millis(3_600);
pub const SAMPLES_PER_BATCH: usize = 16;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The fleet, proxies and findings of one soak run.
pub struct SoakEnvironment {
    fleet: tokio::sync::Mutex<Fleet>,
    /// Locked while a VM's process is stopped and restarted.
    restart_locks: Vec<tokio::sync::Mutex<()>>,
    http: HttpClient,
    store_proxies: Vec<Proxy>,
    /// The proxy in front of each VM's listener for callers. Each start of the VM
    /// gets a new one.
    caller_proxies: Mutex<Vec<Proxy>>,
    refused_vms: Mutex<BTreeSet<usize>>,
    pub is_over: AtomicBool,
    /// The violations of promises, each with what was seen.
    pub violations: Mutex<Vec<String>>,
    pub accepted_batches: Mutex<Vec<String>>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SoakEnvironment {
    pub async fn start() -> Self {
        let mut fleet = Fleet::start_without_vms(VMS, SAMPLER_SETTINGS).await;
        for sampler in &fleet.plain_samplers {
            sampler.crash_on(CULPRIT);
        }
        let mut store_proxies = Vec::new();
        for address in fleet.store.addresses.clone() {
            store_proxies.push(Proxy::start(address).await);
        }
        fleet.store_addresses = store_proxies.iter().map(|proxy| proxy.address).collect();
        fleet.add_links();
        fleet.start_vms(VMS).await;
        let mut caller_proxies = Vec::new();
        for vm in &fleet.vms {
            caller_proxies.push(Proxy::start(vm.addresses["callers"]).await);
        }
        Self {
            fleet: tokio::sync::Mutex::new(fleet),
            restart_locks: (0..VMS).map(|_| tokio::sync::Mutex::default()).collect(),
            http: HttpClient::new(),
            store_proxies,
            caller_proxies: Mutex::new(caller_proxies),
            refused_vms: Mutex::default(),
            is_over: AtomicBool::new(false),
            violations: Mutex::default(),
            accepted_batches: Mutex::default(),
        }
    }

    /// Records a violation of a promise.
    pub fn record_violation(&self, violation: String) {
        lock(&self.violations).push(violation);
    }

    /// Calls a VM through its proxy.
    pub async fn call(
        &self,
        method: Method,
        vm: usize,
        path: &str,
        id: &str,
        body: Bytes,
    ) -> Option<Answer> {
        let address = lock(&self.caller_proxies)[vm].address;
        call(&self.http, method, address, path, id, body).await
    }

    /// Crashes a sampler or lets it leave, and waits until it has started again.
    pub async fn crash_sampler(&self, crash: &PlannedCrash) {
        if let Some(leaves_after) = crash.leaves_after {
            self.with_sampler(crash.sampler, Sampler::announce_leaving)
                .await;
            tokio::time::sleep(leaves_after).await;
        }
        let down_ms = u64::try_from(crash.downtime.as_millis()).expect("short");
        self.with_sampler(crash.sampler, |sampler| {
            sampler.set_restart_ms(down_ms);
            sampler.set_when_down(crash.when_down);
            sampler.crash();
        })
        .await;
        let listed = match crash.when_down {
            WhenDown::Refuses => Duration::ZERO,
            WhenDown::Hangs | WhenDown::Unreachable => LISTED_WHILE_SILENT,
        };
        tokio::time::sleep(listed + crash.downtime).await;
    }

    async fn with_sampler<F>(&self, number: usize, act: F)
    where
        F: FnOnce(&Sampler),
    {
        let fleet = self.fleet.lock().await;
        let samplers = fleet.model_samplers.iter().chain(&fleet.plain_samplers);
        let samplers: Vec<&Sampler> = samplers.collect();
        act(samplers[number % samplers.len()]);
    }

    /// Cuts VMs off from all samplers, and ends the cut after its duration.
    pub async fn cut_off(&self, cut: &PlannedCut) {
        for state in [cut.state, LinkState::Open] {
            {
                let fleet = self.fleet.lock().await;
                for vm in &cut.vms {
                    fleet.set_links(*vm, state);
                }
            }
            if state != LinkState::Open {
                tokio::time::sleep(cut.duration).await;
            }
        }
    }

    /// Checks that no request which may not be repeated has run twice, or was refused and
    /// ran.
    pub async fn check_at_most_once(&self, refused: &BTreeSet<String>) {
        let fleet = self.fleet.lock().await;
        let runs = fleet
            .plain_samplers
            .iter()
            .flat_map(Sampler::run_request_ids);
        let mut seen = BTreeSet::new();
        for id in runs.filter(|id| id.starts_with(BOOKING)) {
            if refused.contains(&id) {
                self.record_violation(format!("{id}: refused, and has run"));
            }
            if !seen.insert(id.clone()) {
                self.record_violation(format!("{id}: has run twice"));
            }
        }
    }

    /// Checks how often the culprit ran long after its third crash and the last
    /// fault, and returns what it did.
    pub async fn check_culprit(&self, calm_since: Instant) -> Damage {
        let fleet = self.fleet.lock().await;
        let damage = Damage::of_calm_time(&fleet.plain_samplers, Some(calm_since));
        if damage.late_runs > MAX_LATE_RETRIES {
            self.record_violation(format!("the culprit ran too often: {damage:?}"));
        }
        damage
    }

    /// Injects a fault, and ends it after its duration.
    pub async fn inject_fault(&self, planned: PlannedFault) {
        let vm = planned.vm;
        let hold = |requests: bool, answers: bool| ProxyFault {
            holds_requests: requests,
            holds_answers: answers,
            ..ProxyFault::default()
        };
        let delay = |delay_ms: u64| ProxyFault {
            delay_ms,
            ..ProxyFault::default()
        };
        let set_store = |fault: ProxyFault| self.store_proxies[vm].set_fault(fault);
        match planned.kind {
            FaultKind::Kill => {
                self.stop_and_restart(vm, Signal::KILL, planned.duration)
                    .await;
            }
            FaultKind::Terminate => {
                self.stop_and_restart(vm, Signal::TERM, planned.duration)
                    .await;
            }
            FaultKind::Hangup => self.signal(vm, Signal::HUP).await,
            FaultKind::Pause => {
                self.signal(vm, Signal::STOP).await;
                tokio::time::sleep(planned.duration).await;
                self.signal(vm, Signal::CONT).await;
            }
            FaultKind::StoreDelayed => set_store(delay(150)),
            FaultKind::StoreAnswersHeld => set_store(hold(false, true)),
            FaultKind::StoreTrafficHeld => set_store(hold(true, true)),
            FaultKind::StoreReset => self.store_proxies[vm].reset_connections(),
            FaultKind::CallersReset => lock(&self.caller_proxies)[vm].reset_connections(),
            FaultKind::CallersDelayed => lock(&self.caller_proxies)[vm].set_fault(delay(100)),
            FaultKind::StoreRefusesVm => {
                self.change_refused_vms(|refused| _ = refused.insert(vm))
                    .await;
            }
            FaultKind::StoreRefusesAll => {
                self.change_refused_vms(|refused| refused.extend(0..VMS))
                    .await;
            }
            FaultKind::AnswersLost => self.fleet.lock().await.store.lose_answers(5),
            FaultKind::HistoryLost => {
                let fleet = self.fleet.lock().await;
                fleet.store.with_store(RowStore::clear_history);
            }
        }
        tokio::time::sleep(planned.duration).await;
        set_store(ProxyFault::default());
        lock(&self.caller_proxies)[vm].set_fault(ProxyFault::default());
        match planned.kind {
            FaultKind::StoreRefusesVm => {
                self.change_refused_vms(|refused| _ = refused.remove(&vm))
                    .await;
            }
            FaultKind::StoreRefusesAll => self.change_refused_vms(BTreeSet::clear).await,
            _ => {}
        }
    }

    /// Signals a VM's process, unless another fault has ended it.
    async fn signal(&self, vm: usize, signal: Signal) {
        self.fleet.lock().await.try_signal(vm, signal);
    }

    /// Changes which VMs the store refuses.
    async fn change_refused_vms<C>(&self, change: C)
    where
        C: FnOnce(&mut BTreeSet<usize>),
    {
        let refused = {
            let mut refused = lock(&self.refused_vms);
            change(&mut refused);
            refused.clone()
        };
        self.fleet.lock().await.store.refuse_vms(refused);
    }

    /// Ends a VM's process, waits, and starts it again at other addresses.
    async fn stop_and_restart(&self, vm: usize, signal: Signal, downtime: Duration) {
        let _restart_lock = self.restart_locks[vm].lock().await;
        self.signal(vm, signal).await;
        while self.fleet.lock().await.is_running(vm) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        tokio::time::sleep(downtime).await;
        let address = {
            let mut fleet = self.fleet.lock().await;
            fleet.restart(vm).await;
            fleet.vms[vm].addresses["callers"]
        };
        let caller_proxy = Proxy::start(address).await;
        lock(&self.caller_proxies)[vm] = caller_proxy;
    }

    /// Submits a batch until a VM accepts it, first to `vm` and then to the next
    /// ones.
    pub async fn submit_batch(&self, batch: &str, mut vm: usize) {
        let body = Bytes::from(batch_body(batch, SAMPLES_PER_BATCH, 1).to_string());
        loop {
            let path = format!("/lots/{batch}");
            let answer = self
                .call(Method::POST, vm % VMS, &path, batch, body.clone())
                .await;
            if answer.is_some_and(|answer| answer.status == 202 || answer.status == 200) {
                lock(&self.accepted_batches).push(batch.to_owned());
                return;
            }
            vm += 1;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads a batch until all its results are listed, from `first_vm` and, unless
    /// `stays_at_vm`, from the next VM after a failure.
    pub async fn read_all_results(
        &self,
        batch: &str,
        first_vm: usize,
        stays_at_vm: bool,
    ) -> Vec<Value> {
        let mut results: Vec<Value> = Vec::new();
        let mut vm = first_vm;
        while results.len() < SAMPLES_PER_BATCH {
            let path = format!("/v1/lots/{batch}?after={}", results.len());
            let answer = self
                .call(Method::GET, vm % VMS, &path, "reader", Bytes::new())
                .await;
            match answer {
                Some(answer) if answer.status == 200 => {
                    match serde_json::from_slice(&answer.body) {
                        Ok(Value::Object(page)) => {
                            let page = page["results"].as_array().cloned().unwrap_or_default();
                            results.extend(page);
                        }
                        _ => self.record_violation(format!(
                            "{batch}: the page from VM {vm} is not a JSON object"
                        )),
                    }
                }
                Some(answer) if answer.status == 404 => {
                    self.record_violation(format!("{batch}: accepted, but unknown at VM {vm}"));
                }
                _ => vm += usize::from(!stays_at_vm),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        results
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Keeps the VMs' logs; their folder is printed at the end.
    pub async fn keep_logs(&self) {
        self.fleet.lock().await.keeps_logs = true;
    }

    /// Checks that fencing numbers never decreased at a sampler, nor configuration
    /// versions in a VM's log.
    pub async fn check_fences_and_versions(&self) {
        let fleet = self.fleet.lock().await;
        for sampler in &fleet.model_samplers {
            let fences: Vec<u64> = sampler
                .accepted_orders()
                .iter()
                .filter_map(|order| order["fencing_token"].as_u64())
                .collect();
            if !fences.is_sorted() {
                self.record_violation(format!(
                    "{}: fencing numbers of orders decreased: {fences:?}",
                    sampler.id
                ));
            }
        }
        for vm in &fleet.vms {
            let mut newest = 0;
            for line in vm.log_text().lines() {
                let line: Value = serde_json::from_str(line).unwrap_or_default();
                if line["message"] != "configuration in force" {
                    continue;
                }
                let version = line["version"].as_u64().unwrap_or(0);
                if version < newest {
                    self.record_violation(format!(
                        "{}: configuration {version} in force after {newest}",
                        vm.name
                    ));
                }
                newest = version;
            }
        }
    }
}
