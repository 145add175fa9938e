use std::collections::BTreeMap;

use crate::{
    core::{Name, scale::ServiceLoad},
    server::state::{Server, lock},
    settings::DutyKind,
};

/// Returns the work of this VM at the services that are scaled, for its row.
///
/// A service without any work is left out: all VMs read the rows every second.
pub(crate) fn own_loads(server: &Server) -> BTreeMap<Name, ServiceLoad> {
    let duties = server.duties.as_ref();
    if !duties.is_some_and(|duties| duties.api().has(DutyKind::Scale)) {
        return BTreeMap::new();
    }
    let routes = server.routes();
    let pools = routes.pools().iter();
    let scaled = pools.filter(|(_, settings)| settings.scale_limits.is_some());
    let loads = scaled.map(|(service, _)| {
        let in_flight = {
            let pool = lock(&server.pool);
            let in_flight = pool.of_service(service).map(|known| known.load.in_flight);
            in_flight.sum()
        };
        let load = lock(&server.load_signals).take_report(service, in_flight);
        (service.clone(), load)
    });
    loads
        .filter(|(_, load)| *load != ServiceLoad::default())
        .collect()
}
