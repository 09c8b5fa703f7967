//! Route table: the services that may run a request, and the limits that apply.

use {
    super::organisations::Organisations,
    crate::collections::{Map, Name},
    std::{sync::Arc, time::Duration},
};

/// One complete version of the routes that operators configured.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version; increases with each change.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Organisations whose callers identify themselves with keys.
    pub organisations: Organisations,
    /// Parts of this version that can't be read.
    pub unreadable: usize,
    /// Whether it isn't known for which requests some of these parts are.
    pub has_unknown_routes: bool,
    hosts: Map<Box<str>, Vec<Arc<Route>>>,
    services: Map<Name, ServiceRules>,
}

/// Limits on the size of callers' requests and on the time that they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest body of a request, bytes.
    pub body_bytes: usize,
    /// Largest head of a request, bytes.
    pub head_bytes: usize,
    /// Time in which the head of a request must have arrived.
    pub head_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Limits that apply to all leaves of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceRules {
    /// Connections that a leaf accepts from all hosts together; 0 when not stated.
    pub connections: u32,
    /// Requests a second that a cold leaf accepts from all hosts together; `None` when
    /// there is no limit.
    pub cold_rate: Option<f64>,
    /// Time for which a leaf is cold after its start.
    pub warmup_time: Duration,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in the table.
    pub name: Name,
    /// Host name in the callers' requests, in lower case.
    pub host: Box<str>,
    /// Prefix of the paths that it matches; starts and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub repeats: Repeats,
    /// Whether its requests need no key although there are organisations.
    pub is_public: bool,
    /// Longest time from a request to its response.
    pub timeout: Duration,
    /// Latency objective: time within which a response is worth most to the caller.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Most leaves of one service that may run one request.
    pub max_attempts: u32,
    /// Where requests go.
    pub destination: Destination,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// It may, since it is idempotent.
    Safe,
    /// It may not.
    Never,
}

impl Repeats {
    /// Returns the name that log lines use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Never => "never",
        }
    }
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    /// To one leaf of a service that is chosen by weight.
    Split(Vec<SplitService>),
    /// To one leaf of each shard, whose replies are merged.
    Shards(Shards),
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitService {
    /// Service that gets the share.
    pub service: Name,
    /// Weight of the share, relative to the other services.
    pub weight: f64,
}

/// The shards of a route and how their replies are merged.
#[derive(Clone, Debug, PartialEq)]
pub struct Shards {
    /// Service of each shard.
    pub services: Vec<Name>,
    /// Most records in a response.
    pub max_records: usize,
    /// Least ratio of shards whose replies make a response.
    pub min_ratio: f64,
}

impl Shards {
    /// Returns the minimum replies: the least number of shard replies that make a response.
    #[must_use]
    pub fn min_replies(&self) -> usize {
        // Without the small term, rounding errors would make 0.9 of 20 shards 19 replies.
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "numbers of shards are small"
        )]
        let min_replies = (self.min_ratio * self.services.len() as f64 - 1e-9).ceil() as usize;
        min_replies.clamp(1, self.services.len().max(1))
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 256 << 10,
            head_bytes: 64 << 10,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

impl RouteTable {
    /// Returns a table of `routes` and the rules of their services.
    #[must_use]
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Map<Name, ServiceRules>,
    ) -> Self {
        let mut hosts: Map<Box<str>, Vec<Arc<Route>>> = Map::default();
        for route in routes {
            let host = route.host.clone();
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            organisations: Organisations::default(),
            unreadable: 0,
            has_unknown_routes: false,
            hosts,
            services,
        }
    }

    /// Sets the organisations.
    #[must_use]
    pub fn with_organisations(mut self, organisations: Organisations) -> Self {
        self.organisations = organisations;
        self
    }

    /// Sets how many parts can't be read, and whether it isn't known for which requests some of them
    /// are.
    #[must_use]
    pub fn with_unreadable(mut self, unreadable: usize, has_unknown_routes: bool) -> Self {
        self.unreadable = unreadable;
        self.has_unknown_routes = has_unknown_routes;
        self
    }

    /// Returns the route of `host` with the longest prefix of `path`. The case of `host`
    /// and a port after it are ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the rules for the leaves of `service`.
    #[must_use]
    pub fn rules(&self, service: &str) -> ServiceRules {
        self.services.get(service).copied().unwrap_or_default()
    }

    /// Returns all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
