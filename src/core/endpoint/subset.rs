use std::collections::{BTreeMap, BTreeSet};

use super::Usage;
use crate::core::{
    Name,
    config::EndpointSettings,
    guard::{self, Guard},
    rendezvous,
};

/// The maximum number of endpoints of a service at which every daemon uses all
/// of them.
pub const USE_ALL_MAX_ENDPOINTS: usize = 40;
/// The number of endpoints of its data centre that a daemon uses of a larger
/// service.
pub const SUBSET_SIZE: usize = 24;
/// The number of endpoints of other data centres that a daemon keeps in reserve.
pub const SPARE_COUNT: usize = 8;

/// A daemon and the other daemons of its data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Placement {
    /// The daemon's VM.
    pub me: Name,
    /// The daemon's data centre.
    pub data_centre: Name,
    /// The daemons of that data centre that take work, including this one.
    pub daemons: Vec<Name>,
}

/// Returns how a daemon uses each endpoint of a service.
///
/// Every endpoint of the data centre is used by equally many daemons. They are
/// chosen by rendezvous hashing, so that only a joining or leaving daemon's own
/// share is reassigned. If the data centre has no serving endpoint
/// (`has_near_serving` is false), the reserve in other data centres grows from
/// [`SPARE_COUNT`] to [`SUBSET_SIZE`] endpoints.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
///
/// use chicoryreach::core::endpoint::{Placement, Usage, assign_usages};
///
/// let placement = Placement { me: "vm-1".into(), data_centre: "nave-a".into(), daemons: vec!["vm-1".into()] };
/// assert!(assign_usages(&placement, &BTreeMap::new(), true).values().all(|usage| *usage == Usage::Used));
/// ```
#[must_use]
pub fn assign_usages(
    placement: &Placement,
    endpoints: &BTreeMap<Name, EndpointSettings>,
    has_near_serving: bool,
) -> BTreeMap<Name, Usage> {
    if endpoints.len() <= USE_ALL_MAX_ENDPOINTS {
        return endpoints
            .keys()
            .map(|name| (name.clone(), Usage::Used))
            .collect();
    }
    let is_near = |settings: &EndpointSettings| settings.data_centre == placement.data_centre;
    let (near, far): (Vec<_>, Vec<_>) = endpoints
        .iter()
        .partition(|(_, settings)| is_near(settings));
    let near: Vec<Name> = near.into_iter().map(|(name, _)| name.clone()).collect();
    let far: Vec<Name> = far.into_iter().map(|(name, _)| name.clone()).collect();
    let mut usages: BTreeMap<Name, Usage> = endpoints
        .keys()
        .map(|name| (name.clone(), Usage::Unused))
        .collect();
    let spares = if has_near_serving {
        SPARE_COUNT
    } else {
        SUBSET_SIZE
    };
    let spares = if guard::is_on(Guard::SpareEndpoints) {
        spares
    } else {
        0
    };
    for name in rendezvous::choose(&far, &placement.me, spares) {
        usages.insert(name, Usage::Spare);
    }
    for name in near_subset(placement, &near) {
        usages.insert(name, Usage::Used);
    }
    usages
}

/// Returns the endpoints of the data centre that are assigned to this daemon.
fn near_subset(placement: &Placement, near: &[Name]) -> BTreeSet<Name> {
    if near.len() <= USE_ALL_MAX_ENDPOINTS || placement.daemons.len() <= 1 {
        return near.iter().cloned().collect();
    }
    if !guard::is_on(Guard::EqualSubsets) {
        // Each daemon chooses independently, so some endpoints are used by many
        // daemons and others by none.
        let chosen = rendezvous::choose(near, &placement.me, SUBSET_SIZE);
        return chosen.into_iter().collect();
    }
    let daemons_per_endpoint = (SUBSET_SIZE * placement.daemons.len()).div_ceil(near.len());
    near.iter()
        .filter(|endpoint| {
            rendezvous::choose(&placement.daemons, endpoint, daemons_per_endpoint)
                .contains(&placement.me)
        })
        .cloned()
        .collect()
}
