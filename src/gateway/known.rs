//! What a host knows, from which views and snapshots are made.

use {
    super::{
        Gateway,
        helpers::Helpers,
        view::{LeafHandle, Learned, Service, View},
    },
    crate::{
        clock::Millis,
        collections::{Map, Name},
        policy::admit::Admission,
        state::{
            allowance::{Allowance, Share},
            headcount::Headcount,
            roster::{Changed, Roster},
            routes::{Destination, RouteTable},
        },
        transport::{
            fleet::{Snapshot, Standing, Told},
            registry::{Changes, Entry, Heard},
        },
    },
    bytes::Bytes,
    slog::info,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Instant,
    },
};

/// What a host knows.
#[derive(Default)]
pub struct Known {
    /// Leaves, domains and entry hosts.
    pub roster: Roster,
    routes: Option<Arc<RouteTable>>,
    leaves: Map<Name, Arc<LeafHandle>>,
    allowances: Map<Name, Arc<Mutex<Allowance>>>,
    /// Hosts that ask leaves for all others, by the number of a request's shards.
    askers: Map<usize, Headcount>,
    begun: Option<Instant>,
    admissions: Map<Name, Arc<Mutex<Admission>>>,
    learned: Map<Name, Arc<Learned>>,
    headcount: Headcount,
    helpers: Arc<Helpers>,
    entries: Map<Name, Bytes>,
    revision: u64,
    /// Entry hosts that others told of.
    told: Vec<SocketAddr>,
}

impl Known {
    /// Takes in what the registry told; true when a view made of it would differ.
    pub fn hear(
        &mut self,
        gateway: &Gateway,
        changes: Changes,
        is_whole: bool,
        now: Millis,
    ) -> bool {
        for entry in &changes.unreadable {
            info!(gateway.log, "upkeep: an entry can't be read"; "entry" => entry);
        }
        let due = self.roster.tick(now);
        let told = if is_whole {
            self.roster.replace(changes.news, now)
        } else {
            let news = changes.news.into_iter();
            news.map(|news| self.roster.hear(news, now))
                .fold(Changed::default(), Changed::or)
        };
        let is_newer = changes
            .routes
            .is_some_and(|routes| self.adopt(gateway, routes));
        let all = due.or(told);
        all.leaves || all.members || is_newer
    }

    /// Keeps entries for other hosts.
    pub fn keep(&mut self, heard: Heard, is_whole: bool) {
        if is_whole {
            self.entries.clear();
        }
        for entry in heard.entries {
            match entry.value {
                Some(value) => self.entries.insert(entry.key, value),
                None => self.entries.remove(&entry.key),
            };
        }
        self.revision = heard.revision;
    }

    /// Returns the revision up to which everything is known; 0 before anything is.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether any routes are known.
    #[must_use]
    pub fn has_routes(&self) -> bool {
        self.routes.is_some()
    }

