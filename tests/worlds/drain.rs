//! A VM that leaves while callers still hold its address.

use chicoryreach::core::request::{Drain, DrainStep};
use rand::Rng;
use serde::Deserialize;
use serde_json::Value;

use crate::sim::Sim;

const LOOK_MS: u64 = 20;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    callers: usize,
    /// How long callers keep their list, in milliseconds.
    keep_ms: u64,
    /// How long other members may still hand the address out.
    spread_ms: u64,
    leaves_at_ms: u64,
    /// The longest that a request and the writing of its answer take.
    max_request_ms: u64,
    end_ms: u64,
    /// By when the VM has to have closed.
    closes_by_ms: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Refresh(usize),
    Request(usize),
    Ended,
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
    /// Until when each caller uses the VM's address.
    held_until_ms: Vec<u64>,
    in_progress: u32,
    served: u32,
    closed_at_ms: Option<u64>,
    broken: Vec<String>,
}

/// Plays a planned stop; a request that is cut or turned away breaks the promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut sim = Sim::new(seed);
    sim.at(body.leaves_at_ms, Event::Leave);
    for caller in 0..body.callers {
        let first_ms = sim.rng.random_range(0..body.keep_ms);
        sim.at(first_ms, Event::Refresh(caller));
    }
    let mut world = World {
        held_until_ms: vec![0; body.callers],
        body,
        sim,
        drain: None,
        phase: Phase::Serving,
        in_progress: 0,
        served: 0,
        closed_at_ms: None,
        broken: Vec::new(),
    };
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    world.judge();
    world.broken
}

impl World {
    fn handle(&mut self, event: Event) {
        let now_ms = self.sim.now_ms;
        match event {
            Event::Refresh(caller) => self.refresh(caller),
            Event::Request(caller) => self.request(caller),
            Event::Ended => {
                if self.phase != Phase::Closed {
                    self.in_progress -= 1;
                    self.served += 1;
                }
            }
            Event::Leave => {
                self.phase = Phase::Leaving;
                self.drain = Some(Drain::new(now_ms, self.body.keep_ms, self.body.spread_ms));
                self.sim.at(now_ms, Event::Step);
            }
            Event::Step => self.step(),
        }
    }

    /// The list names the VM until the news of its leaving has spread.
    fn refresh(&mut self, caller: usize) {
        let now_ms = self.sim.now_ms;
        let known_ms = self.sim.rng.random_range(0..self.body.spread_ms);
        if now_ms < self.body.leaves_at_ms + known_ms {
            self.held_until_ms[caller] = now_ms + self.body.keep_ms;
            let next_ms = self.sim.rng.random_range(0..self.body.keep_ms);
            self.sim.at(now_ms + next_ms, Event::Request(caller));
        }
        self.sim
            .at(now_ms + self.body.keep_ms, Event::Refresh(caller));
    }

    fn request(&mut self, caller: usize) {
        let now_ms = self.sim.now_ms;
        if now_ms >= self.held_until_ms[caller] {
            return;
        }
        match self.phase {
            Phase::Serving | Phase::Leaving => {
                self.in_progress += 1;
                let took_ms = self.sim.rng.random_range(1..=self.body.max_request_ms);
                self.sim.at(now_ms + took_ms, Event::Ended);
            }
            Phase::Refusing | Phase::Closed => self.broken.push(format!(
                "caller {caller} was turned away at {now_ms} ms by an address that it may use"
            )),
        }
    }

    fn step(&mut self) {
        let now_ms = self.sim.now_ms;
        let Some(drain) = &self.drain else { return };
        match drain.next_step(now_ms, self.in_progress) {
            DrainStep::Serve { until_ms } => self.sim.at(until_ms, Event::Step),
            DrainStep::Finish => {
                self.phase = Phase::Refusing;
                self.sim.at(now_ms + LOOK_MS, Event::Step);
            }
            DrainStep::Close => {
                if self.in_progress > 0 {
                    self.broken
                        .push(format!("{} answers were cut off", self.in_progress));
                }
                self.phase = Phase::Closed;
                self.closed_at_ms = Some(now_ms);
            }
        }
    }

    fn judge(&mut self) {
        let by_ms = self.body.closes_by_ms;
        if self.closed_at_ms.is_none_or(|at_ms| at_ms > by_ms) {
            self.broken
                .push(format!("the VM had not closed by {by_ms} ms"));
        }
        if self.served == 0 {
            self.broken.push("nothing was served".to_owned());
        }
    }
}
