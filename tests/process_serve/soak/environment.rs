//! VMs behind proxies, and the faults that are done to them.

use std::{
    collections::BTreeSet,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use chicoryreach::daemon::HttpClient;
use hyper::Method;
use rustix::process::Signal;
use serde_json::Value;
use standins::fleet::{RowStore, SamplerSettings};

use super::{
    fault_plan::{Kind, Planned},
    proxy::{Fault, Proxy},
};
use crate::fleet::{Answer, Fleet, batch_body, call};

pub const VMS: usize = 4;
/// Samples that last for half a second, so that faults fall into their runs.
const SAMPLERS: SamplerSettings = SamplerSettings {
    events: 25,
    event_ms: 20,
    work_ms: 20,
    load_ms: 200,
};
pub const SAMPLES: usize = 16;
const LOOK: Duration = Duration::from_millis(50);

/// All that a run of the soak touches.
pub struct World {
    fleet: tokio::sync::Mutex<Fleet>,
    /// Held while a VM's process is being replaced.
    replacing: Vec<tokio::sync::Mutex<()>>,
    http: HttpClient,
    stores: Vec<Proxy>,
    /// Before the callers' door of each VM; a new one for each start.
    doors: Mutex<Vec<Proxy>>,
    turned_away: Mutex<BTreeSet<usize>>,
    pub is_over: AtomicBool,
    pub broken: Mutex<Vec<String>>,
    pub accepted: Mutex<Vec<String>>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    pub async fn start() -> Self {
        let mut fleet = Fleet::prepare(VMS, SAMPLERS).await;
        let mut stores = Vec::new();
        for address in fleet.store.addresses.clone() {
            stores.push(Proxy::start(address).await);
        }
        fleet.store_addresses = stores.iter().map(|proxy| proxy.address).collect();
        fleet.start_vms(VMS).await;
        let mut doors = Vec::new();
        for vm in &fleet.vms {
            doors.push(Proxy::start(vm.addresses["callers"]).await);
        }
        Self {
            fleet: tokio::sync::Mutex::new(fleet),
            replacing: (0..VMS).map(|_| tokio::sync::Mutex::default()).collect(),
            http: HttpClient::new(),
            stores,
            doors: Mutex::new(doors),
            turned_away: Mutex::default(),
            is_over: AtomicBool::new(false),
            broken: Mutex::default(),
            accepted: Mutex::default(),
        }
    }

    pub fn breaks(&self, what: String) {
        lock(&self.broken).push(what);
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
        let address = lock(&self.doors)[vm].address;
        call(&self.http, method, address, path, id, body).await
    }

    /// Does a fault for as long as it lasts, and then mends it.
    pub async fn apply(&self, planned: Planned) {
        let vm = planned.vm;
        let silent = |out: bool, back: bool| Fault {
            is_silent_out: out,
            is_silent_back: back,
            ..Fault::default()
        };
        let delay = |delay_ms: u64| Fault {
            delay_ms,
            ..Fault::default()
        };
        let set = |fault: Fault| self.stores[vm].set(fault);
        match planned.kind {
            Kind::Kill => self.stop(vm, Signal::KILL, planned.lasts).await,
            Kind::Terminate => self.stop(vm, Signal::TERM, planned.lasts).await,
            Kind::Hangup => self.signal(vm, Signal::HUP).await,
            Kind::Pause => {
                self.signal(vm, Signal::STOP).await;
                tokio::time::sleep(planned.lasts).await;
                self.signal(vm, Signal::CONT).await;
            }
            Kind::StoreDelayed => set(delay(150)),
            Kind::StoreDeaf => set(silent(false, true)),
            Kind::StoreSilent => set(silent(true, true)),
            Kind::StoreReset => self.stores[vm].reset(),
            Kind::CallersReset => lock(&self.doors)[vm].reset(),
            Kind::CallersDelayed => lock(&self.doors)[vm].set(delay(100)),
            Kind::TurnedAway => self.turn_away(|away| _ = away.insert(vm)).await,
            Kind::AllTurnedAway => self.turn_away(|away| away.extend(0..VMS)).await,
            Kind::AnswersLost => self.fleet.lock().await.store.lose_answers(5),
            Kind::HistoryLost => {
                let fleet = self.fleet.lock().await;
                fleet.store.with_store(RowStore::forget_history);
            }
        }
        tokio::time::sleep(planned.lasts).await;
        set(Fault::default());
        lock(&self.doors)[vm].set(Fault::default());
        match planned.kind {
            Kind::TurnedAway => self.turn_away(|away| _ = away.remove(&vm)).await,
            Kind::AllTurnedAway => self.turn_away(BTreeSet::clear).await,
            _ => {}
        }
    }

    /// Signals a VM's process, unless another fault has ended it.
    async fn signal(&self, vm: usize, signal: Signal) {
        self.fleet.lock().await.try_signal(vm, signal);
    }

    async fn turn_away<C>(&self, change: C)
    where
        C: FnOnce(&mut BTreeSet<usize>),
    {
        let away = {
            let mut away = lock(&self.turned_away);
            change(&mut away);
            away.clone()
        };
        self.fleet.lock().await.store.turn_away(away);
    }

    /// Ends a VM's process and starts it again, at other addresses.
    async fn stop(&self, vm: usize, signal: Signal, down: Duration) {
        let _replacing = self.replacing[vm].lock().await;
        self.signal(vm, signal).await;
        while self.fleet.lock().await.is_running(vm) {
            tokio::time::sleep(LOOK).await;
        }
        tokio::time::sleep(down).await;
        let address = {
            let mut fleet = self.fleet.lock().await;
            fleet.restart(vm).await;
            fleet.vms[vm].addresses["callers"]
        };
        let door = Proxy::start(address).await;
        lock(&self.doors)[vm] = door;
    }

    /// Hands a batch in until it is accepted, at any VM.
    pub async fn hand_in(&self, batch: &str, mut vm: usize) {
        let body = Bytes::from(batch_body(batch, SAMPLES, 1).to_string());
        loop {
            let path = format!("/lots/{batch}");
            let answer = self
                .call(Method::POST, vm % VMS, &path, batch, body.clone())
                .await;
            if answer.is_some_and(|answer| answer.status == 202 || answer.status == 200) {
                lock(&self.accepted).push(batch.to_owned());
                return;
            }
            vm += 1;
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Reads a batch at one VM, or at any, until all of it is listed.
    pub async fn read_all(&self, batch: &str, first: usize, only: bool) -> Vec<Value> {
        let mut results: Vec<Value> = Vec::new();
        let mut vm = first;
        while results.len() < SAMPLES {
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
                        _ => self.breaks(format!("{batch}: a page that is no page")),
                    }
                }
                Some(answer) if answer.status == 404 => {
                    self.breaks(format!("{batch}: accepted, and unknown at VM {vm}"));
                }
                _ => vm += usize::from(!only),
            }
            tokio::time::sleep(LOOK).await;
        }
        results
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Leaves the VMs' logs where they are, and says where.
    pub async fn keep_logs(&self) {
        self.fleet.lock().await.keeps_logs = true;
    }

    /// Checks what samplers and logs saw over the whole run.
    pub async fn check_traces(&self) {
        let fleet = self.fleet.lock().await;
        for sampler in &fleet.models {
            let fences: Vec<u64> = sampler
                .orders()
                .iter()
                .filter_map(|order| order["fencing_token"].as_u64())
                .collect();
            if !fences.is_sorted() {
                self.breaks(format!(
                    "{}: an earlier holder ordered: {fences:?}",
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
                    self.breaks(format!("{}: {version} after {newest}", vm.name));
                }
                newest = version;
            }
        }
    }
}
