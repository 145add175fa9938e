//! Operators: each patches what it read, and sends again what got no answer.

use std::sync::Arc;

use chicoryreach::{
    error::Refusal,
    wire::operators::{Accepted, Patch},
};
use rand::Rng;
use serde_json::json;

use super::{Event, Message, Place, World};

const PATIENCE_MS: u64 = 6_000;
const MAX_SENDS: u32 = 4;

/// One operator.
#[derive(Debug)]
pub struct Operator {
    name: usize,
    patches: u64,
    asked: u64,
    sends: u32,
    patch: Option<Patch>,
}

impl Operator {
    pub const fn new(name: usize) -> Self {
        Self {
            name,
            patches: 0,
            asked: 0,
            sends: 0,
            patch: None,
        }
    }
}

impl World {
    /// Writes a patch against the version that some daemon shows.
    pub fn think(&mut self, operator: usize) {
        let daemon = self.sim.rng.random_range(0..self.daemons.len());
        let shown = self.daemons[daemon].replica.versioned().number;
        let is_outdated = self
            .sim
            .rng
            .random_ratio(self.body.outdated_permille, 1_000);
        let against = shown.saturating_sub(u64::from(is_outdated));
        let it = &mut self.operators[operator];
        it.patches += 1;
        let id: Arc<str> = format!("operator-{}-{}", it.name, it.patches).into();
        let merge = json!({"services": {"demand-lm": {"weights_version": it.patches}}, "draining_vms": [id.clone()]});
        it.patch = Some(Patch { id, against, merge });
        it.sends = 0;
        self.submit(operator);
    }

    fn submit(&mut self, operator: usize) {
        let daemon = self.sim.rng.random_range(0..self.daemons.len());
        let it = &mut self.operators[operator];
        let Some(patch) = it.patch.clone() else {
            return;
        };
        it.asked += 1;
        it.sends += 1;
        let asked = it.asked;
        self.oracle.on_sent(&patch);
        let at_ms = self.sim.now_ms + PATIENCE_MS;
        self.sim.at(at_ms, Event::OperatorTimeout(operator, asked));
        let (from, to) = (Place::Operator(operator), Place::Daemon(daemon));
        self.send(from, to, Message::Patch(asked, patch));
    }

    pub fn on_operator(&mut self, operator: usize, message: Message) {
        let Message::Answer(asked, result) = message else {
            return;
        };
        let it = &self.operators[operator];
        let Some(patch) = it.patch.clone().filter(|_| it.asked == asked) else {
            return;
        };
        self.oracle.on_answer(self.sim.now_ms, &patch, &result);
        // Now and then an operator sends again what was answered already.
        let is_answered = is_final(&result) && !self.sim.rng.random_ratio(1, 10);
        if is_answered {
            self.rest(operator);
        } else {
            self.try_again(operator);
        }
    }

    pub fn on_operator_timeout(&mut self, operator: usize, asked: u64) {
        if self.operators[operator].asked == asked {
            self.try_again(operator);
        }
    }

    fn try_again(&mut self, operator: usize) {
        if self.operators[operator].sends < MAX_SENDS {
            self.submit(operator);
        } else {
            self.rest(operator);
        }
    }

    fn rest(&mut self, operator: usize) {
        let it = &mut self.operators[operator];
        it.asked += 1;
        it.patch = None;
        let think_ms = self.sim.rng.random_range(1..=self.body.max_think_ms);
        self.sim
            .at(self.sim.now_ms + think_ms, Event::Think(operator));
    }
}

fn is_final(result: &Result<Accepted, Refusal>) -> bool {
    result
        .as_ref()
        .map_or_else(|refusal| refusal.response().not_run, |_| true)
}
