use std::net::SocketAddr;

use super::VmRow;
use crate::core::{Name, rendezvous};

/// The fewest VMs of its own data centre that a caller is told, if there are
/// as many: the loss of more than half of them leaves it some.
const MIN_NEAR: usize = 6;
/// Which part of its data centre's VMs a caller is told, in hundredths.
const NEAR_PERCENT: usize = 25;
/// The fewest VMs of other data centres, for when its own is cut off.
const MIN_FAR: usize = 2;
/// The fewest VMs in all.
const MIN_SHOWN: usize = 8;
/// The most addresses that a caller takes note of.
const MAX_SHOWN: usize = 64;

/// Returns the VMs that callers of a data centre use, nearest first.
///
/// Callers of one data centre are told the same few: requests that come seldom
/// then meet connections that are still open. Every VM gives the same answer.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::roster::addresses_for_callers;
///
/// assert!(addresses_for_callers(&[], Some("krk-north")).is_empty());
/// ```
#[must_use]
pub fn addresses_for_callers(live: &[(Name, VmRow)], near: Option<&str>) -> Vec<SocketAddr> {
    let shares: Vec<(Name, f64)> = live
        .iter()
        .map(|(vm, row)| (vm.clone(), row.cpu_share))
        .collect();
    let ranked = rendezvous::rank_by_share(&shares, near.unwrap_or_default());
    let rows = ranked
        .iter()
        .filter_map(|vm| live.iter().find(|(name, _)| name == vm));
    let (near_rows, far_rows): (Vec<&VmRow>, Vec<&VmRow>) = rows
        .map(|(_, row)| row)
        .partition(|row| near == Some(&*row.data_centre));
    let near_count = (near_rows.len() * NEAR_PERCENT).div_ceil(100).max(MIN_NEAR);
    let near_rows = near_rows.into_iter().take(near_count);
    let mut shown: Vec<SocketAddr> = near_rows.map(|row| row.caller_address).collect();
    let far_count = MIN_SHOWN.saturating_sub(shown.len()).max(MIN_FAR);
    shown.extend(
        far_rows
            .iter()
            .take(far_count)
            .map(|row| row.caller_address),
    );
    shown.truncate(MAX_SHOWN);
    shown
}
