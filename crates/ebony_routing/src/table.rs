//! Versions of the routing configuration.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ebony_types::ServiceName;

use crate::route::RouteRule;
use crate::service::ServiceRule;

/// The version of a table. Later versions have higher numbers, which need not be consecutive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoutingVersion(pub u64);

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head in bytes.
    pub head_bytes: usize,
    /// The largest request body in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send the head.
    pub head_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the routing configuration.
///
/// ```
/// use std::time::Duration;
/// use ebony_routing::{CallSemantics, CallerLimits, RouteRule, RoutingTable, RoutingVersion};
///
/// let limits = CallerLimits {
///     head_bytes: 16_384,
///     body_bytes: 1 << 20,
///     head_timeout: Duration::from_secs(3),
///     idle_timeout: Duration::from_secs(15),
/// };
/// let rule = |name: &str, prefix: &str| RouteRule {
///     name: name.into(),
///     host: "app.example".into(),
///     prefix: prefix.into(),
///     semantics: CallSemantics::Idempotent,
///     timeout: Duration::from_secs(1),
///     objective: Duration::from_millis(150),
///     max_targets: 2,
///     urgency: 0,
///     services: Vec::new(),
///     program: None,
/// };
/// let routes = vec![rule("all", "/"), rule("stock", "/stock/")];
/// let table = RoutingTable::open(RoutingVersion(7), routes, Vec::new(), limits);
/// assert_eq!(table.route("app.example", "/stock/drum").map(|route| route.name.as_str()), Some("stock"));
/// assert_eq!(table.route("app.example", "/other").map(|route| route.name.as_str()), Some("all"));
/// assert!(table.route("other.example", "/stock/drum").is_none());
/// ```
#[derive(Clone, Debug)]
pub struct RoutingTable {
    version: RoutingVersion,
    /// The routes of each host, longest prefix first.
    routes: HashMap<String, Vec<Rc<RouteRule>>>,
    services: HashMap<ServiceName, ServiceRule>,
    limits: CallerLimits,
}

impl RoutingTable {
    /// Creates a table.
    pub fn open(
        version: RoutingVersion,
        routes: Vec<RouteRule>,
        services: Vec<ServiceRule>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<RouteRule>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Rc::new(route));
        }
        for rules in by_host.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            services: services
                .into_iter()
                .map(|rule| (rule.name.clone(), rule))
                .collect(),
            limits,
        }
    }

    /// Returns the version.
    pub fn version(&self) -> RoutingVersion {
        self.version
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route of the host whose prefix is the longest one that the path starts with. The port and the case
    /// of the host are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = self.routes.get(&name.to_ascii_lowercase())?;
        rules.iter().find(|rule| path.starts_with(&rule.prefix))
    }

    /// Returns all routes, in unspecified order.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<RouteRule>> {
        self.routes.values().flatten()
    }

    /// Returns a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }
}
