//! Versions of the routing configuration.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ebony_types::{CustomerName, ServiceName};

use crate::customer::{CallerIdentity, CustomerFault, CustomerRule, KeyDigest};
use crate::directory::{CustomerDirectory, Result};
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
///     is_public: false,
///     is_sticky: false,
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
    /// The customers; `None` if the configuration has none, so that calls need no key.
    customers: Option<CustomerDirectory>,
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
            customers: None,
        }
    }

    /// Adds customers. From then on, calls on routes that are not public need a known key, even if there are no
    /// customers in the directory.
    #[must_use]
    pub fn with_customers(mut self, customers: CustomerDirectory) -> Self {
        self.customers = Some(customers);
        self
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

    /// Returns whether customers are configured, which includes an empty list of them.
    pub fn has_customers(&self) -> bool {
        self.customers.is_some()
    }

    /// Returns a customer.
    pub fn customer(&self, name: &CustomerName) -> Option<&Rc<CustomerRule>> {
        self.customers.as_ref()?.customer(name)
    }

    /// Returns all customers, in unspecified order.
    pub fn customers(&self) -> impl Iterator<Item = &Rc<CustomerRule>> {
        self.customers.iter().flat_map(CustomerDirectory::customers)
    }

    /// Returns the parts of the list of customers that could not be used as they were written.
    pub fn customer_faults(&self) -> &[CustomerFault] {
        self.customers.as_ref().map_or(&[], CustomerDirectory::faults)
    }

    /// Decides on whose behalf a call is made. `key` is `None` if the call has no usable key.
    ///
    /// # Errors
    ///
    /// Fails if the route requires a known key and the call has none.
    pub fn identify(&self, route: &RouteRule, key: Option<&KeyDigest>) -> Result<CallerIdentity> {
        let Some(customers) = &self.customers else {
            return Ok(CallerIdentity::Unrestricted);
        };
        match customers.find(key) {
            Ok(rule) => Ok(CallerIdentity::Customer(rule.name.clone())),
            Err(_) if route.is_public => Ok(CallerIdentity::Public),
            Err(error) => Err(error),
        }
    }

    /// Returns the urgency of a call: that of its customer, or else of its route; 0 is the most urgent.
    pub fn urgency(&self, route: &RouteRule, identity: &CallerIdentity) -> u8 {
        let customer = identity.customer().and_then(|name| self.customer(name));
        let priority = customer.and_then(|customer| customer.priority);
        priority.unwrap_or(route.urgency)
    }

    /// Replaces the quotas that could not be read by those that were in force in `before`.
    pub fn keep_quotas(&mut self, before: &Self) {
        if let (Some(customers), Some(before)) = (&mut self.customers, &before.customers) {
            customers.keep_quotas(before);
        }
    }

    /// Returns a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }
}
