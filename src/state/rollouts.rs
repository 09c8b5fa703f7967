//! Rollouts as one host knows them: orders, how far each has come, which leaves may get requests,
//! and the replies of each version that this host has seen.

use {
    crate::{
        clock::{Millis, millis},
        collections::{Map, Name, Set, hash},
    },
    std::time::Duration,
};

/// Time for which leaves of a version that no order names get no requests beside those of the
/// versions that serve: an order that names it may be on its way.
const ADOPTION_TIME: Duration = Duration::from_secs(10);

/// Factor over the usual latency of a route's replies from which a reply is slow.
const SLOW_FACTOR: f64 = 2.0;

/// Largest factor by which the usual latency may have risen since the rollout began.
const MAX_DRIFT: f64 = 2.0;

/// Least latency of a slow reply: shorter ones say nothing of a version.
const MIN_SLOW: Duration = Duration::from_millis(4);

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The version.
    pub target: Name,
    /// Time for the rollout.
    pub time: Duration,
}

impl Order {
    /// Returns the number by which hosts recognise the order.
    #[must_use]
    pub fn id(&self) -> u64 {
        hash(&self.target, hash(&self.service, millis(self.time)))
    }
}

/// How far a rollout has come. Of two stages of one order, the later in this list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// The new version gets a share of the requests.
    Trial,
    /// It gets all; the former version could serve again.
    Full,
    /// It gets none.
    RolledBack,
    /// The leaves of the former version have ended, or are about to.
    Completed,
}

impl Phase {
    /// Returns whether nothing follows.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }

    /// Returns the name that logs use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Full => "full",
            Self::RolledBack => "rolled_back",
            Self::Completed => "completed",
        }
    }
}

/// How far the rollout of a service has come, as all hosts are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// The service.
    pub service: Name,
    /// Number of the order.
    pub order: u64,
    /// The new version.
    pub target: Name,
    /// Versions that served before.
    pub former: Vec<Name>,
    /// How far it has come.
    pub phase: Phase,
    /// When the order was first seen, Unix milliseconds.
    pub started_ms: u64,
    /// Requests since the order, when this was written.
    pub all: u64,
    /// Those of them that were sent to the new version.
    pub sent: u64,
}

/// The host that drives rollouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Driver {
    /// Its name.
    pub host: Name,
    /// Lease under which it does.
    pub lease: u64,
}

/// A change that the registry tells of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutChange {
    /// An order was written.
    Ordered(Order),
    /// The order of a service was removed.
    OrderGone(Name),
    /// A stage was written.
    Staged(Stage),
    /// The stage of a service was removed.
    StageGone(Name),
    /// A host has become the driver.
    Driver(Driver),
    /// There is no driver any more.
    DriverGone,
}

/// Replies of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Replies, and failures without one.
    pub replies: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that were slow and did not fail.
    pub slow: u64,
}

impl Tally {
    /// Returns how many were bad.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.failed + self.slow
    }

    /// Adds the replies of `other`.
    pub fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.replies += other.replies;
        self.failed += other.failed;
        self.slow += other.slow;
    }

    /// Returns the replies since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            replies: self.replies.saturating_sub(earlier.replies),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

/// Replies of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Of the new version.
    pub target: Tally,
    /// Of the former ones.
    pub former: Tally,
}

/// The replies of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteReplies {
    /// Of the new version.
    pub target: Tally,
    /// Of the former one.
    pub former: Tally,
    /// Those of the new version in the last seconds.
    pub recent_target: Tally,
    /// Those of the former one in the last seconds.
    pub recent_former: Tally,
}

impl RouteReplies {
    /// Returns the last replies of the new version beside all of the former one.
    #[must_use]
    pub fn recent(&self) -> Self {
        Self {
            target: self.recent_target,
            ..*self
        }
    }
}

