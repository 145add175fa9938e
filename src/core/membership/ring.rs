use crate::core::{Name, rendezvous::weight};

const RING_KEY: &str = "ring";

/// Returns the members that `me` probes: those at distances 1, 2, 4, ... on a
/// ring in the order of hashed names.
///
/// If `me` is not in `members`, the result is empty.
///
/// Every member is probed by as many members as it probes itself. Gossip reaches
/// all members in a number of hops logarithmic in their count. Connections can be
/// reused, because the neighbours change only where the ring does; a target drawn
/// at random for each probe would need a new connection each time.
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
    let Some(own_index) = ring.iter().position(|(_, member)| &***member == me) else {
        return Vec::new();
    };
    let distances = (0..usize::BITS).map(|power| 1 << power);
    distances
        .take_while(|distance: &usize| *distance < ring.len())
        .map(|distance| ring[(own_index + distance) % ring.len()].1.clone())
        .collect()
}
