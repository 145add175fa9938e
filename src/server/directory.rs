//! Answers callers that ask which VMs to connect to.

use super::state::{Server, lock};
use crate::{core::roster::addresses_for_callers, platform::encode_addresses};

/// Returns the encoded list of VMs for a caller in the data centre `near`, or
/// `None` if this VM does not know any VM to list.
///
/// A draining VM does not list itself.
pub(crate) fn address_list(server: &Server, near: Option<&str>) -> Option<Vec<u8>> {
    let settings = &server.settings;
    let is_draining = server.is_draining();
    let members = lock(&server.members);
    if !members.has_been_read() {
        return None;
    }
    let live = members.live_vms();
    let usable = live.filter(|(vm, _)| !(is_draining && **vm == settings.vm));
    let usable: Vec<_> = usable.map(|(vm, row)| (vm.clone(), row.clone())).collect();
    drop(members);
    let mut shown = addresses_for_callers(&usable, near);
    if shown.is_empty() && server.is_ready() {
        shown.push(settings.caller_address);
    }
    (!shown.is_empty()).then(|| encode_addresses(&shown, settings.keep_addresses_s))
}