    /// Returns what other hosts may learn from this one.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let entries = self.entries.iter().map(|(key, value)| Entry {
            key: key.clone(),
            value: Some(value.clone()),
        });
        Snapshot {
            revision: self.revision,
            entries: Arc::new(Told::new(entries.collect())),
            peers: self.roster.members().map(|member| member.address).collect(),
            standing: Standing::default(),
        }
    }

    /// Notes entry hosts that another told of.
    pub fn note_peers(&mut self, peers: &[SocketAddr]) {
        self.told = peers.to_vec();
    }

    /// Returns the other entry hosts that may answer.
    #[must_use]
    pub fn peers(&self, gateway: &Gateway) -> Vec<SocketAddr> {
        let reloaded = gateway.reloaded();
        let members = self.roster.members().map(|member| member.address);
        let all = members.chain(self.told.iter().copied());
        let mut all: Vec<SocketAddr> = all.chain(reloaded.seeds.iter().copied()).collect();
        all.retain(|peer| Some(*peer) != gateway.settings.peer_address);
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Returns a view of all that is known.
    #[must_use]
    pub fn view(&mut self, gateway: &Gateway, now: Millis) -> View {
        let present = self.roster.members().count();
        let hosts = self.headcount.note(present, now);
        self.helpers = Arc::new(Helpers::new(self.roster.members(), &self.helpers));
        let services = self.usable(gateway);
        let mut learned = Map::default();
        for route in self.routes.iter().flat_map(|routes| routes.routes()) {
            let known = self.learned.get(&route.name).cloned();
            learned.insert(route.name.clone(), known.unwrap_or_default());
        }
        self.learned = learned;
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        gateway.metrics.leaves.set(count(self.leaves.len()));
        gateway.metrics.hosts.set(count(hosts));
        View {
            routes: self.routes.clone(),
            hosts,
            services: self.services(gateway, services, hosts, now),
            learned: self.learned.clone(),
            helpers: Arc::clone(&self.helpers),
        }
    }

    /// Closes connections to leaves that have been at rest for too long to be used again.
    pub fn close_old(&self, now: Instant) {
        for leaf in self.leaves.values() {
            leaf.pool.close_old(now);
        }
    }

    /// Puts newer routes in force; a version never goes back.
    fn adopt(&mut self, gateway: &Gateway, routes: RouteTable) -> bool {
        let known = self.routes.as_ref().map(|routes| routes.version);
        if known.is_some_and(|known| known >= routes.version) {
            return false;
        }
        info!(gateway.log, "upkeep: routes in force"; "version" => routes.version, "before" => known);
        let version = i64::try_from(routes.version).unwrap_or(i64::MAX);
        gateway.metrics.version.set(version);
        self.routes = Some(Arc::new(routes));
        true
    }

    /// Returns the usable leaves by service, with what is learned of each.
    fn usable(&mut self, gateway: &Gateway) -> Map<Name, Vec<Arc<LeafHandle>>> {
        let mut services: Map<Name, Vec<Arc<LeafHandle>>> = Map::default();
        let mut leaves: Map<Name, Arc<LeafHandle>> = Map::default();
        for leaf in self.roster.usable() {
            let known = self.leaves.get(&leaf.id);
            // Another address or start is another leaf: nothing learned of it holds.
            let known = known.filter(|known| known.leaf.is_same_start(leaf));
            let handle = known.cloned().unwrap_or_else(|| {
                info!(gateway.log, "upkeep: leaf usable"; "leaf" => &*leaf.id,
                    "service" => &*leaf.service, "address" => %leaf.address);
                Arc::new(LeafHandle::new(leaf.clone()))
            });
            handle.record_warmup(leaf.cold, Instant::now());
            leaves.insert(leaf.id.clone(), Arc::clone(&handle));
            services
                .entry(leaf.service.clone())
                .or_default()
                .push(handle);
        }
        for id in self.leaves.keys().filter(|id| !leaves.contains_key(*id)) {
            info!(gateway.log, "upkeep: leaf no longer used"; "leaf" => &**id);
        }
        self.leaves = leaves;
        services
    }

    fn services(
        &mut self,
        gateway: &Gateway,
        services: Map<Name, Vec<Arc<LeafHandle>>>,
        hosts: usize,
        now: Millis,
    ) -> Map<Name, Arc<Service>> {
        let shares = self.shares(gateway, now);
        let fleet = gateway.reloaded().allowance;
        let at = Instant::now();
        let age = at.saturating_duration_since(*self.begun.get_or_insert(at));
        let with_allowance = services.into_iter().map(|(name, leaves)| {
            let share = shares.get(&name).copied().unwrap_or(Share::Among(hosts));
            let allowance = self.allowances.entry(name.clone()).or_insert_with(|| {
                let allowance = if age > fleet.window {
                    Allowance::saved(&fleet, share, at)
                } else {
                    Allowance::new(at)
                };
                Arc::new(Mutex::new(allowance))
            });
            let service = Service {
                name: name.clone(),
                leaves,
                share,
                allowance: Arc::clone(allowance),
                admission: Arc::clone(self.admissions.entry(name.clone()).or_default()),
            };
            (name, Arc::new(service))
        });
        with_allowance.collect()
    }

    /// Returns who shares what may be sent again, for the services whose leaves few hosts ask
    /// for all.
    fn shares(&mut self, gateway: &Gateway, now: Millis) -> Map<Name, Share> {
        let mut by_service = Map::default();
        for route in self.routes.iter().flat_map(|routes| routes.routes()) {
            let Destination::Shards(shards) = &route.destination else {
                continue;
            };
            let count = shards.services.len();
            let share = match self.helpers.share(&gateway.settings.id, count) {
                // Those that were lost may have spent theirs.
                Some(Share::Among(askers)) => {
                    let seen = self.askers.entry(count).or_default();
                    Share::Among(seen.note(askers, now))
                }
                Some(Share::Others) => Share::Others,
                None => continue,
            };
            for service in &shards.services {
                by_service.insert(service.clone(), share);
            }
        }
        by_service
    }
}
