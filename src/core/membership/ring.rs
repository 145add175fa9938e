use crate::core::{Name, rendezvous::weight};

const RING_KEY: &str = "ring";

/// Returns the members that `me` probes: those at distances 1, 2, 4, ... on a
/// ring in the order of hashed names.
///
/// Every member has as many probers as it probes, news needs a number of steps
/// that grows with the logarithm of the members, and connections are kept,
/// because the neighbours change only where the ring does. Drawing a member at
/// random for each probe was rejected: each probe then needs a connection of
/// its own.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::{Name, membership::neighbours};
///
/// let members: Vec<Name> = (0..12).map(|n| format!("vm-{n}").into()).collect();
/// assert_eq!(neighbours(&members, "vm-3").len(), 4);
/// ```
#[must_use]
pub fn neighbours(members: &[Name], me: &str) -> Vec<Name> {
    let mut ring: Vec<(u64, &Name)> = members
        .iter()
        .map(|member| (weight(member, RING_KEY), member))
        .collect();
    ring.sort();
    let Some(place) = ring.iter().position(|(_, member)| &***member == me) else {
        return Vec::new();
    };
    let distances = (0..usize::BITS).map(|power| 1 << power);
    distances
        .take_while(|distance: &usize| *distance < ring.len())
        .map(|distance| ring[(place + distance) % ring.len()].1.clone())
        .collect()
}
