//! A VM that shuts down while callers still have its address cached.

use chicoryreach::core::request::{Drain, DrainStep};
use rand::Rng;
use serde::Deserialize;
use serde_json::Value;

use crate::sim::Sim;

/// The interval at which the VM checks whether its running requests have ended.
const STEP_INTERVAL_MS: u64 = 20;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    callers: usize,
    /// How long callers cache an address list, in milliseconds.
    keep_ms: u64,
    /// How long other members may still hand out the address, in milliseconds.
    spread_ms: u64,
    leaves_at_ms: u64,
    /// The longest time for a request and its answer, in milliseconds.
    max_request_ms: u64,
    end_ms: u64,
    /// When the VM must have closed its listeners at the latest.
    closes_by_ms: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    RefreshAddresses(usize),
    SendRequest(usize),
    RequestEnded,
    Leave,
    Step,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Serving,
    Leaving,
    Refusing,
    Closed,
}

struct World {
    body: Body,
    sim: Sim<Event>,
    drain: Option<Drain>,
    phase: Phase,
    /// Until when each caller has the VM's address cached.
    address_expires_at_ms: Vec<u64>,
    in_progress: u32,
    served: u32,
    closed_at_ms: Option<u64>,
    violations: Vec<String>,
}

/// Plays a graceful shutdown and returns the violations of its promise.
///
/// A request that is cut off or refused while its caller has the address cached
/// breaks the promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut sim = Sim::new(seed);
    sim.schedule_at(body.leaves_at_ms, Event::Leave);
    for caller in 0..body.callers {
        let first_ms = sim.rng.random_range(0..body.keep_ms);
        sim.schedule_at(first_ms, Event::RefreshAddresses(caller));
    }
    let mut world = World {
        address_expires_at_ms: vec![0; body.callers],
        body,
        sim,
        drain: None,
        phase: Phase::Serving,
        in_progress: 0,
        served: 0,
        closed_at_ms: None,
        violations: Vec::new(),
    };
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    world.check_close();
    world.violations
}

impl World {
    fn handle(&mut self, event: Event) {
        let now_ms = self.sim.now_ms;
        match event {
            Event::RefreshAddresses(caller) => self.refresh_addresses(caller),
            Event::SendRequest(caller) => self.send_request(caller),
            Event::RequestEnded => {
                if self.phase != Phase::Closed {
                    self.in_progress -= 1;
                    self.served += 1;
                }
            }
            Event::Leave => {
                self.phase = Phase::Leaving;
                self.drain = Some(Drain::new(now_ms, self.body.keep_ms, self.body.spread_ms));
                self.sim.schedule_at(now_ms, Event::Step);
            }
            Event::Step => self.take_drain_step(),
        }
    }

    /// Gives the caller a new address list, which contains the VM until the member
    /// that hands out the list has learned that the VM is leaving.
    fn refresh_addresses(&mut self, caller: usize) {
        let now_ms = self.sim.now_ms;
        let news_delay_ms = self.sim.rng.random_range(0..self.body.spread_ms);
        if now_ms < self.body.leaves_at_ms + news_delay_ms {
            self.address_expires_at_ms[caller] = now_ms + self.body.keep_ms;
            let next_ms = self.sim.rng.random_range(0..self.body.keep_ms);
            self.sim
                .schedule_at(now_ms + next_ms, Event::SendRequest(caller));
        }
        self.sim
            .schedule_at(now_ms + self.body.keep_ms, Event::RefreshAddresses(caller));
    }

    fn send_request(&mut self, caller: usize) {
        let now_ms = self.sim.now_ms;
        if now_ms >= self.address_expires_at_ms[caller] {
            return;
        }
        match self.phase {
            Phase::Serving | Phase::Leaving => {
                self.in_progress += 1;
                let request_ms = self.sim.rng.random_range(1..=self.body.max_request_ms);
                self.sim
                    .schedule_at(now_ms + request_ms, Event::RequestEnded);
            }
            Phase::Refusing | Phase::Closed => self.violations.push(format!(
                "caller {caller} was refused at {now_ms} ms at an address that it may use"
            )),
        }
    }

    fn take_drain_step(&mut self) {
        let now_ms = self.sim.now_ms;
        let Some(drain) = &self.drain else { return };
        match drain.next_step(now_ms, self.in_progress) {
            DrainStep::Serve { until_ms } => self.sim.schedule_at(until_ms, Event::Step),
            DrainStep::Finish => {
                self.phase = Phase::Refusing;
                self.sim.schedule_at(now_ms + STEP_INTERVAL_MS, Event::Step);
            }
            DrainStep::Close => {
                if self.in_progress > 0 {
                    self.violations.push(format!(
                        "{} running requests were cut off",
                        self.in_progress
                    ));
                }
                self.phase = Phase::Closed;
                self.closed_at_ms = Some(now_ms);
            }
        }
    }

    fn check_close(&mut self) {
        let by_ms = self.body.closes_by_ms;
        if self.closed_at_ms.is_none_or(|at_ms| at_ms > by_ms) {
            self.violations
                .push(format!("the VM had not closed its listeners by {by_ms} ms"));
        }
        if self.served == 0 {
            self.violations.push("no request was served".to_owned());
        }
    }
}