/// Which of a service's leaves may get a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    /// Those of these versions.
    Only(Vec<Name>),
    /// All but those of these versions.
    Except(Vec<Name>),
    /// Those of the former versions; first attempts go to the target at this share.
    Trial {
        /// Former versions.
        former: Vec<Name>,
        /// New version.
        target: Name,
        /// Share of the first attempts.
        share: f64,
    },
    /// Those of the target; without any, those of the fallback.
    Target {
        /// New version.
        target: Name,
        /// Former versions that can still serve.
        fallback: Vec<Name>,
    },
}

impl Selection {
    /// Returns whether a leaf of `version` may get a request that is not on trial. `has_target`
    /// states whether the service has a usable leaf of the target.
    #[must_use]
    pub fn permits(&self, version: &Name, has_target: bool) -> bool {
        match self {
            Self::Only(versions)
            | Self::Trial {
                former: versions, ..
            } => versions.contains(version),
            Self::Except(versions) => !versions.contains(version),
            Self::Target { target, fallback } => {
                if has_target {
                    version == target
                } else {
                    fallback.contains(version)
                }
            }
        }
    }

    /// Returns the version that a first attempt with `draw`, from 0 to 1, tries; `None` if it is
    /// not on trial.
    #[must_use]
    pub fn trial_version(&self, draw: f64) -> Option<&Name> {
        match self {
            Self::Trial { target, share, .. } if draw < *share => Some(target),
            _ => None,
        }
    }

    /// Returns the new version, if it can have leaves in use.
    #[must_use]
    pub fn target(&self) -> Option<&Name> {
        match self {
            Self::Trial { target, .. } | Self::Target { target, .. } => Some(target),
            Self::Only(_) | Self::Except(_) => None,
        }
    }
}

/// What the driver tells a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Directive {
    /// Stage of a service.
    pub stage: Stage,
    /// Share of the new version on trial.
    pub share: f64,
}

/// What a host tells the driver about one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReport {
    /// The service.
    pub service: Name,
    /// Number of the order.
    pub order: u64,
    /// The stage that the host follows; `None` before it knows one.
    pub phase: Option<Phase>,
    /// Requests in flight at leaves of the former versions.
    pub former_in_flight: u64,
    /// Replies by route, since the host knows of the order.
    pub routes: Vec<(Name, RouteCounts)>,
}

#[derive(Debug)]
struct KnownOrder {
    order: Order,
    seen_at: Millis,
    /// Whether it was there before this host.
    is_earlier: bool,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    order: u64,
    former_in_flight: u64,
    routes: Map<Name, RouteCounts>,
    /// Usual latency of each route's replies when its first request was counted.
    usual: Map<Name, Duration>,
}

#[derive(Debug, Default)]
struct KnownVersions {
    serving: Set<Name>,
    /// Versions that no order names, with the time at which each was first seen.
    waiting: Map<Name, Millis>,
    present: Set<Name>,
}

/// A request that is counted for a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    service: Name,
    route: Name,
    order: u64,
    is_target: bool,
    slow_from: Duration,
}

impl Sample {
    /// Returns whether the request went to the new version.
    #[must_use]
    pub fn is_target(&self) -> bool {
        self.is_target
    }
}

/// How a counted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleEnd {
    /// With a reply that is no failure.
    Replied,
    /// With a failure of the leaf.
    Failed,
    /// Without either.
    Unknown,
}

/// Rollouts as one host knows them.
#[derive(Debug, Default)]
pub struct Rollouts {
    orders: Map<Name, KnownOrder>,
    /// Latest stage of each service that this host was told of.
    stages: Map<Name, Stage>,
    /// Stages in the registry.
    stored: Map<Name, Stage>,
    driver: Option<Driver>,
    shares: Map<Name, f64>,
    /// Until when the driver is taken to see this host's replies.
    contact_until: Millis,
    counts: Map<Name, ServiceCounts>,
    versions: Map<Name, KnownVersions>,
}

