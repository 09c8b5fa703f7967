//! Follows the registry and publishes what it tells.

use {
    super::{
        Gateway,
        view::{LeafHandle, Learned, Service, View},
    },
    crate::{
        clock::Millis,
        collections::{Map, Name},
        state::{
            allowance::Allowance,
            roster::{Member, Roster},
            routes::RouteTable,
        },
        transport::registry::{Changes, Freshness, LeaseId, Registry, RegistryError},
    },
    slog::{info, warn},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    tokio_util::sync::CancellationToken,
};

/// Time for which a watch waits for a change. A connection that went silent without a
/// reset is noticed sooner, by the probes of [`guard_socket`](crate::transport::leaf).
const WATCH_TIME: Duration = Duration::from_secs(10);

/// Pause between two watches, so that leaves and hosts that come and go in numbers cost
/// one call; a change must be in force after 3 seconds.
const WATCH_PAUSE: Duration = Duration::from_millis(400);

/// Pause after a failed call: the platform's answer takes some milliseconds, and its
/// rates are shared by all hosts.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Length of the lease of this host's entry.
const LEASE_TIME: Duration = Duration::from_secs(20);

/// Time between renewals: three fit into a lease.
const RENEW_TIME: Duration = Duration::from_secs(6);

/// Time for which hosts that are gone still count among those that share the fleet's
/// limits: what they sent again counts that long.
const MEMORY_TIME: Duration = Duration::from_secs(10);

/// Hosts that share the limits while their number is not known.
const UNKNOWN_HOSTS: usize = 16;

/// What the host knows, from which views are made.
#[derive(Default)]
struct Known {
    roster: Roster,
    routes: Option<Arc<RouteTable>>,
    leaves: Map<Name, Arc<LeafHandle>>,
    allowances: Map<Name, Arc<Mutex<Allowance>>>,
    learned: Map<Name, Arc<Learned>>,
    /// Numbers of entry hosts seen lately, with the time of each.
    counts: VecDeque<(Millis, usize)>,
}

