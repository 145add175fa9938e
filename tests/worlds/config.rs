//! Daemons, operators and a table: patches, their spread, and who may act on what.

mod daemon;
mod network;
mod operators;
mod oracle;

use chicoryreach::{
    core::{
        Name,
        config::{Change, Update, Vouch},
    },
    wire::platform::{Row, Transaction},
};
use serde::Deserialize;
use serde_json::Value;

use self::{daemon::Daemon, network::Fault, operators::Operator, oracle::Oracle};
use crate::sim::{Network, Sim, Table};

/// How often it is looked at daemons, at most and at least.
const PROBES: u64 = 900;
const MIN_PROBE_MS: u64 = 100;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    /// How many daemons stand in each data centre.
    data_centres: Vec<usize>,
    end_ms: u64,
    network: Network,
    operators: usize,
    /// The longest that an operator waits before the next patch.
    max_think_ms: u64,
    /// How many of a thousand patches are written against an older version.
    outdated_permille: u32,
    faults: Vec<Fault>,
    expect: Expect,
}

/// What has to be seen beside that no promise is broken.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expect {
    min_accepted: usize,
    #[serde(default)]
    serving: Vec<Serving>,
}

/// Whether daemons take work during a span.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Serving {
    daemons: Vec<usize>,
    from_ms: u64,
    to_ms: u64,
    serves: bool,
}

/// Where a message goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    Daemon(usize),
    Table,
    Operator(usize),
}

#[derive(Clone, Debug)]
enum Event {
    Poll(usize),
    Probe,
    Think(usize),
    Restart(usize),
    Message {
        from: Place,
        to: Place,
        message: Message,
    },
    /// The exchange `0` of a daemon got no answer in time.
    Timeout(usize, u64),
    OperatorTimeout(usize, u64),
}

#[derive(Clone, Debug)]
enum Message {
    Get(u64, Vec<std::sync::Arc<str>>),
    Got(u64, Vec<Row>),
    ScanAfter(u64, u64),
    Scanned(u64, Vec<Change>),
    Transact(u64, Box<Transaction>),
    Transacted(u64, bool),
    AskVouches(u64),
    Vouches(u64, u64, Vec<(Name, u64, u64)>),
    AskSince(u64, u64),
    Since(u64, Update),
    Announce(u64, Change),
    Announced(u64, u64),
    Patch(u64, chicoryreach::wire::operators::Patch),
    Answer(
        u64,
        Result<chicoryreach::wire::operators::Accepted, chicoryreach::error::Refusal>,
    ),
}

/// Plays operators against daemons, and returns the promises that were broken.
pub fn play(body: &Value, seed: u64) -> Vec<String> {
    let body = Body::deserialize(body).expect("the body is valid");
    let mut world = World::new(body, seed);
    while let Some(event) = world.sim.next_before(world.body.end_ms) {
        world.handle(event);
    }
    world.finish()
}

struct World {
    body: Body,
    sim: Sim<Event>,
    table: Table,
    daemons: Vec<Daemon>,
    operators: Vec<Operator>,
    oracle: Oracle,
}

impl World {
    fn new(body: Body, seed: u64) -> Self {
        let mut sim = Sim::new(seed);
        let daemons = daemon::all(&body.data_centres);
        for number in 0..daemons.len() {
            sim.at(10 * number as u64, Event::Poll(number));
        }
        let operators: Vec<_> = (0..body.operators).map(Operator::new).collect();
        for number in 0..operators.len() {
            sim.at(2_000 + 100 * number as u64, Event::Think(number));
        }
        for fault in &body.faults {
            if let Fault::Restart { daemon, at_ms } = fault {
                sim.at(*at_ms, Event::Restart(*daemon));
            }
        }
        sim.at(0, Event::Probe);
        Self {
            oracle: Oracle::new(daemons.len()),
            body,
            sim,
            table: Table::default(),
            daemons,
            operators,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(until_ms) = self.paused_until(&event) {
            self.sim.at(until_ms, event);
            return;
        }
        match event {
            Event::Poll(daemon) => self.poll(daemon),
            Event::Probe => self.probe(),
            Event::Think(operator) => self.think(operator),
            Event::Restart(daemon) => self.daemons[daemon].restart(self.sim.now_ms),
            Event::Message { from, to, message } => match to {
                Place::Table => self.on_table(from, message),
                Place::Daemon(daemon) => self.on_daemon(daemon, from, message),
                Place::Operator(operator) => self.on_operator(operator, message),
            },
            Event::Timeout(daemon, exchange) => self.on_timeout(daemon, exchange),
            Event::OperatorTimeout(operator, asked) => self.on_operator_timeout(operator, asked),
        }
    }

    /// Looks at each daemon as a caller would: does it take work, under what version?
    fn probe(&mut self) {
        let now_ms = self.sim.now_ms;
        for (number, daemon) in self.daemons.iter().enumerate() {
            if network::is_paused(&self.body.faults, number, now_ms) {
                continue;
            }
            let serves = daemon.freshness.is_fresh(now_ms);
            let versioned = daemon.replica.versioned();
            self.oracle
                .on_probe(now_ms, number, daemon.incarnation, serves, versioned);
            for expected in &self.body.expect.serving {
                let is_due = (expected.from_ms..expected.to_ms).contains(&now_ms);
                if is_due && expected.daemons.contains(&number) && expected.serves != serves {
                    let what = if serves { "takes" } else { "refuses" };
                    self.oracle
                        .broken
                        .push(format!("vm-{number} {what} work at {now_ms} ms"));
                }
            }
        }
        let probe_ms = (self.body.end_ms / PROBES).max(MIN_PROBE_MS);
        self.sim.at(now_ms + probe_ms, Event::Probe);
    }

    fn finish(mut self) -> Vec<String> {
        self.oracle.compare_with_table(&self.table);
        let accepted = self.oracle.accepted();
        if accepted < self.body.expect.min_accepted {
            self.oracle
                .broken
                .push(format!("only {accepted} patches were accepted"));
        }
        self.oracle.broken
    }
}

fn vouches(list: &[(Name, u64, u64)], asked_ms: u64) -> impl Iterator<Item = (&Name, Vouch)> {
    list.iter().map(move |(vm, age_ms, number)| {
        let asked_ms = asked_ms.saturating_sub(*age_ms);
        let vouch = Vouch {
            asked_ms,
            number: *number,
        };
        (vm, vouch)
    })
}
