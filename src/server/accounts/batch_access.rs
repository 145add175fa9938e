use hyper::HeaderMap;

use super::authenticate;
use crate::{
    core::{Name, routes::RouteTable},
    error::{ErrorKind, Refusal},
    server::{read_batch, state::Server},
};

/// Checks that a call about a batch comes from the account that submitted it.
///
/// # Errors
///
/// `ConfigTooOld` if no configuration is known, `UnknownKey` if no account holds the key and
/// the batch's route is not public, `OtherAccount` if another account submitted the batch, and
/// the errors of `read_batch::read_head`.
pub(crate) async fn check_batch_call(
    server: &Server,
    headers: &HeaderMap,
    batch: &Name,
) -> Result<(), Refusal> {
    let routes = server.routes();
    if routes.version() == 0 {
        let message = "this VM has not read a configuration yet";
        return Err(Refusal::new(ErrorKind::ConfigTooOld, message));
    }
    if routes.accounts().is_none() {
        return Ok(());
    }
    let caller = authenticate(&routes, None, headers)?;
    if caller.account.is_none() && !has_public_route(&routes) {
        let message = "no account holds the key";
        return Err(Refusal::new(ErrorKind::UnknownKey, message));
    }
    let head = read_batch::read_head(server, batch).await?;
    let route = routes.find(&head.host, &head.path);
    let caller = match route {
        Some(route) => authenticate(&routes, Some(route), headers)?,
        None if caller.account.is_none() => {
            let message = "no account holds the key, and the route of the batch is gone";
            return Err(Refusal::new(ErrorKind::UnknownKey, message));
        }
        None => caller,
    };
    check_owner(batch, head.account.as_ref(), caller.account.as_ref())
}

/// Checks that a batch was submitted by an account, or by none.
///
/// # Errors
///
/// `OtherAccount` if another account submitted it.
pub(crate) fn check_owner(
    batch: &Name,
    owner: Option<&Name>,
    account: Option<&Name>,
) -> Result<(), Refusal> {
    if owner.is_none() || owner == account {
        return Ok(());
    }
    let message = format!("batch {batch} belongs to another account");
    Err(Refusal::new(ErrorKind::OtherAccount, message))
}

fn has_public_route(routes: &RouteTable) -> bool {
    routes.all().any(|route| route.is_public)
}
