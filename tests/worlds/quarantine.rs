//! A content that crashes endpoints and is resent repeatedly, among other contents
//! that do not.

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

/// The content that crashes every endpoint on which it runs.
const CULPRIT: usize = 0;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    daemons: usize,
    endpoints: usize,
    /// The number of contents that crash nothing, each sent repeatedly by one caller.
    #[serde(rename = "innocents")]
    harmless_contents: usize,
    /// The number of callers that resend the culprit whenever it failed.
    culprit_callers: usize,
    /// The longest time that a run takes, in milliseconds.
    work_ms: u64,
    /// How long an endpoint is down after a crash, in milliseconds.
    restart_ms: u64,
    /// The network between daemons.
    network: Network,
    end_ms: u64,
    /// The highest number of crashes that is allowed.
    max_crashes: u32,
    /// The highest number of harmless requests that may be refused as quarantined.
    #[serde(rename = "max_innocents_refused")]
    max_harmless_refused: u32,
}

#[derive(Clone, Debug)]
enum Event {
    Send(usize),
    RunEnded(Run),
    NoticeArrived(usize, CrashNotice),
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
    harmless_refused: u32,
    culprit_refused: u32,
}

/// Plays callers and returns the violations of their promise.
///
/// Too many crashes or too many refused harmless requests break the promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    world.check_promise()
}

fn content_name(number: usize) -> Arc<str> {
    format!("content-{number}").into()
}

fn endpoint_name(number: usize) -> Arc<str> {
    format!("sampler-{number}").into()
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        for caller in 0..body.culprit_callers + body.harmless_contents {
            let at_ms = sim.rng.random_range(0..body.work_ms);
            sim.schedule_at(at_ms, Event::Send(caller));
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
            harmless_refused: 0,
            culprit_refused: 0,
        }
    }

    fn content_of(&self, caller: usize) -> usize {
        // The first `culprit_callers` callers all send content 0, the culprit.
        (caller + 1).saturating_sub(self.body.culprit_callers)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send(caller) => self.send(caller),
            Event::RunEnded(run) => self.on_run_ended(&run),
            Event::NoticeArrived(daemon, notice) => match notice {
                CrashNotice::Crashed(report) => {
                    self.daemons[daemon].on_report(self.sim.now_ms, report);
                }
                CrashNotice::Cleared(clearance) => self.daemons[daemon].on_clearance(clearance),
            },
            Event::Restarted(number) => self.endpoints[number].is_up = true,
        }
    }

    /// Sends a caller's request to a random daemon.
    fn send(&mut self, caller: usize) {
        let now_ms = self.sim.now_ms;
        let number = self.content_of(caller);
        let daemon = self.sim.rng.random_range(0..self.body.daemons);
        let avoid = match self.daemons[daemon].permit(now_ms, &content_name(number)) {
            Permit::Unrestricted => BTreeSet::new(),
            Permit::Trial { avoid } => avoid,
            Permit::Wait => {
                self.sim.schedule_at(now_ms + 10, Event::Send(caller));
                return;
            }
            Permit::Quarantined | Permit::Claim { .. } | Permit::Held { .. } => {
                self.on_refused(caller, number);
                return;
            }
        };
        let available = (0..self.body.endpoints).filter(|number| {
            self.endpoints[*number].is_up && !avoid.contains(&endpoint_name(*number))
        });
        let Some(chosen) = available.choose(&mut self.sim.rng) else {
            self.sim.schedule_at(now_ms + 10, Event::Send(caller));
            return;
        };
        self.daemons[daemon].on_start(&endpoint_name(chosen), &content_name(number), now_ms);
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
        self.sim.schedule_at(now_ms + work_ms, Event::RunEnded(run));
    }

    fn on_refused(&mut self, caller: usize, number: usize) {
        if number == CULPRIT {
            self.culprit_refused += 1;
        } else {
            self.harmless_refused += 1;
        }
        let resend_at_ms = self.sim.now_ms + self.body.work_ms;
        self.sim.schedule_at(resend_at_ms, Event::Send(caller));
    }

    fn on_run_ended(&mut self, run: &Run) {
        if !self.endpoints[run.endpoint].running.remove(run) {
            return;
        }
        if run.content == CULPRIT {
            self.endpoints[run.endpoint].running.insert(run.clone());
            self.crash(run.endpoint);
            return;
        }
        self.answered += 1;
        self.end_run(run, RunEnd::Complete);
    }

    fn end_run(&mut self, run: &Run, end: RunEnd) {
        let quarantine = &mut self.daemons[run.daemon];
        let cleared = quarantine.on_end(
            self.sim.now_ms,
            &endpoint_name(run.endpoint),
            &content_name(run.content),
            end,
        );
        if let Some(clearance) = cleared {
            self.broadcast(run.daemon, &CrashNotice::Cleared(clearance));
        }
        // The other daemons receive the crash report before the caller learns of a
        // failure and resends.
        let response_ms = match end {
            RunEnd::Complete => 1,
            RunEnd::Incomplete | RunEnd::Unanswered { .. } => self.body.network.max_delay_ms + 1,
        };
        self.sim
            .schedule_at(self.sim.now_ms + response_ms, Event::Send(run.caller));
    }

    fn broadcast(&mut self, from: usize, notice: &CrashNotice) {
        let network = self.body.network;
        for other in (0..self.body.daemons).filter(|other| *other != from) {
            self.sim
                .send(network, &Event::NoticeArrived(other, notice.clone()));
        }
    }

    /// Crashes an endpoint. Every daemon with a run on it notices the crash and
    /// reports it to the other daemons.
    fn crash(&mut self, number: usize) {
        self.crashes += 1;
        let now_ms = self.sim.now_ms;
        let crashed = &mut self.endpoints[number];
        crashed.is_up = false;
        crashed.incarnation += 1;
        let interrupted = std::mem::take(&mut crashed.running);
        self.sim
            .schedule_at(now_ms + self.body.restart_ms, Event::Restarted(number));
        for run in &interrupted {
            let report = self.daemons[run.daemon].on_crash(
                now_ms,
                &endpoint_name(number),
                run.incarnation,
                run.started_ms,
            );
            self.broadcast(run.daemon, &CrashNotice::Crashed(report));
        }
        for run in &interrupted {
            self.end_run(run, RunEnd::Incomplete);
        }
    }

    fn check_promise(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let (crashes, max) = (self.crashes, self.body.max_crashes);
        if crashes > max {
            violations.push(format!(
                "the culprit crashed endpoints {crashes} times instead of at most {max} times"
            ));
        }
        let (refused, max) = (self.harmless_refused, self.body.max_harmless_refused);
        if refused > max {
            violations.push(format!(
                "{refused} harmless requests were refused as quarantined instead of at most {max}"
            ));
        }
        if self.culprit_refused == 0 && guard::is_on(guard::Guard::Quarantine) {
            violations.push("the culprit was never refused as quarantined".to_owned());
        }
        if self.answered == 0 && self.body.harmless_contents > 0 {
            violations.push("no harmless request was answered".to_owned());
        }
        violations
    }
}
