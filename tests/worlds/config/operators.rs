//! Operators, which patch the version that a daemon shows and resend patches
//! that got no final answer.

use std::sync::Arc;

use chicoryreach::{
    error::Refusal,
    wire::operators::{Accepted, Patch},
};
use rand::Rng;
use serde_json::json;

use super::{Event, Message, Node, World};

const ANSWER_TIMEOUT_MS: u64 = 6_000;
const MAX_SENDS_PER_PATCH: u32 = 4;

/// An operator and the patch that it is submitting.
#[derive(Debug)]
pub struct Operator {
    index: usize,
    patches: u64,
    /// The number of the latest send; answers to earlier ones are ignored.
    last_send: u64,
    /// How often the current patch was sent.
    send_count: u32,
    patch: Option<Patch>,
}

impl Operator {
    pub const fn new(index: usize) -> Self {
        Self {
            index,
            patches: 0,
            last_send: 0,
            send_count: 0,
            patch: None,
        }
    }
}

impl World {
    /// Writes a patch against the version that a random daemon shows, or against
    /// the one before it if the patch is to be outdated.
    pub fn start_patch(&mut self, operator: usize) {
        let daemon = self.sim.rng.random_range(0..self.daemons.len());
        let shown = self.daemons[daemon].replica.versioned().number;
        let is_outdated = self
            .sim
            .rng
            .random_ratio(self.body.outdated_permille, 1_000);
        let against = shown.saturating_sub(u64::from(is_outdated));
        let state = &mut self.operators[operator];
        state.patches += 1;
        let id: Arc<str> = format!("operator-{}-{}", state.index, state.patches).into();
        let merge = json!({"services": {"demand-lm": {"weights_version": state.patches}}, "draining_vms": [id.clone()]});
        state.patch = Some(Patch { id, against, merge });
        state.send_count = 0;
        self.submit(operator);
    }

    fn submit(&mut self, operator: usize) {
        let daemon = self.sim.rng.random_range(0..self.daemons.len());
        let state = &mut self.operators[operator];
        let Some(patch) = state.patch.clone() else {
            return;
        };
        state.last_send += 1;
        state.send_count += 1;
        let send = state.last_send;
        self.oracle.on_sent(&patch);
        let at_ms = self.sim.now_ms + ANSWER_TIMEOUT_MS;
        self.sim
            .schedule_at(at_ms, Event::OperatorTimedOut(operator, send));
        let (from, to) = (Node::Operator(operator), Node::Daemon(daemon));
        self.send(from, to, Message::Patch(send, patch));
    }

    pub fn on_operator_message(&mut self, operator: usize, message: Message) {
        let Message::PatchAnswer(send, result) = message else {
            return;
        };
        let state = &self.operators[operator];
        let Some(patch) = state.patch.clone().filter(|_| state.last_send == send) else {
            return;
        };
        self.oracle.on_answer(self.sim.now_ms, &patch, &result);
        // One in ten final answers is ignored, so that answered patches are
        // resent too.
        let is_accepted_as_final = is_final(&result) && !self.sim.rng.random_ratio(1, 10);
        if is_accepted_as_final {
            self.finish_patch(operator);
        } else {
            self.resend_or_give_up(operator);
        }
    }

    pub fn on_operator_timeout(&mut self, operator: usize, send: u64) {
        if self.operators[operator].last_send == send {
            self.resend_or_give_up(operator);
        }
    }

    fn resend_or_give_up(&mut self, operator: usize) {
        if self.operators[operator].send_count < MAX_SENDS_PER_PATCH {
            self.submit(operator);
        } else {
            self.finish_patch(operator);
        }
    }

    fn finish_patch(&mut self, operator: usize) {
        let state = &mut self.operators[operator];
        state.last_send += 1;
        state.patch = None;
        let delay_ms = self.sim.rng.random_range(1..=self.body.max_think_ms);
        self.sim
            .schedule_at(self.sim.now_ms + delay_ms, Event::StartPatch(operator));
    }
}

fn is_final(result: &Result<Accepted, Refusal>) -> bool {
    result
        .as_ref()
        .map_or_else(|refusal| refusal.response().not_run, |_| true)
}
