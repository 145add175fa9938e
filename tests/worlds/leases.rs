//! Members that contend for one lease, and the resource that its holder acts on.

use chicoryreach::{
    core::{
        guard::{self, Guard},
        lease::{Lease, LeaseAction, LeaseRow},
    },
    wire::platform::{Check, Transaction, Write},
};
use serde::Deserialize;
use serde_json::Value;

use crate::sim::{Network, Sim, Table};

const LEASE_KEY: &str = "lease";
const TICK_INTERVAL_MS: u64 = 200;
const REQUEST_TIMEOUT_MS: u64 = 1_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    members: usize,
    end_ms: u64,
    network: Network,
    /// The longest time that an action takes to reach the resource.
    max_act_ms: u64,
    /// Whether the resource refuses actions with an outdated fencing number.
    resource_checks: bool,
    pauses: Vec<Pause>,
    /// How many of a thousand writes take effect but get no answer.
    #[serde(default)]
    unanswered_permille: u32,
    /// The longest allowed time between two actions; unbounded if absent.
    max_gap_ms: Option<u64>,
}

/// A member's pause, after which it resumes with its state unchanged.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Pause {
    member: usize,
    from_ms: u64,
    to_ms: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    ReadArrives(usize),
    ReadAnswered(usize, u64, Value),
    WriteArrives(usize, u64, LeaseRow, u64),
    WriteAnswered(usize, u64, LeaseRow, Option<u64>),
    AnswerTimedOut(usize),
    WriteUnanswered(usize, u64, LeaseRow, u64),
    ActionArrives(usize, u64),
}

/// Runs the scenario and returns what violated its promise: an action with an
/// outdated fencing number, a gap that is too long, or no action at all.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    if world.actions == 0 {
        world.violations.push("no member acted".to_owned());
    }
    world.violations
}

struct World {
    body: Body,
    sim: Sim<Event>,
    table: Table,
    leases: Vec<Lease>,
    highest_fence: u64,
    actions: u64,
    last_action_ms: Option<u64>,
    violations: Vec<String>,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        for member in 0..body.members {
            sim.schedule_at(0, Event::Tick(member));
        }
        let leases = (0..body.members).map(|member| Lease::new(format!("vm-{member}").into(), 1));
        Self {
            leases: leases.collect(),
            body,
            sim,
            table: Table::default(),
            highest_fence: 0,
            actions: 0,
            last_action_ms: None,
            violations: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let now_ms = self.sim.now_ms;
        match event {
            Event::Tick(member) => self.tick(member),
            Event::ReadArrives(member) => {
                let (version, value) = self.table.get(LEASE_KEY);
                self.send_answer(member, &Event::ReadAnswered(member, version, value));
            }
            Event::ReadAnswered(member, version, value) => {
                let row = serde_json::from_value(value).ok();
                self.leases[member].on_read(now_ms, row, version);
            }
            Event::WriteArrives(member, sent_ms, row, row_version) => {
                let written = self.write_lease(&row, row_version);
                let permille = self.body.unanswered_permille;
                if rand::Rng::random_ratio(&mut self.sim.rng, permille, 1_000) {
                    let event = Event::WriteUnanswered(member, sent_ms, row, row_version);
                    self.sim.schedule_at(now_ms + REQUEST_TIMEOUT_MS, event);
                    return;
                }
                self.send_answer(member, &Event::WriteAnswered(member, sent_ms, row, written));
            }
            Event::WriteAnswered(member, sent_ms, row, Some(version)) => {
                self.leases[member].on_written(sent_ms, row, version);
            }
            Event::WriteAnswered(member, _, _, None) | Event::AnswerTimedOut(member) => {
                self.leases[member].on_conflict();
            }
            Event::WriteUnanswered(member, sent_ms, row, row_version) => {
                self.leases[member].on_unanswered(sent_ms, row, row_version);
            }
            Event::ActionArrives(member, fence) => self.perform_action(member, fence),
        }
    }

    fn tick(&mut self, member: usize) {
        let now_ms = self.sim.now_ms;
        if let Some(pause) = self.current_pause(member) {
            self.sim.schedule_at(pause.to_ms, Event::Tick(member));
            return;
        }
        self.sim
            .schedule_at(now_ms + TICK_INTERVAL_MS, Event::Tick(member));
        let network = self.body.network;
        match self.leases[member].next_action(now_ms) {
            LeaseAction::Wait { .. } => {}
            LeaseAction::Read => self.sim.send(network, &Event::ReadArrives(member)),
            LeaseAction::Write { row, row_version } => {
                let event = Event::WriteArrives(member, now_ms, row, row_version);
                self.sim.send(network, &event);
            }
        }
        if let Some(fence) = self.leases[member].fence(now_ms) {
            let network = Network {
                max_delay_ms: self.body.max_act_ms,
                ..Network::default()
            };
            self.sim.send(network, &Event::ActionArrives(member, fence));
        }
    }

    fn current_pause(&self, member: usize) -> Option<Pause> {
        let now_ms = self.sim.now_ms;
        let mut pauses = self.body.pauses.iter().copied();
        pauses
            .find(|pause| pause.member == member && (pause.from_ms..pause.to_ms).contains(&now_ms))
    }

    /// Sends an answer to a member; a lost one shows up as a timeout.
    fn send_answer(&mut self, member: usize, event: &Event) {
        let lost_permille = self.body.network.lost_permille;
        if rand::Rng::random_ratio(&mut self.sim.rng, lost_permille, 1_000) {
            self.sim.schedule_at(
                self.sim.now_ms + REQUEST_TIMEOUT_MS,
                Event::AnswerTimedOut(member),
            );
            return;
        }
        let network = Network {
            lost_permille: 0,
            ..self.body.network
        };
        self.sim.send(network, event);
    }

    fn write_lease(&mut self, row: &LeaseRow, row_version: u64) -> Option<u64> {
        let value = serde_json::to_value(row).ok();
        let outcome = self.table.transact(&Transaction {
            checks: vec![Check {
                key: LEASE_KEY.into(),
                row_version,
            }],
            writes: vec![Write {
                key: LEASE_KEY.into(),
                value,
            }],
        });
        outcome.committed.then_some(row_version + 1)
    }

    /// Checks the time since the previous action, if there was one.
    fn check_gap(&mut self) {
        let now_ms = self.sim.now_ms;
        let last_ms = self.last_action_ms.replace(now_ms).unwrap_or(now_ms);
        let max_gap_ms = self.body.max_gap_ms.unwrap_or(u64::MAX);
        if now_ms > last_ms.saturating_add(max_gap_ms) {
            self.violations
                .push(format!("no member acted from {last_ms} to {now_ms} ms"));
        }
    }

    fn perform_action(&mut self, member: usize, fence: u64) {
        let is_checked = self.body.resource_checks && guard::is_on(Guard::Fencing);
        if is_checked && fence < self.highest_fence {
            return;
        }
        self.actions += 1;
        self.check_gap();
        if fence < self.highest_fence {
            let now_ms = self.sim.now_ms;
            let highest = self.highest_fence;
            self.violations.push(format!(
                "vm-{member} acted with fencing number {fence} at {now_ms} ms, \
                 after an action with {highest}"
            ));
        }
        self.highest_fence = self.highest_fence.max(fence);
    }
}
