use super::IssuedShare;
use crate::core::{Name, rendezvous};

/// How many VMs may issue permits for one endpoint: the issuer and its standby.
const ISSUERS: usize = 2;

/// Returns the issuer and the standby of an endpoint, among VMs with their data
/// centres. VMs of the endpoint's data centre come first.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::rate_limit::issuers;
///
/// let vms = [("vm-1".into(), "dc-1".into()), ("vm-2".into(), "dc-2".into())];
/// let ranked = issuers(vms.iter().map(|(vm, dc)| (vm, dc)), "endpoint-1", "dc-2");
/// assert_eq!(&*ranked[0], "vm-2");
/// ```
pub fn issuers<'a, I>(vms: I, endpoint: &str, data_centre: &str) -> Vec<Name>
where
    I: IntoIterator<Item = (&'a Name, &'a Name)>,
{
    let rank = |(vm, vm_data_centre): (&'a Name, &'a Name)| {
        let is_near = &**vm_data_centre == data_centre;
        (is_near, rendezvous::weight(vm, endpoint), vm)
    };
    let mut ranked: Vec<_> = vms.into_iter().map(rank).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.truncate(ISSUERS);
    ranked.into_iter().map(|(_, _, vm)| vm.clone()).collect()
}

/// Returns how much of a limit a VM may issue, by the issuers that its own roster
/// names.
#[must_use]
pub fn issued_share(vm: &str, issuers: &[Name], is_fresh: bool) -> Option<IssuedShare> {
    let rank = issuers.iter().position(|issuer| &**issuer == vm)?;
    Some(if rank == 0 && is_fresh {
        IssuedShare::Whole
    } else {
        IssuedShare::Reduced
    })
}
