//! Daemons that admit callers' requests to a shared pool of slots, which runs the
//! most urgent work first.

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

/// The most attempts of one request if the retry budget allows them.
const MAX_ATTEMPTS_PER_REQUEST: u32 = 4;
/// How many retries the budget allows per 1,000 first attempts.
const RETRY_SHARE_PERMILLE: u32 = 200;
/// The initial and maximum balance of a retry budget, in thousandths of a retry.
const MAX_RETRY_BALANCE_PERMILLE: u32 = 20_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    daemons: usize,
    slots: usize,
    end_ms: u64,
    /// The mean time that a run takes, in milliseconds.
    run_ms: u64,
    timeout_ms: u64,
    /// The number of requests per second, before the overload and during it.
    requests_per_s: [u64; 2],
    /// How many of 1,000 runs fail, before the overload and during it.
    fails_permille: [u32; 2],
    overload_from_ms: u64,
    /// The upper bound of one daemon's limit on requests at once; the lower bound
    /// is 2.
    #[serde(rename = "most")]
    max_limit: u32,
    /// Whether rollouts run in all slots that callers do not use.
    has_rollouts: bool,
    promise: Promise,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
enum Promise {
    /// Attempts do not exceed first attempts plus what the retry budgets allow.
    BoundedAttempts,
    /// Each caller is answered at most two mean run times after its deadline, or
    /// refused before it.
    ToldInTime,
    /// Rollouts receive at least this share of the slots' time during the overload,
    /// in thousandths.
    RolloutsRun(u64),
    /// In the last third of the time, the median time from a request's admission
    /// to its end is at most this long, in milliseconds.
    ShortRuns(u64),
}

#[derive(Clone, Copy, Debug)]
enum Event {
    RequestArrived,
    RunEnded(u64),
    Dequeue(usize),
}

#[derive(Clone, Debug)]
struct Request {
    daemon: usize,
    deadline_ms: u64,
    started_ms: u64,
    attempts: u32,
    has_run: bool,
}

/// Plays an overload and returns the violations of its promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    world.check_promise();
    world.violations
}

struct World {
    body: Body,
    sim: Sim<Event>,
    admissions: Vec<Admission>,
    budgets: Vec<RetryBudget>,
    requests: BTreeMap<u64, Request>,
    /// Maps a daemon and a number in its admission queue to the waiting request.
    waiting: BTreeMap<(usize, u64), u64>,
    next_id: u64,
    /// The runs that wait for a slot, the most urgent first.
    queue: BTreeSet<(Reverse<Priority>, u64)>,
    running: BTreeSet<u64>,
    rollouts: BTreeSet<u64>,
    first_attempts: u64,
    /// The number of attempts of all requests, first attempts included.
    total_attempts: u64,
    answered: u64,
    /// The time that rollouts run during the overload.
    rollout_ms: u64,
    /// How long requests that end in the last third of the time took.
    late_run_times_ms: Vec<u64>,
    violations: Vec<String>,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        sim.schedule_at(0, Event::RequestArrived);
        let slots = u32::try_from(body.slots).expect("the number of slots fits into 32 bits");
        let daemons = u32::try_from(body.daemons).expect("the number of daemons fits into 32 bits");
        let (min_limit, max_limit) = if body.has_rollouts {
            let cap = caller_cap(slots, 0, daemons, true);
            (cap, cap)
        } else {
            (2, body.max_limit)
        };
        for daemon in 0..body.daemons {
            sim.schedule_at(0, Event::Dequeue(daemon));
        }
        Self {
            admissions: vec![Admission::new(min_limit, max_limit); body.daemons],
            budgets: vec![
                RetryBudget::new(RETRY_SHARE_PERMILLE, MAX_RETRY_BALANCE_PERMILLE);
                body.daemons
            ],
            body,
            sim,
            requests: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next_id: 0,
            queue: BTreeSet::new(),
            running: BTreeSet::new(),
            rollouts: BTreeSet::new(),
            first_attempts: 0,
            total_attempts: 0,
            answered: 0,
            rollout_ms: 0,
            late_run_times_ms: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Returns 0 before the overload and 1 during it.
    fn phase_index(&self) -> usize {
        usize::from(self.sim.now_ms >= self.body.overload_from_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrived => self.on_request(),
            Event::RunEnded(id) => self.on_run_end(id),
            Event::Dequeue(daemon) => {
                const DEQUEUE_INTERVAL_MS: u64 = 10;
                self.dequeue_waiting(daemon);
                self.sim.schedule_at(
                    self.sim.now_ms + DEQUEUE_INTERVAL_MS,
                    Event::Dequeue(daemon),
                );
            }
        }
    }

    fn on_request(&mut self) {
        let now_ms = self.sim.now_ms;
        let mean_ms = 1_000 / self.body.requests_per_s[self.phase_index()];
        let wait_ms = self.sim.rng.random_range(0..=2 * mean_ms);
        self.sim
            .schedule_at(now_ms + wait_ms, Event::RequestArrived);
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
            attempts: 0,
            has_run: false,
        };
        self.requests.insert(self.next_id, request);
        match waiting {
            None => self.start_request(self.next_id),
            Some(number) => {
                self.waiting.insert((daemon, number), self.next_id);
            }
        }
    }

