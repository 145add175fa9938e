use std::collections::BTreeMap;

use crate::{
    core::{
        Name,
        guard::{self, Guard},
    },
    wire::engine::{Action, Order},
};

/// How long a sampler is given to report the version it was ordered to load.
pub const ORDER_TIMEOUT_MS: u64 = 8_000;
/// At most this share of the samplers swaps at once, in hundredths.
pub const WAVE_PERCENT: usize = 50;

/// What is known of one sampler's weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sampler {
    /// The sampler's name.
    pub name: Name,
    /// The version that it last reported.
    pub weights_version: u64,
}

/// Orders samplers to a version, wave by wave, until each reports it.
///
/// Orders are absolute, so that repeating one is harmless, and what counts is
/// what a sampler reports, never that it was ordered.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    ordered: BTreeMap<Name, Pending>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    version: u64,
    deadline_ms: u64,
}

impl Rollout {
    /// Returns the orders to send now.
    pub fn orders(
        &mut self,
        now_ms: u64,
        target: u64,
        fence: u64,
        samplers: &[Sampler],
    ) -> Vec<(Name, Order)> {
        let behind: Vec<_> = samplers
            .iter()
            .filter(|sampler| sampler.weights_version != target)
            .collect();
        self.ordered.retain(|name, pending| {
            pending.version == target
                && now_ms < pending.deadline_ms
                && behind.iter().any(|sampler| sampler.name == *name)
        });
        let wave = wave_len(samplers.len());
        let mut orders = Vec::new();
        for sampler in behind {
            if self.ordered.len() >= wave {
                break;
            }
            if self.ordered.contains_key(&sampler.name) {
                continue;
            }
            let deadline_ms = now_ms + ORDER_TIMEOUT_MS;
            let pending = Pending {
                version: target,
                deadline_ms,
            };
            self.ordered.insert(sampler.name.clone(), pending);
            let action = Action::LoadVersion(target);
            orders.push((sampler.name.clone(), Order { fence, action }));
        }
        orders
    }
}

fn wave_len(samplers: usize) -> usize {
    if !guard::is_on(Guard::WeightWaves) {
        return samplers;
    }
    (samplers * WAVE_PERCENT / 100).max(1)
}
