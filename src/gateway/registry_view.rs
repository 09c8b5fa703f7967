//! A host's decoded copy of the registry, and the statistics and budgets that outlive a
//! view.
//!
//! [`View`]s for requests and registry copies for other hosts are built from it.

use {
    super::{
        Gateway,
        helpers::HelperPool,
        view::{LeafHandle, RouteStats, Service, View},
    },
    crate::{
        clock::Millis,
        collections::{Map, Name},
        policy::admission::Admission,
        state::{
            fleet_budget::{BudgetShare, HostBudget},
            host_count::HostCount,
            revision::Revision,
            roster::{ChangedParts, Roster},
            routes::{Destination, RouteTable},
        },
        transport::{
            fleet::{EncodedEntries, RegistryState, SyncStatus},
            registry::{DecodedEntries, Entry, RegistryUpdate},
        },
    },
    bytes::Bytes,
    slog::{info, warn},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Time for which helpers still count that are no longer chosen: their retries count against
/// the fleet retry budget for that long.
const HELPER_COUNT_TTL: Duration = Duration::from_secs(10);

/// A host's copy of the registry, with the state that outlives a view.
#[derive(Default)]
pub struct RegistryView {
    /// Leaves, domains and entry hosts.
    pub roster: Roster,
    routes: Option<Arc<RouteTable>>,
    /// Whether the newest routes can't be read, so that these may be older.
    has_unread_routes: bool,
    leaves: Map<Name, Arc<LeafHandle>>,
    retry_budgets: Map<Name, Arc<Mutex<HostBudget>>>,
    /// Number of hosts that query leaves for all others, by the number of a request's
    /// shards.
    helper_counts: Map<usize, HostCount>,
    /// When the first view was built.
    started_at: Option<Instant>,
    admissions: Map<Name, Arc<Mutex<Admission>>>,
    /// Statistics of each route, by its name.
    route_stats: Map<Name, Arc<RouteStats>>,
    host_count: HostCount,
    helpers: Arc<HelperPool>,
    /// Undecoded entries, for other hosts.
    entries: Map<Name, Bytes>,
    revision: Revision,
    /// Revision that last changed the routes, or may have.
    routes_at: Revision,
    /// Addresses of entry hosts that another host reported.
    reported_peers: Vec<SocketAddr>,
}

impl RegistryView {
    /// Applies decoded entries, which are the whole registry if `is_full`, and the removals
    /// that are due. Returns whether a view built now would differ.
    pub fn apply_changes(
        &mut self,
        gateway: &Gateway,
        changes: DecodedEntries,
        is_full: bool,
        now: Millis,
    ) -> bool {
        for entry in &changes.unreadable {
            gateway.metrics.config.unreadable_entries.inc();
            warn!(gateway.log, "registry_sync: entry can't be decoded"; "entry" => entry);
        }
        if changes.has_unread_routes || changes.routes.is_some() {
            self.has_unread_routes = changes.has_unread_routes;
            gateway.record_unread_routes(self.has_unread_routes);
        }
        let due = self.roster.apply_due_changes(now);
        let received = if is_full {
            self.roster.apply_copy(changes.roster_changes, now)
        } else {
            let changes = changes.roster_changes.into_iter();
            changes
                .map(|change| self.roster.apply_change(change, now))
                .fold(ChangedParts::default(), ChangedParts::union)
        };
        let is_newer = changes
            .routes
            .is_some_and(|routes| self.apply_routes(gateway, routes));
        let all = due.union(received);
        all.leaves || all.members || is_newer
    }

    /// Stores the undecoded entries of `update`, which may change the routes if `has_routes`, for
    /// other hosts.
    pub fn store_entries(&mut self, update: RegistryUpdate, is_full: bool, has_routes: bool) {
        if is_full || has_routes {
            self.routes_at = update.revision;
        }
        if is_full {
            self.entries.clear();
        }
        for entry in update.entries {
            match entry.value {
                Some(value) => self.entries.insert(entry.key, value),
                None => self.entries.remove(&entry.key),
            };
        }
        self.revision = update.revision;
    }

    /// Returns the registry revision of this copy; the initial one before the first update.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision that last changed the routes of this copy, or may have.
    #[must_use]
    pub fn routes_at(&self) -> Revision {
        self.routes_at
    }

    /// Returns whether the newest routes can't be read.
    #[must_use]
    pub fn has_unread_routes(&self) -> bool {
        self.has_unread_routes
    }

    /// Returns whether any routes were received.
    #[must_use]
    pub fn has_routes(&self) -> bool {
        self.routes.is_some()
    }

    /// Returns the registry copy that other hosts may sync from, with an empty sync status.
    #[must_use]
    pub fn registry_state(&self) -> RegistryState {
        let entries = self.entries.iter().map(|(key, value)| Entry {
            key: key.clone(),
            value: Some(value.clone()),
        });
        RegistryState {
            revision: self.revision,
            entries: Arc::new(EncodedEntries::new(entries.collect())),
            peers: self.roster.members().map(|member| member.address).collect(),
            sync_status: SyncStatus::default(),
        }
    }

    /// Replaces the entry hosts that another host reported.
    pub fn set_reported_peers(&mut self, peers: &[SocketAddr]) {
        self.reported_peers = peers.to_vec();
    }

    /// Returns the addresses of all other entry hosts that are known: from the registry,
    /// from another host, and the seeds. Some may have ended.
    #[must_use]
    pub fn peers(&self, gateway: &Gateway) -> Vec<SocketAddr> {
        let reloaded = gateway.reloaded();
        let members = self.roster.members().map(|member| member.address);
        let all = members.chain(self.reported_peers.iter().copied());
        let mut all: Vec<SocketAddr> = all.chain(reloaded.seeds.iter().copied()).collect();
        all.retain(|peer| Some(*peer) != gateway.settings.peer_address);
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Builds a view of the present state, with the state that outlives views carried over.
    #[must_use]
    pub fn build_view(&mut self, gateway: &Gateway, now: Millis) -> View {
        let present = self.roster.members().count();
        let hosts = self.host_count.record_count(present, now);
        self.helpers = Arc::new(HelperPool::new(
            self.roster.members(),
            &self.helpers,
            &gateway.settings.id,
            Instant::now(),
        ));
        gateway.record_versions(self.roster.usable());
        let leaves = self.usable_leaves(gateway);
        let mut route_stats = Map::default();
        for route in self.routes.iter().flat_map(|routes| routes.routes()) {
            let known = self.route_stats.get(&route.name).cloned();
            route_stats.insert(route.name.clone(), known.unwrap_or_default());
        }
        self.route_stats = route_stats;
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        gateway.metrics.leaves.set(count(self.leaves.len()));
        gateway.metrics.hosts.set(count(hosts));
        View {
            routes: self.routes.clone(),
            hosts,
            services: self.build_services(gateway, leaves, hosts, now),
            route_stats: self.route_stats.clone(),
            helpers: Arc::clone(&self.helpers),
        }
    }

    /// Closes connections to leaves that have been idle for too long to be reused.
    pub fn close_idle_connections(&self, now: Instant) {
        for leaf in self.leaves.values() {
            leaf.pool.close_expired(now);
        }
    }

    /// Applies `routes` and returns true if their version is higher than the present one;
    /// the version never goes back.
    fn apply_routes(&mut self, gateway: &Gateway, routes: RouteTable) -> bool {
        let known = self.routes.as_ref().map(|routes| routes.version);
        if known.is_some_and(|known| known >= routes.version) {
            return false;
        }
        info!(gateway.log, "registry_sync: routes applied"; "version" => routes.version, "before" => known,
            "unreadable" => routes.unreadable);
        gateway.metrics.config.record_parts(routes.unreadable);
        let version = i64::try_from(routes.version).unwrap_or(i64::MAX);
        gateway.metrics.config.version.set(version);
        self.routes = Some(Arc::new(routes));
        true
    }

    /// Returns the usable leaves by service, with the statistics collected of each.
    fn usable_leaves(&mut self, gateway: &Gateway) -> Map<Name, Vec<Arc<LeafHandle>>> {
        let mut services: Map<Name, Vec<Arc<LeafHandle>>> = Map::default();
        let mut leaves: Map<Name, Arc<LeafHandle>> = Map::default();
        for leaf in self.roster.usable() {
            let known = self.leaves.get(&leaf.id);
            // Another address or start is another leaf: its earlier statistics do not apply.
            let known = known.filter(|known| known.leaf.is_same_start(leaf));
            let handle = known.cloned().unwrap_or_else(|| {
                info!(gateway.log, "registry_sync: leaf is usable"; "leaf" => &*leaf.id,
                    "service" => &*leaf.service, "version" => &*leaf.version, "address" => %leaf.address);
                let handle = LeafHandle::new(leaf.clone());
                Arc::new(handle.with_learning(gateway.settings.learning))
            });
            handle.record_warmup(leaf.warmup_left, Instant::now());
            leaves.insert(leaf.id.clone(), Arc::clone(&handle));
            services
                .entry(leaf.service.clone())
                .or_default()
                .push(handle);
        }
        for id in self.leaves.keys().filter(|id| !leaves.contains_key(*id)) {
            info!(gateway.log, "registry_sync: leaf is no longer usable"; "leaf" => &**id);
        }
        self.leaves = leaves;
        services
    }

    /// Builds the services of a view from their usable `leaves`.
    fn build_services(
        &mut self,
        gateway: &Gateway,
        leaves: Map<Name, Vec<Arc<LeafHandle>>>,
        hosts: usize,
        now: Millis,
    ) -> Map<Name, Arc<Service>> {
        let shares = self.budget_shares(gateway, now);
        let fleet = gateway.reloaded().retry_budget;
        let at = Instant::now();
        let age = at.saturating_duration_since(*self.started_at.get_or_insert(at));
        let services = leaves.into_iter().map(|(name, leaves)| {
            let share = shares
                .get(&name)
                .copied()
                .unwrap_or(BudgetShare::DividedAmong(hosts));
            let budget = self.retry_budgets.entry(name.clone()).or_insert_with(|| {
                let budget = if age > fleet.window {
                    HostBudget::full(&fleet, share, at)
                } else {
                    HostBudget::new(at)
                };
                Arc::new(Mutex::new(budget))
            });
            let service = Service {
                name: name.clone(),
                leaves,
                budget_share: share,
                retry_budget: Arc::clone(budget),
                admission: Arc::clone(self.admissions.entry(name.clone()).or_default()),
            };
            (name, Arc::new(service))
        });
        services.collect()
    }

    /// Returns which hosts share the fleet retry budget, for each service whose leaves only
    /// some hosts query on behalf of all.
    fn budget_shares(&mut self, gateway: &Gateway, now: Millis) -> Map<Name, BudgetShare> {
        let mut by_service = Map::default();
        for route in self.routes.iter().flat_map(|routes| routes.routes()) {
            let Destination::Shards(shards) = &route.destination else {
                continue;
            };
            let count = shards.services.len();
            let share = match self.helpers.share(&gateway.settings.id, count) {
                // Hosts that ended a moment ago may have spent their share of the budget.
                Some(BudgetShare::DividedAmong(helpers)) => {
                    let recent = self.helper_counts.entry(count);
                    let recent = recent.or_insert_with(|| HostCount::new(HELPER_COUNT_TTL));
                    BudgetShare::DividedAmong(recent.record_count(helpers, now))
                }
                Some(BudgetShare::OtherHosts) => BudgetShare::OtherHosts,
                None => continue,
            };
            for service in &shards.services {
                by_service.insert(service.clone(), share);
            }
        }
        by_service
    }
}
