//! Telling callers which VMs to use.

use super::state::{Server, lock};
use crate::{core::roster::addresses_for_callers, platform::encode_addresses};

/// Returns the answer for a caller; none where this VM does not know enough.
pub(crate) fn answer(server: &Server, near: Option<&str>) -> Option<Vec<u8>> {
    let me = &server.settings;
    let is_draining = server.is_draining();
    let members = lock(&server.members);
    if !members.has_been_read() {
        return None;
    }
    let live = members.live_vms();
    let usable = live.filter(|(vm, _)| !(is_draining && **vm == me.vm));
    let usable: Vec<_> = usable.map(|(vm, row)| (vm.clone(), row.clone())).collect();
    drop(members);
    let mut shown = addresses_for_callers(&usable, near);
    if shown.is_empty() && server.is_ready() {
        shown.push(me.caller_address);
    }
    (!shown.is_empty()).then(|| encode_addresses(&shown, me.keep_addresses_s))
}
