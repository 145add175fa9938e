use std::{collections::BTreeMap, sync::Arc};

use super::Route;
use crate::core::{Name, accounts::AccountTable};

/// The configuration of one service's endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// The models that the endpoints serve; empty for a plain service.
    pub models: Vec<Name>,
    /// How many endpoints may be ordered, if their number is adjusted.
    pub scale_limits: Option<ScaleLimits>,
}

/// The terms on which the number of a service's endpoints is adjusted.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleLimits {
    /// The fewest endpoints in a data centre.
    pub min_endpoints: u32,
    /// The most endpoints in a data centre, reclaimable ones included.
    pub max_endpoints: u32,
    /// How long a new endpoint takes until it serves, in milliseconds.
    pub boot_ms: u64,
    /// The price of a reclaimable endpoint, as a share of that of another one; `None` if
    /// there are none.
    pub spot_price_share: Option<f64>,
    /// The price of an endpoint a second, by data centre.
    pub prices_per_s: BTreeMap<Name, f64>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub max_head_bytes: usize,
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// The time within which a caller must send a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// The routes of one version of the configuration.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::routes::RouteTable;
///
/// let table = RouteTable::default();
/// assert!(table.find("slips.example", "/a/b").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    /// The routes by host, longest prefix first.
    routes: BTreeMap<Name, Vec<Arc<Route>>>,
    pools: BTreeMap<Name, PoolSettings>,
    limits: Option<CallerLimits>,
    accounts: Option<Arc<AccountTable>>,
}

impl RouteTable {
    /// Creates the table of one configuration version.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        pools: BTreeMap<Name, PoolSettings>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: BTreeMap<Name, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            let host = route.host.clone();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            pools,
            limits: Some(limits),
            accounts: None,
        }
    }

    /// Returns the table with the accounts whose keys callers have to present.
    #[must_use]
    pub fn with_accounts(self, accounts: AccountTable) -> Self {
        Self {
            accounts: Some(Arc::new(accounts)),
            ..self
        }
    }

    /// Returns the accounts, or `None` if callers need no key.
    #[must_use]
    pub const fn accounts(&self) -> Option<&Arc<AccountTable>> {
        self.accounts.as_ref()
    }

    /// Returns the services and the configuration of their endpoints.
    #[must_use]
    pub const fn pools(&self) -> &BTreeMap<Name, PoolSettings> {
        &self.pools
    }

    /// Returns the configuration version, or 0 if no configuration is known.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the host's route with the longest prefix that matches the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the route with this name.
    #[must_use]
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<Route>> {
        let mut all = self.routes.values().flatten();
        all.find(|route| &*route.name == name)
    }

    /// Returns all routes.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns the services that serve a model.
    pub fn services_of_model(&self, model: &str) -> impl Iterator<Item = &Name> {
        let serves = move |pool: &PoolSettings| pool.models.iter().any(|name| &**name == model);
        let pools = self.pools.iter();
        pools.filter_map(move |(name, pool)| serves(pool).then_some(name))
    }

    /// Returns the limits for callers, or `None` if no configuration is known.
    #[must_use]
    pub const fn caller_limits(&self) -> Option<CallerLimits> {
        self.limits
    }
}
