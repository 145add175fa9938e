//! Telling callers which VMs to use.

use super::state::{Server, lock};
use crate::platform::addresses_body;

/// The most addresses that a caller takes note of.
const MAX_ADDRESSES: usize = 64;

/// Returns the answer for a caller; none where this VM does not know enough.
pub(crate) fn answer(server: &Server, near: Option<&str>) -> Option<Vec<u8>> {
    let members = lock(&server.members);
    if !members.is_read() {
        return None;
    }
    let me = &server.settings;
    let is_draining = server.is_draining();
    let mut addresses: Vec<(bool, std::net::SocketAddr)> = members
        .live()
        .filter(|(vm, _)| !(is_draining && **vm == me.vm))
        .map(|(_, row)| (near != Some(&*row.data_centre), row.caller_address))
        .collect();
    if addresses.is_empty() && server.is_ready() {
        addresses.push((false, me.caller_address));
    }
    if addresses.is_empty() {
        return None;
    }
    addresses.sort_unstable();
    let addresses: Vec<_> = addresses.into_iter().map(|(_, address)| address).collect();
    let shown = &addresses[..addresses.len().min(MAX_ADDRESSES)];
    Some(addresses_body(shown, me.keep_addresses_s))
}
