//! A content that crashes endpoints, sent again and again beside innocent ones.

use std::{collections::BTreeSet, sync::Arc};

use chicoryreach::{
    core::{
        guard,
        quarantine::{Permit, Quarantine, RunEnd},
    },
    wire::peers::CrashNotice,
};
use rand::{Rng, seq::IteratorRandom};
use serde::Deserialize;
use serde_json::Value;

use crate::sim::{Network, Sim};

const CULPRIT: usize = 0;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    daemons: usize,
    endpoints: usize,
    /// Innocent contents, each sent again and again.
    innocents: usize,
    /// Callers that send the culprit again whenever it failed.
    culprit_callers: usize,
    /// How long a run takes, in milliseconds.
    work_ms: u64,
    /// How long an endpoint is gone after a crash, in milliseconds.
    restart_ms: u64,
    /// Between daemons.
    network: Network,
    end_ms: u64,
    /// The most crashes that may happen.
    max_crashes: u32,
    /// The most innocent requests that may be refused as isolated.
    max_innocents_refused: u32,
}

#[derive(Clone, Debug)]
enum Event {
    Send(usize),
    RunEnds(Run),
    Told(usize, CrashNotice),
    Restarted(usize),
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Run {
    number: u64,
    caller: usize,
    content: usize,
    daemon: usize,
    endpoint: usize,
    incarnation: u64,
    started_ms: u64,
}

struct Endpoint {
    incarnation: u64,
    is_up: bool,
    running: BTreeSet<Run>,
}

struct World {
    body: Body,
    sim: Sim<Event>,
    daemons: Vec<Quarantine>,
    endpoints: Vec<Endpoint>,
    crashes: u32,
    runs: u64,
    answered: u32,
    innocents_refused: u32,
    culprit_refused: u32,
}

/// Plays callers; too many crashes or a refused innocent break the promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    world.judge()
}

fn content(number: usize) -> Arc<str> {
    format!("content-{number}").into()
}

