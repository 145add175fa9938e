//! What clients and samplers see of accepted items that are never run.

use std::{
    collections::BTreeSet,
    ops::Range,
    time::{Duration, Instant},
};

use serde_json::Value;

use crate::{fleet::Fleet, record::Record};

/// For how long no item may have begun at the end: far over the 5 s of the rule.
const IDLE: Duration = Duration::from_secs(10);
const BETWEEN_READS: Duration = Duration::from_secs(2);

/// Batch jobs `b0`, `b1` and so on, with as many items each.
pub struct Batches {
    pub items: usize,
    listed: Vec<BTreeSet<String>>,
}

impl Batches {
    pub fn new(count: usize, items: usize) -> Self {
        Self {
            items,
            listed: vec![BTreeSet::new(); count],
        }
    }

    fn are_listed(&self) -> bool {
        self.listed.iter().all(|listed| listed.len() >= self.items)
    }

    /// Reads results at one VM until all are listed or the time is over.
    pub async fn read_results(
        &mut self,
        fleet: &Fleet,
        vm: usize,
        time: Duration,
        record: &mut Record,
    ) {
        let began = Instant::now();
        while began.elapsed() < time && !self.are_listed() {
            for (number, listed) in self.listed.iter_mut().enumerate() {
                // Pages are read until one brings nothing new.
                loop {
                    let path = format!("/v1/lots/b{number}?after={}", listed.len());
                    let answer = fleet.get(fleet.callers(vm), &path, "reader").await;
                    let answer = answer.filter(|answer| answer.status == 200);
                    let page = answer
                        .and_then(|answer| serde_json::from_slice::<Value>(&answer.body).ok());
                    let results = page.as_ref().and_then(|page| page["results"].as_array());
                    let ids = results
                        .into_iter()
                        .flatten()
                        .filter_map(|result| result["id"].as_str());
                    let ids: Vec<String> = ids.map(str::to_owned).collect();
                    if ids.is_empty() {
                        break;
                    }
                    listed.extend(ids);
                }
            }
            let counts: Vec<usize> = self.listed.iter().map(BTreeSet::len).collect();
            let runs: usize = fleet
                .model_samplers
                .iter()
                .map(|sampler| sampler.run_request_ids().len())
                .sum();
            record.line(format!(
                "listed {counts:?} of {} each, {runs} runs so far",
                self.items
            ));
            tokio::time::sleep(BETWEEN_READS).await;
        }
    }

    /// Returns an item that is not listed and that no sampler has run, with its batch job.
    fn unfinished(&self, fleet: &Fleet) -> Option<(String, String)> {
        let samplers = fleet.model_samplers.iter();
        let runs: BTreeSet<String> = samplers
            .flat_map(|sampler| sampler.run_request_ids())
            .collect();
        let (number, listed) = self
            .listed
            .iter()
            .enumerate()
            .min_by_key(|(_, listed)| listed.len())?;
        let mut ids = (0..self.items).map(|item| format!("b{number}-s{item}"));
        let item = ids.find(|id| !listed.contains(id) && !runs.contains(id))?;
        Some((format!("b{number}"), item))
    }

    /// Whether an accepted item has been at no sampler for long, though the samplers are
    /// idle, and no VM gives its body.
    pub async fn is_lost(
        &self,
        fleet: &Fleet,
        vms: Range<usize>,
        asking: Duration,
        record: &mut Record,
    ) -> bool {
        let Some((batch, item)) = self.unfinished(fleet) else {
            record.line("no item is left that has not run");
            return false;
        };
        let samplers = fleet.model_samplers.iter();
        let last_begun = samplers
            .flat_map(|sampler| sampler.all_runs())
            .map(|run| run.at)
            .max();
        let idle = last_begun.map_or(Duration::ZERO, |at| at.elapsed());
        let active: u32 = fleet
            .model_samplers
            .iter()
            .map(|sampler| sampler.active_streams())
            .sum();
        record.line(format!(
            "{item} is not listed and has not run; no item has begun for {} ms, {active} runs are in progress",
            idle.as_millis()
        ));
        let mut asked = Vec::new();
        let began = Instant::now();
        for vm in vms.clone().cycle() {
            if began.elapsed() > asking {
                break;
            }
            let answer = fleet
                .get(
                    fleet.callers(vm),
                    &format!("/v1/items/{batch}?id={item}"),
                    "reader",
                )
                .await;
            let status = answer.map_or(0, |answer| answer.status);
            asked.push(format!("vm-{vm}: {status}"));
            if status == 200 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        let gives_body = asked.last().is_some_and(|last| last.ends_with(": 200"));
        record.line(format!(
            "its body was asked for, again after each failure: {}",
            asked.join(", ")
        ));
        for vm in vms {
            let vm = &fleet.vms[vm];
            let count = vm.log_text().matches("\"batch not read\"").count();
            record.line(format!("{} logged 'batch not read' {count} times", vm.name));
        }
        idle >= IDLE && active == 0 && !gives_body
    }
}
