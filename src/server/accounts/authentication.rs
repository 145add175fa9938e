use hyper::HeaderMap;

use crate::{
    core::{
        Name,
        routes::{Route, RouteTable},
    },
    error::{ErrorKind, Refusal},
    platform::parse_key,
};

/// Who sends a request, as far as the configuration tells.
#[derive(Clone, Debug, Default)]
pub(crate) struct Caller {
    /// The account that holds the caller's key.
    pub(crate) account: Option<Name>,
    /// The priority of the account, which takes precedence over that of a route.
    pub(crate) priority: Option<u8>,
}

/// Returns who sends a request on a route.
///
/// # Errors
///
/// `UnknownKey` if accounts are configured, the route is not public and the request does
/// not present the key of an account.
pub(crate) fn authenticate(
    routes: &RouteTable,
    route: Option<&Route>,
    headers: &HeaderMap,
) -> Result<Caller, Refusal> {
    let Some(accounts) = routes.accounts() else {
        return Ok(Caller::default());
    };
    let holder = parse_key(headers).and_then(|key| accounts.find(key));
    match (holder, route) {
        (Some(account), _) => Ok(Caller {
            account: Some(account.name.clone()),
            priority: account.priority,
        }),
        // Whether the request would be public is known of requests with a route only; one
        // without is refused for that.
        (None, None) => Ok(Caller::default()),
        (None, Some(route)) if route.is_public => Ok(Caller::default()),
        (None, Some(route)) => {
            let message = format!(
                "no account of configuration version {} holds the key, and route {} is not public",
                routes.version(),
                route.name
            );
            Err(Refusal::new(ErrorKind::UnknownKey, message))
        }
    }
}

/// Returns whether requests to endpoints name their account: only while accounts are
/// configured are the headers for it other than those that callers send for themselves.
pub(crate) const fn sets_account(routes: &RouteTable) -> bool {
    routes.accounts().is_some()
}