impl Rollouts {
    /// Applies what the registry tells; `is_full` if that is all that it has.
    pub fn apply_changes(&mut self, changes: Vec<RolloutChange>, is_full: bool, now: Millis) {
        if is_full {
            let is_listed = |service: &Name| {
                let mut orders = changes.iter();
                orders.any(
                    |change| matches!(change, RolloutChange::Ordered(order) if order.service == *service),
                )
            };
            self.orders.retain(|service, _| is_listed(service));
            self.stored.clear();
            self.driver = None;
        }
        for change in changes {
            match change {
                RolloutChange::Ordered(order) => self.add_order(order, is_full, now),
                RolloutChange::OrderGone(service) => drop(self.orders.remove(&service)),
                RolloutChange::Staged(stage) => {
                    self.merge_stage(stage.clone());
                    self.stored.insert(stage.service.clone(), stage);
                }
                RolloutChange::StageGone(service) => drop(self.stored.remove(&service)),
                RolloutChange::Driver(driver) => self.driver = Some(driver),
                RolloutChange::DriverGone => self.driver = None,
            }
        }
    }

    fn add_order(&mut self, order: Order, is_earlier: bool, now: Millis) {
        let known = self.orders.get(&order.service);
        if known.is_some_and(|known| known.order == order) {
            return;
        }
        let known = KnownOrder {
            order,
            seen_at: now,
            is_earlier,
        };
        self.orders.insert(known.order.service.clone(), known);
    }

    /// Takes over a stage unless a later one of the same order is known, or it is of an order that
    /// doesn't stand.
    pub fn merge_stage(&mut self, stage: Stage) {
        let known = self.stages.get(&stage.service);
        let is_news = match known {
            None => true,
            Some(known) if known.order == stage.order => known.phase < stage.phase,
            Some(_) => self.order_id(&stage.service) == Some(stage.order),
        };
        if is_news {
            self.stages.insert(stage.service.clone(), stage);
        }
    }