    fn check_refusal(&mut self, retry_at_ms: Option<u64>, not_run: bool) {
        if !not_run || retry_at_ms.is_none_or(|at_ms| at_ms <= self.sim.now_ms) {
            self.violations.push(format!(
                "a refusal has the retry time {retry_at_ms:?} ms and 'not run': {not_run}"
            ));
        }
    }

    fn start_request(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("the request is known");
        request.started_ms = self.sim.now_ms;
        self.first_attempts += 1;
        self.budgets[request.daemon].on_first_attempt();
        self.enqueue_attempt(id);
    }

    fn enqueue_attempt(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("the request is known");
        request.attempts += 1;
        self.total_attempts += 1;
        self.queue.insert((Reverse(Priority::Normal), id));
        self.fill_slots();
    }

    fn fill_slots(&mut self) {
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
            if self.rollouts.contains(&id) && self.phase_index() == 1 {
                self.rollout_ms += run_ms;
            }
            self.sim
                .schedule_at(self.sim.now_ms + run_ms, Event::RunEnded(id));
        }
    }

    fn on_run_end(&mut self, id: u64) {
        self.running.remove(&id);
        if !self.rollouts.remove(&id) {
            self.on_caller_run_end(id);
        }
        self.fill_slots();
    }

    fn on_caller_run_end(&mut self, id: u64) {
        let fails_permille = self.body.fails_permille[self.phase_index()];
        let has_failed = self.sim.rng.random_ratio(fails_permille, 1_000);
        let Request {
            daemon, attempts, ..
        } = self.requests[&id];
        if has_failed && attempts < MAX_ATTEMPTS_PER_REQUEST && self.budgets[daemon].try_spend() {
            self.enqueue_attempt(id);
            return;
        }
        let request = self.requests.remove(&id).expect("the request is known");
        let now_ms = self.sim.now_ms;
        self.answered += 1;
        self.check_told_in_time(&request, 2 * self.body.run_ms);
        let elapsed_ms = now_ms - request.started_ms;
        if now_ms > self.body.end_ms * 2 / 3 {
            self.late_run_times_ms.push(elapsed_ms);
        }
        let ended = RequestEnd {
            elapsed_ms,
            has_failed,
        };
        self.admissions[daemon].on_end(now_ms, ended);
        self.dequeue_waiting(daemon);
    }

    fn check_told_in_time(&mut self, request: &Request, grace_ms: u64) {
        let now_ms = self.sim.now_ms;
        let is_late = now_ms > request.deadline_ms + grace_ms;
        if is_late && matches!(self.body.promise, Promise::ToldInTime) {
            let due_ms = request.deadline_ms;
            self.violations.push(format!(
                "a caller was told the outcome at {now_ms} ms instead of by {due_ms} ms"
            ));
        }
    }

    fn dequeue_waiting(&mut self, daemon: usize) {
        let now_ms = self.sim.now_ms;
        while let Some(next) = self.admissions[daemon].dequeue(now_ms, &mut self.sim.rng) {
            let (number, refusal) = match next {
                Dequeued::Start(number) => (number, None),
                Dequeued::Refuse(number, refusal) => (number, Some(refusal)),
            };
            let waiting = self.waiting.remove(&(daemon, number));
            let id = waiting.expect("the waiting request is known");
            let Some(refusal) = refusal else {
                self.start_request(id);
                continue;
            };
            let request = self.requests.remove(&id).expect("the request is known");
            self.check_told_in_time(&request, 0);
            self.check_refusal(refusal.detail().retry_at_ms, !request.has_run);
        }
    }

    fn check_promise(&mut self) {
        if self.answered == 0 {
            self.violations.push("no request was answered".to_owned());
        }
        let unanswered: Vec<Request> = self.requests.values().cloned().collect();
        for request in &unanswered {
            self.check_told_in_time(request, 2 * self.body.run_ms);
        }
        let overload_ms = self.body.end_ms - self.body.overload_from_ms;
        match self.body.promise {
            Promise::ToldInTime => {}
            Promise::BoundedAttempts => {
                let share = self.first_attempts * u64::from(RETRY_SHARE_PERMILLE) / 1_000;
                let reserve =
                    u64::from(MAX_RETRY_BALANCE_PERMILLE) / 1_000 * self.body.daemons as u64;
                let (attempts, bound) =
                    (self.total_attempts, self.first_attempts + share + reserve);
                if attempts > bound {
                    self.violations
                        .push(format!("{attempts} attempts exceed the limit of {bound}"));
                }
            }
            Promise::RolloutsRun(min_permille) => {
                let slot_time_ms = overload_ms * self.body.slots as u64;
                let permille = self.rollout_ms * 1_000 / slot_time_ms;
                if permille < min_permille {
                    self.violations.push(format!(
                        "rollouts ran {permille}/1000 of the slots' time, not {min_permille}/1000"
                    ));
                }
            }
            Promise::ShortRuns(max_ms) => {
                self.late_run_times_ms.sort_unstable();
                let median_ms = self.late_run_times_ms.get(self.late_run_times_ms.len() / 2);
                if median_ms.is_none_or(|median_ms| *median_ms > max_ms) {
                    self.violations.push(format!(
                        "the median run took {median_ms:?} ms instead of at most {max_ms} ms"
                    ));
                }
            }
        }
    }
}
