//! Faults of the network, the table and the daemons, and how messages are sent.

use rand::Rng;
use serde::Deserialize;

use super::{Event, Message, Node, World};
use crate::sim::Network;

/// A fault, in force from `from_ms` up to `to_ms` or happening at `at_ms`.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// The table neither receives nor sends messages.
    TableDown { from_ms: u64, to_ms: u64 },
    /// These daemons and the table don't reach each other.
    TableCut {
        daemons: Vec<usize>,
        from_ms: u64,
        to_ms: u64,
    },
    /// These daemons and all other daemons don't reach each other.
    PeersCut {
        daemons: Vec<usize>,
        from_ms: u64,
        to_ms: u64,
    },
    /// The table's writes take effect, but some of its answers are lost.
    AnswersLost {
        from_ms: u64,
        to_ms: u64,
        permille: u32,
    },
    /// A daemon is paused and resumes with its state unchanged.
    Pause {
        daemon: usize,
        from_ms: u64,
        to_ms: u64,
    },
    /// A daemon restarts under the same name with no state.
    Restart { daemon: usize, at_ms: u64 },
}

/// Returns whether a daemon is paused.
pub fn is_paused(faults: &[Fault], daemon: usize, now_ms: u64) -> bool {
    faults.iter().any(|fault| {
        matches!(fault, Fault::Pause { daemon: paused, from_ms, to_ms }
            if *paused == daemon && (*from_ms..*to_ms).contains(&now_ms))
    })
}

impl World {
    /// Sends a message unless a fault stops it.
    pub fn send(&mut self, from: Node, to: Node, message: Message) {
        if self.is_cut(from, to) || self.is_answer_lost(from) {
            return;
        }
        let is_operator = matches!(from, Node::Operator(_)) || matches!(to, Node::Operator(_));
        let network = if is_operator {
            Network {
                doubled_permille: 0,
                ..self.body.network
            }
        } else {
            self.body.network
        };
        self.sim
            .send(network, &Event::Message { from, to, message });
    }

    fn is_answer_lost(&mut self, from: Node) -> bool {
        let now_ms = self.sim.now_ms;
        let permille = self.body.faults.iter().find_map(|fault| match fault {
            Fault::AnswersLost {
                from_ms,
                to_ms,
                permille,
            } if (*from_ms..*to_ms).contains(&now_ms) => Some(*permille),
            _ => None,
        });
        from == Node::Table && self.sim.rng.random_ratio(permille.unwrap_or(0), 1_000)
    }

    fn is_cut(&self, from: Node, to: Node) -> bool {
        let now_ms = self.sim.now_ms;
        self.body.faults.iter().any(|fault| match fault {
            Fault::TableDown { from_ms, to_ms } => {
                (*from_ms..*to_ms).contains(&now_ms) && (from == Node::Table || to == Node::Table)
            }
            Fault::TableCut {
                daemons,
                from_ms,
                to_ms,
            } => (*from_ms..*to_ms).contains(&now_ms) && is_daemon_to_table(daemons, from, to),
            Fault::PeersCut {
                daemons,
                from_ms,
                to_ms,
            } => (*from_ms..*to_ms).contains(&now_ms) && is_across_peers_cut(daemons, from, to),
            _ => false,
        })
    }

    /// Returns the end of the pause that an event's daemon is in, if any.
    pub fn paused_until(&self, event: &Event) -> Option<u64> {
        let daemon = match event {
            Event::Poll(daemon)
            | Event::ExchangeTimedOut(daemon, _)
            | Event::Message {
                to: Node::Daemon(daemon),
                ..
            } => *daemon,
            _ => return None,
        };
        self.body.faults.iter().find_map(|fault| match fault {
            Fault::Pause {
                daemon: paused,
                from_ms,
                to_ms,
            } if *paused == daemon && (*from_ms..*to_ms).contains(&self.sim.now_ms) => Some(*to_ms),
            _ => None,
        })
    }
}

fn is_daemon_to_table(daemons: &[usize], from: Node, to: Node) -> bool {
    match (from, to) {
        (Node::Daemon(daemon), Node::Table) | (Node::Table, Node::Daemon(daemon)) => {
            daemons.contains(&daemon)
        }
        _ => false,
    }
}

fn is_across_peers_cut(daemons: &[usize], from: Node, to: Node) -> bool {
    match (from, to) {
        (Node::Daemon(from), Node::Daemon(to)) => daemons.contains(&from) != daemons.contains(&to),
        _ => false,
    }
}
