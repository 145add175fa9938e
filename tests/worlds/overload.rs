//! Callers' requests at daemons before a pool of slots that honours priorities.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use chicoryreach::core::{
    admission::{Admission, Decision, Dequeued, Priority, RequestEnd, caller_cap},
    retry::RetryBudget,
};
use rand::Rng;
use serde::Deserialize;
use serde_json::Value;

use crate::sim::Sim;

const MAX_TRIES: u32 = 4;
const SHARE_PERMILLE: u32 = 200;
const KEPT_PERMILLE: u32 = 20_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    daemons: usize,
    slots: usize,
    end_ms: u64,
    /// How long a run takes in the mean.
    run_ms: u64,
    timeout_ms: u64,
    /// Requests a second, before the overload and during it.
    requests_per_s: [u64; 2],
    /// How many of a thousand runs fail, before the overload and during it.
    fails_permille: [u32; 2],
    overload_from_ms: u64,
    /// The most requests of one daemon at once; the least is 2.
    most: u32,
    /// Whether rollouts fill what callers leave.
    has_rollouts: bool,
    promise: Promise,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
enum Promise {
    /// Attempts stay within first tries and the budget's share of them.
    BoundedAttempts,
    /// Each caller is told before its deadline, but for one run's length.
    ToldInTime,
    /// Rollouts get this much of the pool's time, in thousandths.
    RolloutsRun(u64),
    /// Half of the runs wait and run for at most this long, in the last third.
    ShortRuns(u64),
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    Done(u64),
    Look(usize),
}

#[derive(Clone, Debug)]
struct Request {
    daemon: usize,
    deadline_ms: u64,
    started_ms: u64,
    tries: u32,
    has_run: bool,
}

/// Plays an overload and returns how its promise was broken.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    world.judge();
    world.broken
}