/// Follows the registry until `stop`.
pub async fn follow<R: Registry>(gateway: Arc<Gateway>, registry: Arc<R>, stop: CancellationToken) {
    let mut known = Known::default();
    let mut revision = None;
    let mut freshness = Freshness::Behind;
    while !stop.is_cancelled() {
        let asked = async {
            match revision {
                None => registry.load(freshness).await,
                Some(revision) => registry.watch(revision, WATCH_TIME).await,
            }
        };
        let heard = tokio::select! {
            () = stop.cancelled() => break,
            heard = asked => heard,
        };
        let now = Millis::now();
        gateway.metrics.called(heard.is_ok());
        match heard {
            Ok(changes) => {
                let is_whole = revision.is_none();
                revision = Some(changes.revision);
                let is_news = known.hear(&gateway, changes, is_whole, now);
                if is_news {
                    gateway.publish(known.view(&gateway, now));
                }
                if is_news && !is_whole {
                    sleep(WATCH_PAUSE).await;
                }
            }
            Err(RegistryError::HistoryGone) => {
                info!(gateway.log, "upkeep: history is gone, reading everything");
                // What lags behind may lie before the gap in the history again.
                freshness = Freshness::Present;
                revision = None;
                known.roster.was_away(now);
            }
            Err(error) => {
                warn!(gateway.log, "upkeep: the registry can't be read"; "error" => %error);
                known.roster.was_away(now);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Keeps this host's entry in the registry until `stop`, then takes it out.
pub async fn enlist<R: Registry>(gateway: Arc<Gateway>, registry: Arc<R>, stop: CancellationToken) {
    let address = gateway
        .settings
        .peer_address
        .unwrap_or(gateway.settings.caller_address);
    let member = Member {
        id: gateway.settings.id.clone(),
        address,
    };
    let mut lease: Option<LeaseId> = None;
    while !stop.is_cancelled() {
        let pause = match renew(&*registry, &member, lease).await {
            Ok(held) => {
                lease = Some(held);
                RENEW_TIME
            }
            Err(RegistryError::LeaseGone) => {
                info!(gateway.log, "upkeep: this host's lease has ended");
                lease = None;
                Duration::ZERO
            }
            Err(error) => {
                warn!(gateway.log, "upkeep: this host's entry can't be kept"; "error" => %error);
                RETRY_PAUSE * 2
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = sleep(pause) => {}
        }
    }
    if let Some(lease) = lease
        && let Err(error) = registry.leave(lease).await
    {
        info!(gateway.log, "upkeep: this host's entry stays until its lease ends"; "error" => %error);
    }
}

async fn renew<R: Registry>(
    registry: &R,
    member: &Member,
    lease: Option<LeaseId>,
) -> Result<LeaseId, RegistryError> {
    match lease {
        Some(lease) => registry.renew(lease).await.map(|()| lease),
        None => registry.enlist(member, LEASE_TIME).await,
    }
}

impl Known {
    /// Takes in what the registry told; true when a view made of it would differ.
    fn hear(&mut self, gateway: &Gateway, changes: Changes, is_whole: bool, now: Millis) -> bool {
        for entry in &changes.unreadable {
            info!(gateway.log, "upkeep: an entry can't be read"; "entry" => entry);
        }
        let mut changed = if is_whole {
            self.roster.replace(changes.news, now)
        } else {
            let mut changed = self.roster.tick(now);
            for news in changes.news {
                changed = changed.or(self.roster.hear(news, now));
            }
            changed
        };
        changed = changed.or(self.roster.tick(now));
        let is_newer = changes
            .routes
            .is_some_and(|routes| self.adopt(gateway, routes));
        changed.leaves || changed.members || is_newer
    }

    /// Puts newer routes in force; a version never goes back.
    fn adopt(&mut self, gateway: &Gateway, routes: RouteTable) -> bool {
        let known = self.routes.as_ref().map(|routes| routes.version);
        if known.is_some_and(|known| known >= routes.version) {
            return false;
        }
        info!(gateway.log, "upkeep: routes in force"; "version" => routes.version, "before" => known);
        gateway
            .metrics
            .version
            .set(i64::try_from(routes.version).unwrap_or(i64::MAX));
        self.routes = Some(Arc::new(routes));
        true
    }

    fn view(&mut self, gateway: &Gateway, now: Millis) -> View {
        let hosts = self.hosts(now);
        let mut services: Map<Name, Vec<Arc<LeafHandle>>> = Map::default();
        let mut leaves: Map<Name, Arc<LeafHandle>> = Map::default();
        for leaf in self.roster.usable() {
            let known = self.leaves.get(&leaf.id);
            // Another address or start is another leaf: nothing learned of it holds.
            let known = known.filter(|known| {
                (known.leaf.address, known.leaf.born) == (leaf.address, leaf.born)
                    && known.leaf.service == leaf.service
            });
            let handle = known.cloned().unwrap_or_else(|| {
                info!(gateway.log, "upkeep: leaf usable"; "leaf" => &*leaf.id, "service" => &*leaf.service);
                Arc::new(LeafHandle::new(leaf.clone()))
            });
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
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        gateway.metrics.leaves.set(count(self.leaves.len()));
        gateway.metrics.hosts.set(count(hosts));
        let mut learned = Map::default();
        for route in self.routes.iter().flat_map(|routes| routes.routes()) {
            let known = self.learned.get(&route.name).cloned();
            learned.insert(route.name.clone(), known.unwrap_or_default());
        }
        self.learned = learned;
        View {
            routes: self.routes.clone(),
            hosts,
            services: self.services(services),
            learned: self.learned.clone(),
        }
    }

    fn services(&mut self, services: Map<Name, Vec<Arc<LeafHandle>>>) -> Map<Name, Arc<Service>> {
        let with_allowance = services.into_iter().map(|(name, leaves)| {
            let allowance = self
                .allowances
                .entry(name.clone())
                .or_insert_with(|| Arc::new(Mutex::new(Allowance::new(Instant::now()))));
            let service = Service {
                name: name.clone(),
                leaves,
                allowance: Arc::clone(allowance),
            };
            (name, Arc::new(service))
        });
        with_allowance.collect()
    }

    /// Returns the most entry hosts seen within [`MEMORY_TIME`].
    fn hosts(&mut self, now: Millis) -> usize {
        let present = self.roster.members().count();
        self.counts.push_back((now, present));
        while self
            .counts
            .front()
            .is_some_and(|(at, _)| now.since(*at) > MEMORY_TIME && self.counts.len() > 1)
        {
            self.counts.pop_front();
        }
        let most = self.counts.iter().map(|(_, count)| *count).max();
        most.filter(|most| *most > 0).unwrap_or(UNKNOWN_HOSTS)
    }
}
