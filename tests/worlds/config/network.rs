//! What is cut, paused or down when, and how messages travel.

use rand::Rng;
use serde::Deserialize;

use super::{Event, Message, Place, World};
use crate::sim::Network;

/// What goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// The table takes nothing in.
    TableDown { from_ms: u64, to_ms: u64 },
    /// These daemons do not reach the table.
    TableCut {
        daemons: Vec<usize>,
        from_ms: u64,
        to_ms: u64,
    },
    /// These daemons and the others do not reach each other.
    PeersCut {
        daemons: Vec<usize>,
        from_ms: u64,
        to_ms: u64,
    },
    /// The answers of the table are lost, its writes take effect.
    AnswersLost {
        from_ms: u64,
        to_ms: u64,
        permille: u32,
    },
    /// A daemon stands still and goes on as if nothing had happened.
    Pause {
        daemon: usize,
        from_ms: u64,
        to_ms: u64,
    },
    /// A daemon starts anew under its name and has forgotten everything.
    Restart { daemon: usize, at_ms: u64 },
}

/// Returns whether a daemon stands still.
pub fn is_paused(faults: &[Fault], daemon: usize, now_ms: u64) -> bool {
    faults.iter().any(|fault| {
        matches!(fault, Fault::Pause { daemon: paused, from_ms, to_ms }
            if *paused == daemon && (*from_ms..*to_ms).contains(&now_ms))
    })
}

impl World {
    /// Sends a message, if the way is open.
    pub fn send(&mut self, from: Place, to: Place, message: Message) {
        if self.is_cut(from, to) || self.is_answer_lost(from) {
            return;
        }
        let is_operator = matches!(from, Place::Operator(_)) || matches!(to, Place::Operator(_));
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

    fn is_answer_lost(&mut self, from: Place) -> bool {
        let now_ms = self.sim.now_ms;
        let lost = self.body.faults.iter().find_map(|fault| match fault {
            Fault::AnswersLost {
                from_ms,
                to_ms,
                permille,
            } if (*from_ms..*to_ms).contains(&now_ms) => Some(*permille),
            _ => None,
        });
        from == Place::Table && self.sim.rng.random_ratio(lost.unwrap_or(0), 1_000)
    }

    fn is_cut(&self, from: Place, to: Place) -> bool {
        let now_ms = self.sim.now_ms;
        self.body.faults.iter().any(|fault| match fault {
            Fault::TableDown { from_ms, to_ms } => {
                (*from_ms..*to_ms).contains(&now_ms) && (from == Place::Table || to == Place::Table)
            }
            Fault::TableCut {
                daemons,
                from_ms,
                to_ms,
            } => (*from_ms..*to_ms).contains(&now_ms) && is_between_table(daemons, from, to),
            Fault::PeersCut {
                daemons,
                from_ms,
                to_ms,
            } => (*from_ms..*to_ms).contains(&now_ms) && is_between_sides(daemons, from, to),
            _ => false,
        })
    }

    /// Returns until when the event has to wait for a daemon that stands still.
    pub fn paused_until(&self, event: &Event) -> Option<u64> {
        let daemon = match event {
            Event::Poll(daemon)
            | Event::Timeout(daemon, _)
            | Event::Message {
                to: Place::Daemon(daemon),
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

fn is_between_table(daemons: &[usize], from: Place, to: Place) -> bool {
    match (from, to) {
        (Place::Daemon(daemon), Place::Table) | (Place::Table, Place::Daemon(daemon)) => {
            daemons.contains(&daemon)
        }
        _ => false,
    }
}

fn is_between_sides(daemons: &[usize], from: Place, to: Place) -> bool {
    match (from, to) {
        (Place::Daemon(from), Place::Daemon(to)) => {
            daemons.contains(&from) != daemons.contains(&to)
        }
        _ => false,
    }
}