struct World {
    body: Body,
    sim: Sim<Event>,
    admissions: Vec<Admission>,
    budgets: Vec<RetryBudget>,
    requests: BTreeMap<u64, Request>,
    /// Who waits at which daemon under which number.
    waiting: BTreeMap<(usize, u64), u64>,
    next_id: u64,
    /// What waits and what runs in the pool; the order is that of urgency.
    queue: BTreeSet<(Reverse<Priority>, u64)>,
    running: BTreeSet<u64>,
    rollouts: BTreeSet<u64>,
    first_tries: u64,
    attempts: u64,
    answered: u64,
    rollout_ms: u64,
    run_times_ms: Vec<u64>,
    broken: Vec<String>,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        sim.at(0, Event::Arrive);
        let slots = u32::try_from(body.slots).expect("a few slots");
        let daemons = u32::try_from(body.daemons).expect("a few daemons");
        let (least, most) = if body.has_rollouts {
            let cap = caller_cap(slots, 0, daemons, true);
            (cap, cap)
        } else {
            (2, body.most)
        };
        for daemon in 0..body.daemons {
            sim.at(0, Event::Look(daemon));
        }
        Self {
            admissions: vec![Admission::new(least, most); body.daemons],
            budgets: vec![RetryBudget::new(SHARE_PERMILLE, KEPT_PERMILLE); body.daemons],
            body,
            sim,
            requests: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next_id: 0,
            queue: BTreeSet::new(),
            running: BTreeSet::new(),
            rollouts: BTreeSet::new(),
            first_tries: 0,
            attempts: 0,
            answered: 0,
            rollout_ms: 0,
            run_times_ms: Vec::new(),
            broken: Vec::new(),
        }
    }

    fn phase(&self) -> usize {
        usize::from(self.sim.now_ms >= self.body.overload_from_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Done(id) => self.done(id),
            Event::Look(daemon) => {
                const LOOK_MS: u64 = 10;
                self.drain(daemon);
                self.sim.at(self.sim.now_ms + LOOK_MS, Event::Look(daemon));
            }
        }
    }

    fn arrive(&mut self) {
        let now_ms = self.sim.now_ms;
        let mean_ms = 1_000 / self.body.requests_per_s[self.phase()];
        let wait_ms = self.sim.rng.random_range(0..=2 * mean_ms);
        self.sim.at(now_ms + wait_ms, Event::Arrive);
        let daemon = self.sim.rng.random_range(0..self.body.daemons);
        let deadline_ms = now_ms + self.body.timeout_ms;
        let decision =
            self.admissions[daemon].offer(now_ms, Priority::Normal, deadline_ms, &mut self.sim.rng);
        let waiting = match decision {
            Decision::Refuse(refusal) => {
                self.check_refusal(refusal.detail().retry_at_ms, refusal.response().not_run);
                return;
            }
            Decision::Start => None,
            Decision::Wait(number) => Some(number),
        };
        self.next_id += 1;
        let request = Request {
            daemon,
            deadline_ms,
            started_ms: now_ms,
            tries: 0,
            has_run: false,
        };
        self.requests.insert(self.next_id, request);
        match waiting {
            None => self.start(self.next_id),
            Some(number) => {
                self.waiting.insert((daemon, number), self.next_id);
            }
        }
    }

    fn check_refusal(&mut self, retry_at_ms: Option<u64>, not_run: bool) {
        if !not_run || retry_at_ms.is_none_or(|at_ms| at_ms <= self.sim.now_ms) {
            self.broken.push(format!(
                "a refusal says {retry_at_ms:?}, not run: {not_run}"
            ));
        }
    }

    fn start(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("the request is known");
        request.started_ms = self.sim.now_ms;
        self.first_tries += 1;
        self.budgets[request.daemon].on_first_attempt();
        self.attempt(id);
    }

    fn attempt(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("the request is known");
        request.tries += 1;
        self.attempts += 1;
        self.queue.insert((Reverse(Priority::Normal), id));
        self.fill();
    }

    fn fill(&mut self) {
        while self.running.len() < self.body.slots {
            if self.body.has_rollouts && self.queue.is_empty() {
                self.next_id += 1;
                self.rollouts.insert(self.next_id);
                self.queue
                    .insert((Reverse(Priority::Background), self.next_id));
            }
            let Some((_, id)) = self.queue.pop_first() else {
                return;
            };
            self.running.insert(id);
            if let Some(request) = self.requests.get_mut(&id) {
                request.has_run = true;
            }
            let run_ms = self
                .sim
                .rng
                .random_range(self.body.run_ms / 2..=self.body.run_ms * 3 / 2);
            if self.rollouts.contains(&id) && self.phase() == 1 {
                self.rollout_ms += run_ms;
            }
            self.sim.at(self.sim.now_ms + run_ms, Event::Done(id));
        }
    }

    fn done(&mut self, id: u64) {
        self.running.remove(&id);
        if !self.rollouts.remove(&id) {
            self.caller_done(id);
        }
        self.fill();
    }

    fn caller_done(&mut self, id: u64) {
        let fails_permille = self.body.fails_permille[self.phase()];
        let has_failed = self.sim.rng.random_ratio(fails_permille, 1_000);
        let Request { daemon, tries, .. } = self.requests[&id];
        if has_failed && tries < MAX_TRIES && self.budgets[daemon].try_spend() {
            self.attempt(id);
            return;
        }
        let request = self.requests.remove(&id).expect("the request is known");
        let now_ms = self.sim.now_ms;
        self.answered += 1;
        self.check_time(&request, 2 * self.body.run_ms);
        let elapsed_ms = now_ms - request.started_ms;
        if now_ms > self.body.end_ms * 2 / 3 {
            self.run_times_ms.push(elapsed_ms);
        }
        let ended = RequestEnd {
            elapsed_ms,
            has_failed,
        };
        self.admissions[daemon].on_end(now_ms, ended);
        self.drain(daemon);
    }

    fn check_time(&mut self, request: &Request, grace_ms: u64) {
        let now_ms = self.sim.now_ms;
        let is_late = now_ms > request.deadline_ms + grace_ms;
        if is_late && matches!(self.body.promise, Promise::ToldInTime) {
            let due_ms = request.deadline_ms;
            self.broken.push(format!(
                "a caller was told at {now_ms} ms, not by {due_ms} ms"
            ));
        }
    }

    fn drain(&mut self, daemon: usize) {
        let now_ms = self.sim.now_ms;
        while let Some(next) = self.admissions[daemon].dequeue(now_ms, &mut self.sim.rng) {
            let (number, refusal) = match next {
                Dequeued::Start(number) => (number, None),
                Dequeued::Refuse(number, refusal) => (number, Some(refusal)),
            };
            let waiting = self.waiting.remove(&(daemon, number));
            let id = waiting.expect("who waits is known");
            let Some(refusal) = refusal else {
                self.start(id);
                continue;
            };
            let request = self.requests.remove(&id).expect("the request is known");
            self.check_time(&request, 0);
            self.check_refusal(refusal.detail().retry_at_ms, !request.has_run);
        }
    }

    fn judge(&mut self) {
        if self.answered == 0 {
            self.broken.push("nothing was answered".to_owned());
        }
        let late: Vec<Request> = self.requests.values().cloned().collect();
        for request in &late {
            self.check_time(request, 2 * self.body.run_ms);
        }
        let overload_ms = self.body.end_ms - self.body.overload_from_ms;
        match self.body.promise {
            Promise::ToldInTime => {}
            Promise::BoundedAttempts => {
                let share = self.first_tries * u64::from(SHARE_PERMILLE) / 1_000;
                let kept = u64::from(KEPT_PERMILLE) / 1_000 * self.body.daemons as u64;
                let (attempts, bound) = (self.attempts, self.first_tries + share + kept);
                if attempts > bound {
                    self.broken
                        .push(format!("{attempts} attempts, not {bound}"));
                }
            }
            Promise::RolloutsRun(least_permille) => {
                let whole_ms = overload_ms * self.body.slots as u64;
                let permille = self.rollout_ms * 1_000 / whole_ms;
                if permille < least_permille {
                    self.broken.push(format!(
                        "rollouts got {permille} of 1000, not {least_permille}"
                    ));
                }
            }
            Promise::ShortRuns(most_ms) => {
                self.run_times_ms.sort_unstable();
                let median_ms = self.run_times_ms.get(self.run_times_ms.len() / 2);
                if median_ms.is_none_or(|median_ms| *median_ms > most_ms) {
                    self.broken.push(format!(
                        "half of the runs took over {median_ms:?} ms, not {most_ms}"
                    ));
                }
            }
        }
    }
}
