//! Members that contend for one lease, and a resource that they act on.

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

const KEY: &str = "lease";
const TURN_MS: u64 = 200;
const TIMEOUT_MS: u64 = 1_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    members: usize,
    end_ms: u64,
    network: Network,
    /// The longest that an act is under way, in milliseconds.
    max_act_ms: u64,
    /// Whether the resource refuses old fencing numbers.
    resource_checks: bool,
    pauses: Vec<Pause>,
    /// How many of a thousand writes take effect and get no answer.
    #[serde(default)]
    unanswered_permille: u32,
    /// The longest that nobody may hold the lease, where that is bounded.
    max_gap_ms: Option<u64>,
}

/// A member that stands still and goes on as if nothing had happened.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Pause {
    member: usize,
    from_ms: u64,
    to_ms: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Turn(usize),
    ReadArrives(usize),
    ReadAnswered(usize, u64, Value),
    WriteArrives(usize, u64, LeaseRow, u64),
    WriteAnswered(usize, u64, LeaseRow, Option<u64>),
    AnswerLost(usize),
    Unanswered(usize, u64, LeaseRow, u64),
    Act(usize, u64),
}

/// Plays contention for a lease; two members that act out of turn break the promise.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    if world.acts == 0 {
        world.broken.push("nobody ever acted".to_owned());
    }
    world.broken
}

struct World {
    body: Body,
    sim: Sim<Event>,
    table: Table,
    leases: Vec<Lease>,
    highest_fence: u64,
    acts: u64,
    last_act_ms: Option<u64>,
    broken: Vec<String>,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        for member in 0..body.members {
            sim.at(0, Event::Turn(member));
        }
        let leases = (0..body.members).map(|member| Lease::new(format!("vm-{member}").into(), 1));
        Self {
            leases: leases.collect(),
            body,
            sim,
            table: Table::default(),
            highest_fence: 0,
            acts: 0,
            last_act_ms: None,
            broken: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let now_ms = self.sim.now_ms;
        match event {
            Event::Turn(member) => self.turn(member),
            Event::ReadArrives(member) => {
                let (version, value) = self.table.get(KEY);
                self.answer(member, &Event::ReadAnswered(member, version, value));
            }
            Event::ReadAnswered(member, version, value) => {
                let row = serde_json::from_value(value).ok();
                self.leases[member].on_read(now_ms, row, version);
            }
            Event::WriteArrives(member, sent_ms, row, row_version) => {
                let written = self.write(&row, row_version);
                let permille = self.body.unanswered_permille;
                if rand::Rng::random_ratio(&mut self.sim.rng, permille, 1_000) {
                    let event = Event::Unanswered(member, sent_ms, row, row_version);
                    self.sim.at(now_ms + TIMEOUT_MS, event);
                    return;
                }
                self.answer(member, &Event::WriteAnswered(member, sent_ms, row, written));
            }
            Event::WriteAnswered(member, sent_ms, row, Some(version)) => {
                self.leases[member].on_written(sent_ms, row, version);
            }
            Event::WriteAnswered(member, _, _, None) | Event::AnswerLost(member) => {
                self.leases[member].on_conflict();
            }
            Event::Unanswered(member, sent_ms, row, row_version) => {
                self.leases[member].on_unanswered(sent_ms, row, row_version);
            }
            Event::Act(member, fence) => self.act(member, fence),
        }
    }

    fn turn(&mut self, member: usize) {
        let now_ms = self.sim.now_ms;
        if let Some(pause) = self.pause(member) {
            self.sim.at(pause.to_ms, Event::Turn(member));
            return;
        }
        self.sim.at(now_ms + TURN_MS, Event::Turn(member));
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
            self.sim.send(network, &Event::Act(member, fence));
        }
    }

    fn pause(&self, member: usize) -> Option<Pause> {
        let now_ms = self.sim.now_ms;
        let mut pauses = self.body.pauses.iter().copied();
        pauses
            .find(|pause| pause.member == member && (pause.from_ms..pause.to_ms).contains(&now_ms))
    }

    /// An answer that is lost is noticed by a time-out.
    fn answer(&mut self, member: usize, event: &Event) {
        let lost = self.body.network.lost_permille;
        if rand::Rng::random_ratio(&mut self.sim.rng, lost, 1_000) {
            self.sim
                .at(self.sim.now_ms + TIMEOUT_MS, Event::AnswerLost(member));
            return;
        }
        let network = Network {
            lost_permille: 0,
            ..self.body.network
        };
        self.sim.send(network, event);
    }

    fn write(&mut self, row: &LeaseRow, row_version: u64) -> Option<u64> {
        let value = serde_json::to_value(row).ok();
        let outcome = self.table.transact(&Transaction {
            checks: vec![Check {
                key: KEY.into(),
                row_version,
            }],
            writes: vec![Write {
                key: KEY.into(),
                value,
            }],
        });
        outcome.committed.then_some(row_version + 1)
    }

    /// Checks for how long nobody acted, once somebody has.
    fn check_gap(&mut self) {
        let now_ms = self.sim.now_ms;
        let last_ms = self.last_act_ms.replace(now_ms).unwrap_or(now_ms);
        let most_ms = self.body.max_gap_ms.unwrap_or(u64::MAX);
        if now_ms > last_ms.saturating_add(most_ms) {
            self.broken
                .push(format!("nobody acted from {last_ms} to {now_ms} ms"));
        }
    }

    fn act(&mut self, member: usize, fence: u64) {
        let is_checked = self.body.resource_checks && guard::is_on(Guard::Fencing);
        if is_checked && fence < self.highest_fence {
            return;
        }
        self.acts += 1;
        self.check_gap();
        if fence < self.highest_fence {
            let now_ms = self.sim.now_ms;
            let highest = self.highest_fence;
            self.broken.push(format!(
                "vm-{member} acted with {fence} after {highest} at {now_ms} ms"
            ));
        }
        self.highest_fence = self.highest_fence.max(fence);
    }
}