fn endpoint(number: usize) -> Arc<str> {
    format!("sampler-{number}").into()
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        for caller in 0..body.culprit_callers + body.innocents {
            let at_ms = sim.rng.random_range(0..body.work_ms);
            sim.at(at_ms, Event::Send(caller));
        }
        let daemons = (0..body.daemons).map(|_| Quarantine::default()).collect();
        let endpoints = (0..body.endpoints).map(|_| Endpoint {
            incarnation: 1,
            is_up: true,
            running: BTreeSet::new(),
        });
        Self {
            endpoints: endpoints.collect(),
            daemons,
            body,
            sim,
            crashes: 0,
            runs: 0,
            answered: 0,
            innocents_refused: 0,
            culprit_refused: 0,
        }
    }

    fn content_of(&self, caller: usize) -> usize {
        // The first callers all send content 0, the culprit.
        (caller + 1).saturating_sub(self.body.culprit_callers)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send(caller) => self.send(caller),
            Event::RunEnds(run) => self.on_run_ends(&run),
            Event::Told(daemon, news) => match news {
                CrashNotice::Crashed(report) => {
                    self.daemons[daemon].on_report(self.sim.now_ms, report);
                }
                CrashNotice::Cleared(clearance) => self.daemons[daemon].on_clearance(clearance),
            },
            Event::Restarted(number) => self.endpoints[number].is_up = true,
        }
    }

    /// A caller draws a daemon each time it sends.
    fn send(&mut self, caller: usize) {
        let now_ms = self.sim.now_ms;
        let number = self.content_of(caller);
        let daemon = self.sim.rng.random_range(0..self.body.daemons);
        let avoid = match self.daemons[daemon].permit(now_ms, &content(number)) {
            Permit::Unrestricted => BTreeSet::new(),
            Permit::Trial { avoid } => avoid,
            Permit::Wait => {
                self.sim.at(now_ms + 10, Event::Send(caller));
                return;
            }
            Permit::Isolated => {
                self.on_refused(caller, number);
                return;
            }
        };
        let up = (0..self.body.endpoints)
            .filter(|number| self.endpoints[*number].is_up && !avoid.contains(&endpoint(*number)));
        let Some(chosen) = up.choose(&mut self.sim.rng) else {
            self.sim.at(now_ms + 10, Event::Send(caller));
            return;
        };
        self.daemons[daemon].on_start(&endpoint(chosen), &content(number), now_ms);
        self.runs += 1;
        let run = Run {
            number: self.runs,
            caller,
            content: number,
            daemon,
            endpoint: chosen,
            incarnation: self.endpoints[chosen].incarnation,
            started_ms: now_ms,
        };
        self.endpoints[chosen].running.insert(run.clone());
        let work_ms = self.sim.rng.random_range(1..=self.body.work_ms);
        self.sim.at(now_ms + work_ms, Event::RunEnds(run));
    }

    fn on_refused(&mut self, caller: usize, number: usize) {
        if number == CULPRIT {
            self.culprit_refused += 1;
        } else {
            self.innocents_refused += 1;
        }
        let again_ms = self.sim.now_ms + self.body.work_ms;
        self.sim.at(again_ms, Event::Send(caller));
    }

    fn on_run_ends(&mut self, run: &Run) {
        if !self.endpoints[run.endpoint].running.remove(run) {
            return;
        }
        if run.content == CULPRIT {
            self.endpoints[run.endpoint].running.insert(run.clone());
            self.crash(run.endpoint);
            return;
        }
        self.answered += 1;
        self.end(run, RunEnd::Complete);
    }

    fn end(&mut self, run: &Run, end: RunEnd) {
        let quarantine = &mut self.daemons[run.daemon];
        let cleared = quarantine.on_end(&endpoint(run.endpoint), &content(run.content), end);
        if let Some(clearance) = cleared {
            self.tell(run.daemon, &CrashNotice::Cleared(clearance));
        }
        // A daemon tells the others before the caller learns of a failure.
        let told_ms = match end {
            RunEnd::Complete => 1,
            RunEnd::Incomplete => self.body.network.max_delay_ms + 1,
        };
        self.sim
            .at(self.sim.now_ms + told_ms, Event::Send(run.caller));
    }

    fn tell(&mut self, from: usize, news: &CrashNotice) {
        let network = self.body.network;
        for other in (0..self.body.daemons).filter(|other| *other != from) {
            self.sim.send(network, &Event::Told(other, news.clone()));
        }
    }

    /// Every daemon that had a run there notices, and tells the others.
    fn crash(&mut self, number: usize) {
        self.crashes += 1;
        let now_ms = self.sim.now_ms;
        let crashed = &mut self.endpoints[number];
        crashed.is_up = false;
        crashed.incarnation += 1;
        let cut = std::mem::take(&mut crashed.running);
        self.sim
            .at(now_ms + self.body.restart_ms, Event::Restarted(number));
        for run in &cut {
            let report = self.daemons[run.daemon].on_crash(
                now_ms,
                &endpoint(number),
                run.incarnation,
                run.started_ms,
            );
            self.tell(run.daemon, &CrashNotice::Crashed(report));
        }
        for run in &cut {
            self.end(run, RunEnd::Incomplete);
        }
    }

    fn judge(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let (crashes, most) = (self.crashes, self.body.max_crashes);
        if crashes > most {
            broken.push(format!(
                "one content crashed endpoints {crashes} times, {most} are allowed"
            ));
        }
        let (refused, most) = (self.innocents_refused, self.body.max_innocents_refused);
        if refused > most {
            broken.push(format!(
                "{refused} innocent requests were refused as isolated"
            ));
        }
        if self.culprit_refused == 0 && guard::is_on(guard::Guard::Quarantine) {
            broken.push("the culprit never got its final answer".to_owned());
        }
        if self.answered == 0 && self.body.innocents > 0 {
            broken.push("no innocent request was answered".to_owned());
        }
        broken
    }
}
