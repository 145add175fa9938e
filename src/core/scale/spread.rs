use std::collections::{BTreeMap, BTreeSet};

use super::{EndpointGroup, EndpointKind};
use crate::core::{Name, routes::ScaleLimits};

/// The share of all endpoints of a kind at which a data centre's price counts half as
/// much again, besides the price itself: without it, all would go to the cheapest data
/// centre.
const PRICE_SHARE_OFFSET: f64 = 0.5;
/// The number of data centres from which on none gets more than half of all endpoints.
const MIN_CENTRES_FOR_CAP: usize = 3;
/// The price of a data centre that the configuration names none for.
const DEFAULT_PRICE: f64 = 1.0;

/// The numbers of endpoints that are planned, by data centre and kind.
#[derive(Debug)]
pub(super) struct Spread<'a> {
    pub(super) limits: &'a ScaleLimits,
    pub(super) centres: &'a BTreeSet<Name>,
    pub(super) counts: BTreeMap<EndpointGroup, u32>,
    /// The groups that get no further endpoints now.
    pub(super) blocked: BTreeSet<EndpointGroup>,
}

impl Spread<'_> {
    pub(super) fn total(&self) -> u32 {
        self.counts.values().sum()
    }

    pub(super) fn of_kind(&self, kind: EndpointKind) -> u32 {
        let of_kind = self.counts.iter().filter(|(group, _)| group.kind == kind);
        of_kind.map(|(_, count)| *count).sum()
    }

    /// Adds endpoints of a kind, and returns how many no data centre can get.
    pub(super) fn add(&mut self, kind: EndpointKind, amount: u32) -> u32 {
        let final_total = self.total() + amount;
        for added in 0..amount {
            let Some(centre) = self.centre_to_grow(kind, final_total) else {
                return amount - added;
            };
            *self.count_mut(&centre, kind) += 1;
        }
        0
    }

    /// Removes endpoints of a kind, as far as the least number of each data centre allows.
    pub(super) fn remove(&mut self, kind: EndpointKind, amount: u32) {
        for _ in 0..amount {
            let Some(centre) = self.centre_to_shrink(kind) else {
                return;
            };
            *self.count_mut(&centre, kind) -= 1;
        }
    }

    /// Raises each data centre to its least number with ordinary endpoints.
    pub(super) fn fill_least(&mut self) {
        let centres = self.centres;
        for centre in centres {
            let missing = self
                .limits
                .min_endpoints
                .saturating_sub(self.in_centre(centre));
            if !self.is_blocked(centre, EndpointKind::Ordinary) {
                *self.count_mut(centre, EndpointKind::Ordinary) += missing;
            }
        }
    }

    fn centre_to_grow(&self, kind: EndpointKind, final_total: u32) -> Option<Name> {
        let has_room = |centre: &&Name| {
            !self.is_blocked(centre, kind) && self.in_centre(centre) < self.limits.max_endpoints
        };
        let open: Vec<&Name> = self.centres.iter().filter(has_room).collect();
        // With a single data centre left, the work is worth more than the spread.
        let is_capped = self.centres.len() >= MIN_CENTRES_FOR_CAP && open.len() > 1;
        let cap = if is_capped {
            final_total.div_ceil(2)
        } else {
            u32::MAX
        };
        let allowed = open
            .into_iter()
            .filter(|centre| self.in_centre(centre) < cap);
        allowed
            .min_by(|a, b| self.cost(a, kind).total_cmp(&self.cost(b, kind)))
            .cloned()
    }

    fn centre_to_shrink(&self, kind: EndpointKind) -> Option<Name> {
        let may_shrink = |centre: &&Name| {
            self.count(centre, kind) > 0 && self.in_centre(centre) > self.limits.min_endpoints
        };
        let candidates = self.centres.iter().filter(may_shrink);
        candidates
            .max_by(|a, b| self.cost(a, kind).total_cmp(&self.cost(b, kind)))
            .cloned()
    }

    /// Returns what one more endpoint in a data centre costs, in its price and in what the
    /// loss of the data centre would take.
    fn cost(&self, centre: &str, kind: EndpointKind) -> f64 {
        let price = self.limits.prices_per_s.get(centre).copied();
        let price = price.unwrap_or(DEFAULT_PRICE).max(0.0);
        let count = f64::from(self.count(centre, kind));
        match kind {
            EndpointKind::Ordinary => {
                let all = f64::from(self.of_kind(kind).max(1));
                price * (PRICE_SHARE_OFFSET + count / all)
            }
            // All of a data centre vanish at once, and prices differ little: an even
            // number in each loses least. The price breaks ties.
            EndpointKind::Spot => count + price / (price + 1.0) / 2.0,
        }
    }

    fn is_blocked(&self, centre: &Name, kind: EndpointKind) -> bool {
        self.blocked.contains(&EndpointGroup {
            data_centre: centre.clone(),
            kind,
        })
    }

    fn count(&self, centre: &str, kind: EndpointKind) -> u32 {
        let group = EndpointGroup {
            data_centre: centre.into(),
            kind,
        };
        self.counts.get(&group).copied().unwrap_or(0)
    }

    fn count_mut(&mut self, centre: &Name, kind: EndpointKind) -> &mut u32 {
        let group = EndpointGroup {
            data_centre: centre.clone(),
            kind,
        };
        self.counts.entry(group).or_default()
    }

    fn in_centre(&self, centre: &str) -> u32 {
        let kinds = [EndpointKind::Ordinary, EndpointKind::Spot];
        kinds.iter().map(|kind| self.count(centre, *kind)).sum()
    }
}
