use std::net::SocketAddr;

use super::VmRow;
use crate::core::{Name, rendezvous};

/// The fewest VMs of its own data centre that a caller is given, if there are
/// that many: some are left after the loss of more than half of them.
const MIN_NEAR_VMS: usize = 6;
/// The percentage of its data centre's VMs that a caller is given.
const NEAR_VMS_PERCENT: usize = 25;
/// The fewest VMs of other data centres that a caller is given, for when its own
/// data centre is unreachable.
const MIN_FAR_VMS: usize = 2;
/// The fewest VMs that a caller is given in total.
const MIN_VMS: usize = 8;
/// The largest number of addresses that a caller uses.
const MAX_ADDRESSES: usize = 64;

/// Returns the addresses that callers of the data centre `near` should use, its
/// own VMs first.
///
/// Callers of one data centre get the same few VMs, so that infrequent requests
/// still find open connections. Every VM returns the same addresses for the same
/// live VMs.
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
    let near_count = (near_rows.len() * NEAR_VMS_PERCENT)
        .div_ceil(100)
        .max(MIN_NEAR_VMS);
    let near_rows = near_rows.into_iter().take(near_count);
    let mut addresses: Vec<SocketAddr> = near_rows.map(|row| row.caller_address).collect();
    let far_count = MIN_VMS.saturating_sub(addresses.len()).max(MIN_FAR_VMS);
    addresses.extend(
        far_rows
            .iter()
            .take(far_count)
            .map(|row| row.caller_address),
    );
    addresses.truncate(MAX_ADDRESSES);
    addresses
}