    /// Returns whether there is nothing that restricts the choice of leaves.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let mut versions = self.versions.values();
        self.orders.is_empty()
            && self.stages.is_empty()
            && versions.all(|versions| versions.waiting.is_empty())
    }

    /// Returns the host that drives rollouts.
    #[must_use]
    pub fn driver(&self) -> Option<&Driver> {
        self.driver.as_ref()
    }

    /// Returns the order of `service`.
    #[must_use]
    pub fn order(&self, service: &str) -> Option<&Order> {
        self.orders.get(service).map(|known| &known.order)
    }

    fn order_id(&self, service: &str) -> Option<u64> {
        self.order(service).map(Order::id)
    }

    /// Returns the latest known stage of the present order of `service`.
    #[must_use]
    pub fn stage(&self, service: &str) -> Option<&Stage> {
        let stage = self.stages.get(service)?;
        (Some(stage.order) == self.order_id(service)).then_some(stage)
    }

    /// Returns the orders of which the registry has no final stage.
    #[must_use]
    pub fn open_orders(&self) -> Vec<Order> {
        let is_open = |known: &&KnownOrder| {
            let stored = self.stored.get(&known.order.service);
            !stored
                .is_some_and(|stored| stored.order == known.order.id() && stored.phase.is_final())
        };
        let open = self.orders.values().filter(is_open);
        open.map(|known| known.order.clone()).collect()
    }

    /// Returns the time since the order of `service` was given, as this host knows it;
    /// `unix_ms` is the time of day.
    #[must_use]
    pub fn elapsed(&self, service: &str, now: Millis, unix_ms: u64) -> Duration {
        let Some(known) = self.orders.get(service) else {
            return Duration::ZERO;
        };
        let seen = now.since(known.seen_at);
        let stage = self.stage(service).filter(|_| known.is_earlier);
        // Clocks differ: more than twice the order's time is no measure.
        let stated = stage.map_or(Duration::ZERO, |stage| {
            Duration::from_millis(unix_ms.saturating_sub(stage.started_ms))
        });
        seen.max(stated.min(known.order.time * 2))
    }

    /// Returns the first stage of the order of `service`, by what served it before.
    #[must_use]
    pub fn first_stage(&self, order: &Order, started_ms: u64) -> Stage {
        let mut former = match self.stages.get(&order.service) {
            Some(before) if before.phase == Phase::Completed => vec![before.target.clone()],
            Some(before) => before.former.clone(),
            None => {
                let versions = self.versions.get(&order.service);
                let serving = versions.into_iter().flat_map(|versions| &versions.serving);
                let mut serving: Vec<Name> = serving.cloned().collect();
                serving.sort_unstable();
                serving
            }
        };
        former.retain(|version| *version != order.target);
        Stage {
            service: order.service.clone(),
            order: order.id(),
            target: order.target.clone(),
            former,
            phase: Phase::Trial,
            started_ms,
            all: 0,
            sent: 0,
        }
    }

    /// Records the versions of the usable leaves of all services.
    pub fn record_leaves(&mut self, mut present: Map<Name, Set<Name>>, now: Millis) {
        for service in self.versions.keys() {
            present.entry(service.clone()).or_default();
        }
        for (service, versions) in present {
            self.record_versions(&service, versions, now);
        }
    }

    fn record_versions(&mut self, service: &Name, present: Set<Name>, now: Millis) {
        let target = self.orders.get(service).map(|known| &known.order.target);
        let known = self.versions.entry(service.clone()).or_default();
        let is_first = known.serving.is_empty() && known.waiting.is_empty();
        known.waiting.retain(|version, _| present.contains(version));
        for version in &present {
            if known.serving.contains(version) || Some(version) == target {
                continue;
            }
            let since = *known.waiting.entry(version.clone()).or_insert(now);
            if is_first || now.since(since) >= ADOPTION_TIME {
                known.waiting.remove(version);
                known.serving.insert(version.clone());
            }
        }
        known.present = present;
    }

    /// Returns which leaves of `service` may get requests; `None` if all may. `copy_age` is the
    /// age of this host's copy of the registry, and `max_age` that up to which it is trusted.
    #[must_use]
    pub fn select(
        &self,
        service: &str,
        now: Millis,
        copy_age: Duration,
        max_age: Duration,
    ) -> Option<Selection> {
        let Some(stage) = self.stages.get(service) else {
            return self.select_without_stage(service, now);
        };
        let is_current = Some(stage.order) == self.order_id(service);
        let former = || Selection::Only(stage.former.clone());
        let target = |fallback| Selection::Target {
            target: stage.target.clone(),
            fallback,
        };
        Some(match stage.phase {
            Phase::Completed if self.is_present(service, &stage.target) => target(Vec::new()),
            // Leaves of another version have replaced them.
            Phase::Completed => Selection::Except(stage.former.clone()),
            Phase::Trial | Phase::Full if stage.former.is_empty() => target(Vec::new()),
            _ if !is_current => former(),
            Phase::RolledBack => former(),
            Phase::Trial => match self.shares.get(service) {
                Some(share) if now < self.contact_until => Selection::Trial {
                    former: stage.former.clone(),
                    target: stage.target.clone(),
                    share: *share,
                },
                _ => former(),
            },
            // Nobody sees this host's replies: if the former version had been given up, the
            // registry would tell.
            Phase::Full if now >= self.contact_until && copy_age <= max_age => former(),
            Phase::Full => target(stage.former.clone()),
        })
    }

    fn select_without_stage(&self, service: &str, now: Millis) -> Option<Selection> {
        let versions = self.versions.get(service);
        let mut withheld: Vec<Name> = Vec::new();
        if let Some(versions) = versions {
            let serves = versions.present.iter();
            let serves = serves.filter(|version| versions.serving.contains(*version));
            // Without a leaf of a version that serves, the others do.
            if serves.count() > 0 {
                let waiting = versions.waiting.iter();
                let waiting = waiting.filter(|(_, since)| now.since(**since) < ADOPTION_TIME);
                withheld.extend(waiting.map(|(version, _)| version.clone()));
            }
        }
        if let Some(order) = self.order(service) {
            let serves_only_target = versions.is_some_and(|versions| {
                versions.serving.len() == 1 && versions.serving.contains(&order.target)
            });
            if !serves_only_target {
                withheld.push(order.target.clone());
            }
        }
        (!withheld.is_empty()).then_some(Selection::Except(withheld))
    }

    /// Counts a request to a leaf of `version`; `usual` is the usual latency of its route. `None`
    /// if no rollout of the service runs.
    pub fn start_sample(
        &mut self,
        service: &Name,
        version: &Name,
        route: &Name,
        usual: Duration,
    ) -> Option<Sample> {
        let order = self.order(service)?;
        let (id, is_target) = (order.id(), order.target == *version);
        if self
            .stage(service)
            .is_some_and(|stage| stage.phase.is_final())
        {
            return None;
        }
        let counts = self.counts.entry(service.clone()).or_default();
        if counts.order != id {
            *counts = ServiceCounts {
                order: id,
                ..ServiceCounts::default()
            };
        }
        let at_start = *counts.usual.entry(route.clone()).or_insert(usual);
        let usual = usual.min(at_start.mul_f64(MAX_DRIFT));
        let tally = counts.routes.entry(route.clone()).or_default();
        if is_target {
            tally.target.sent += 1;
        } else {
            tally.former.sent += 1;
            counts.former_in_flight += 1;
        }
        Some(Sample {
            service: service.clone(),
            route: route.clone(),
            order: id,
            is_target,
            slow_from: usual.mul_f64(SLOW_FACTOR).max(MIN_SLOW),
        })
    }

    /// Records how a counted request ended, `took` after it was sent.
    pub fn end_sample(&mut self, sample: &Sample, end: SampleEnd, took: Duration) {
        let counts = self.counts.get_mut(&sample.service);
        let Some(counts) = counts.filter(|counts| counts.order == sample.order) else {
            return;
        };
        if !sample.is_target {
            counts.former_in_flight = counts.former_in_flight.saturating_sub(1);
        }
        let Some(tally) = counts.routes.get_mut(&sample.route) else {
            return;
        };
        let tally = if sample.is_target {
            &mut tally.target
        } else {
            &mut tally.former
        };
        let is_slow = took >= sample.slow_from;
        match end {
            SampleEnd::Failed => tally.failed += 1,
            SampleEnd::Replied | SampleEnd::Unknown if is_slow => tally.slow += 1,
            SampleEnd::Replied => {}
            // It was given up before it could show anything.
            SampleEnd::Unknown => return,
        }
        tally.replies += 1;
    }

    /// Returns what this host reports to the driver: one report for each order that is open.
    #[must_use]
    pub fn reports(&self) -> Vec<ServiceReport> {
        let report = |order: Order| {
            let id = order.id();
            let counts = self.counts.get(&order.service);
            let counts = counts.filter(|counts| counts.order == id);
            ServiceReport {
                phase: self.stage(&order.service).map(|stage| stage.phase),
                order: id,
                former_in_flight: counts.map_or(0, |counts| counts.former_in_flight),
                routes: counts.map_or_else(Vec::new, |counts| {
                    let routes = counts.routes.iter();
                    routes
                        .map(|(route, tally)| (route.clone(), *tally))
                        .collect()
                }),
                service: order.service,
            }
        };
        self.open_orders().into_iter().map(report).collect()
    }

    /// Applies what the driver has told in reply to a report; it holds until `until`.
    pub fn apply_directives(&mut self, directives: Vec<Directive>, until: Millis) {
        self.contact_until = self.contact_until.max(until);
        self.shares.clear();
        for Directive { stage, share } in directives {
            if Some(stage.order) == self.order_id(&stage.service) {
                self.shares.insert(stage.service.clone(), share);
                self.merge_stage(stage);
            }
        }
    }

    /// Returns whether all requests of some service are being moved now.
    #[must_use]
    pub fn is_moving(&self) -> bool {
        let mut services = self.orders.keys();
        services.any(|service| {
            let stage = self.stage(service);
            stage.is_some_and(|stage| stage.phase == Phase::Full)
        })
    }

    /// Returns whether `version` has a usable leaf of `service`.
    #[must_use]
    pub fn is_present(&self, service: &str, version: &Name) -> bool {
        let versions = self.versions.get(service);
        versions.is_some_and(|versions| versions.present.contains(version))
    }
}
