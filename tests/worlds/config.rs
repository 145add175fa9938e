//! Daemons, operators and a table: how patches are accepted and distributed,
//! and which daemons take work under which version.

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

/// About how many times a run probes the daemons at most.
const MAX_PROBES_PER_RUN: u64 = 900;
const MIN_PROBE_INTERVAL_MS: u64 = 100;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    /// The number of daemons in each data centre.
    data_centres: Vec<usize>,
    end_ms: u64,
    network: Network,
    operators: usize,
    /// The longest time that an operator waits before its next patch.
    max_think_ms: u64,
    /// How many of a thousand patches are written against an outdated version.
    outdated_permille: u32,
    faults: Vec<Fault>,
    expect: Expectations,
}

/// What a run must show besides having no violations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expectations {
    min_accepted: usize,
    #[serde(default)]
    serving: Vec<ServingExpectation>,
}

/// Whether daemons must take or refuse work from `from_ms` up to `to_ms`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServingExpectation {
    daemons: Vec<usize>,
    from_ms: u64,
    to_ms: u64,
    serves: bool,
}

/// The sender or receiver of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Node {
    Daemon(usize),
    Table,
    Operator(usize),
}

#[derive(Clone, Debug)]
enum Event {
    Poll(usize),
    ProbeDaemons,
    StartPatch(usize),
    Restart(usize),
    Message {
        from: Node,
        to: Node,
        message: Message,
    },
    /// An exchange of a daemon got no answer in time.
    ExchangeTimedOut(usize, u64),
    /// An operator's send with this number got no answer in time.
    OperatorTimedOut(usize, u64),
}

#[derive(Clone, Debug)]
enum Message {
    Get(u64, Vec<std::sync::Arc<str>>),
    Got(u64, Vec<Row>),
    ScanAfter(u64, u64),
    Scanned(u64, Vec<Change>),
    Transact(u64, Box<Transaction>),
    Transacted(u64, bool),
    GetVouches(u64),
    Vouches(u64, u64, Vec<(Name, u64, u64)>),
    GetUpdateSince(u64, u64),
    UpdateSince(u64, Update),
    Announce(u64, Change),
    Announced(u64, u64),
    Patch(u64, chicoryreach::wire::operators::Patch),
    PatchAnswer(
        u64,
        Result<chicoryreach::wire::operators::Accepted, chicoryreach::error::Refusal>,
    ),
}

/// Runs the scenario and returns every violation, including expectations that
/// did not hold.
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
        let daemons = daemon::create_daemons(&body.data_centres);
        for number in 0..daemons.len() {
            sim.schedule_at(10 * number as u64, Event::Poll(number));
        }
        let operators: Vec<_> = (0..body.operators).map(Operator::new).collect();
        for number in 0..operators.len() {
            sim.schedule_at(2_000 + 100 * number as u64, Event::StartPatch(number));
        }
        for fault in &body.faults {
            if let Fault::Restart { daemon, at_ms } = fault {
                sim.schedule_at(*at_ms, Event::Restart(*daemon));
            }
        }
        sim.schedule_at(0, Event::ProbeDaemons);
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
            self.sim.schedule_at(until_ms, event);
            return;
        }
        match event {
            Event::Poll(daemon) => self.poll(daemon),
            Event::ProbeDaemons => self.probe_daemons(),
            Event::StartPatch(operator) => self.start_patch(operator),
            Event::Restart(daemon) => self.daemons[daemon].restart(self.sim.now_ms),
            Event::Message { from, to, message } => match to {
                Node::Table => self.on_table_request(from, message),
                Node::Daemon(daemon) => self.on_daemon_message(daemon, from, message),
                Node::Operator(operator) => self.on_operator_message(operator, message),
            },
            Event::ExchangeTimedOut(daemon, exchange) => self.on_timeout(daemon, exchange),
            Event::OperatorTimedOut(operator, send) => self.on_operator_timeout(operator, send),
        }
    }

    /// Checks for each daemon whether it takes work, and under which version.
    fn probe_daemons(&mut self) {
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
                    self.oracle.violations.push(format!(
                        "vm-{number} unexpectedly {what} work at {now_ms} ms"
                    ));
                }
            }
        }
        let interval_ms = (self.body.end_ms / MAX_PROBES_PER_RUN).max(MIN_PROBE_INTERVAL_MS);
        self.sim
            .schedule_at(now_ms + interval_ms, Event::ProbeDaemons);
    }

    fn finish(mut self) -> Vec<String> {
        self.oracle.compare_with_table(&self.table);
        let accepted = self.oracle.count_accepted();
        let min_accepted = self.body.expect.min_accepted;
        if accepted < min_accepted {
            self.oracle.violations.push(format!(
                "only {accepted} patches were accepted, expected {min_accepted}"
            ));
        }
        self.oracle.violations
    }
}

/// Turns the ages of vouches in an answer into times on the clock of the
/// daemon that asked at `asked_ms`.
fn rebase_vouches(
    list: &[(Name, u64, u64)],
    asked_ms: u64,
) -> impl Iterator<Item = (&Name, Vouch)> {
    list.iter().map(move |(vm, age_ms, number)| {
        let asked_ms = asked_ms.saturating_sub(*age_ms);
        let vouch = Vouch {
            asked_ms,
            number: *number,
        };
        (vm, vouch)
    })
}
