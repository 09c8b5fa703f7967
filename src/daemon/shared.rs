//! State that the components of one daemon share.

use {
    super::{logging, metrics::Metrics},
    crate::{
        clock::Millis,
        collections::{Map, Name, Set},
        coordination::{members::MemberList, placement::Placement},
        declaration::{Hedge, Service},
        entry::limiter::Limiter,
        protocol::{
            message::MemberKey,
            verdict::{Cause, Failure},
        },
        settings::{Routing, Settings},
        state::{
            budget::Budget,
            catalog::{Catalog, LeafEntry, LeafId},
            health::LeafHealth,
            latency::Latency,
            leaves::Leaves,
            quarantine::Quarantine,
            versions::VersionReports,
        },
        transport::targets::Targets,
    },
    arc_swap::ArcSwap,
    eyre::Result,
    slog::Logger,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep_until},
    },
};

/// Divisor of the lease length: work is sent only while at least that part of the lease
/// remains. Renewals come after a third, so a lease that is renewed on time always has more
/// left.
const LEASE_MARGIN_DIVISOR: u32 = 8;

/// Membership, placement and configuration that this daemon uses to route at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// This daemon's member key; `None` before it joins.
    pub key: Option<MemberKey>,
    /// Member list in force.
    pub list: Arc<MemberList>,
    /// First-choice owner of each leaf.
    pub placement: Arc<Placement>,
    /// Members that may not own leaves.
    pub excluded: Arc<Set<Name>>,
    /// Declaration in force.
    pub catalog: Arc<Catalog>,
}

/// State of one service at this daemon.
#[derive(Debug)]
pub struct ServiceState {
    /// Declared hedging from which the budget is built.
    pub hedge: Hedge,
    /// Budget for hedges and retries.
    pub budget: Budget,
    /// Recent leaf latencies.
    pub latency: Latency,
    /// Limit on concurrent queries.
    pub limiter: Arc<Limiter>,
}

/// State that the components of one daemon share.
pub struct Shared {
    /// Settings of this daemon.
    pub settings: Settings,
    /// Logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Admission to the leaves: slots and queues.
    pub leaves: Arc<Leaves>,
    /// Connections to the leaves.
    pub targets: Targets,
    /// Recent failures and slowness of leaves.
    pub health: LeafHealth,
    /// Index versions that the leaves serve.
    pub versions: VersionReports,
    /// Requests that crashed targets, and requests known to be safe.
    pub quarantine: Quarantine,
    /// Targets that the platform's host list reports as leaving.
    pub leaving_targets: ArcSwap<Set<Name>>,
    /// Readiness; false once a shutdown has begun.
    pub ready: AtomicBool,
    /// Time of a shutdown at which all callers' requests in flight get a response; `None`
    /// before it.
    respond_by: watch::Sender<Option<Instant>>,
    view: ArcSwap<View>,
    lease_until: AtomicU64,
    services: Mutex<Map<Name, Arc<ServiceState>>>,
    requests: AtomicU64,
}

impl Shared {
    /// Returns the initial state of a daemon with `settings`.
    ///
    /// # Errors
    ///
    /// Fails when the metrics can't be registered.
    pub fn new(settings: Settings) -> Result<Self> {
        Ok(Self {
            log: logging::logger(settings.log, &settings.id),
            metrics: Metrics::new()?,
            settings,
            leaves: Arc::default(),
            targets: Targets::default(),
            health: LeafHealth::default(),
            versions: VersionReports::default(),
            quarantine: Quarantine::default(),
            leaving_targets: ArcSwap::default(),
            ready: AtomicBool::new(true),
            respond_by: watch::Sender::default(),
            view: ArcSwap::default(),
            lease_until: AtomicU64::new(0),
            services: Mutex::default(),
            requests: AtomicU64::new(0),
        })
    }

    /// Returns the view in force.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Puts a new view in force.
    pub fn set_view(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Sets the time at which the lease ends.
    pub fn set_lease(&self, until: Millis) {
        self.lease_until.store(until.0, Ordering::Release);
    }

    /// Begins a shutdown: this host is no longer ready, and all callers' requests get a
    /// response by `respond_by`.
    pub fn stop(&self, respond_by: Instant) {
        self.ready.store(false, Ordering::Relaxed);
        self.respond_by.send_replace(Some(respond_by));
    }

    /// Returns the earlier of `deadline` and the time at which a stopping host responds to all
    /// requests.
    #[must_use]
    pub fn limit_deadline(&self, deadline: Instant) -> Instant {
        let respond_by = *self.respond_by.borrow();
        respond_by.map_or(deadline, |respond_by| respond_by.min(deadline))
    }

    /// Waits until the host is stopping and must respond to all requests.
    pub async fn last_response_due(&self) {
        let mut receiver = self.respond_by.subscribe();
        let respond_by = match receiver.wait_for(Option::is_some).await {
            Ok(respond_by) => *respond_by,
            Err(_) => None,
        };
        match respond_by {
            Some(respond_by) => sleep_until(respond_by).await,
            None => std::future::pending().await,
        }
    }

    /// Returns the time at which the lease ends. Work sent to a leaf must be complete by then.
    #[must_use]
    pub fn lease_end(&self) -> Instant {
        let remaining = self.lease_until().since(Millis::now());
        Instant::now() + remaining
    }

    fn lease_until(&self) -> Millis {
        match self.settings.routing {
            Routing::Owners => Millis(self.lease_until.load(Ordering::Acquire)),
            Routing::Direct => Millis::now().plus(std::time::Duration::from_mins(1)),
        }
    }

    /// Returns whether this daemon holds its lease.
    #[must_use]
    pub fn is_leased(&self) -> bool {
        self.lease_until() > Millis::now()
    }

    /// Checks that work may be sent to a leaf now.
    ///
    /// # Errors
    ///
    /// Fails when the lease has ended or is about to end, and when the leaf is no longer
    /// declared or its target or failure domain is out of service.
    pub fn may_send(&self, leaf: LeafId) -> Result<(), Failure> {
        // Near its end the lease would interrupt the work; a later attempt, after the
        // renewal, has the whole lease.
        let margin = self.settings.lease() / LEASE_MARGIN_DIVISOR;
        if self.lease_until() <= Millis::now().plus(margin) {
            return Err(Failure::not_run(Cause::NoOwner));
        }
        let view = self.view.load();
        let Some(leaf) = view.catalog.leaves.get(&leaf) else {
            return Err(Failure::not_run(Cause::Layout));
        };
        self.out_of_service(leaf)
            .map_or(Ok(()), |cause| Err(Failure::not_run(cause)))
    }

    /// Returns why a leaf gets no new work, or `None` if it is in service.
    #[must_use]
    pub fn out_of_service(&self, leaf: &LeafEntry) -> Option<Cause> {
        if leaf.domain_out {
            Some(Cause::DomainOut)
        } else if !leaf.serving || self.leaving_targets.load().contains(&leaf.target) {
            Some(Cause::Draining)
        } else {
            None
        }
    }

    /// Returns the id of the member that owns a leaf, or `None` if this daemon sends to the
    /// leaf itself, as its owner or under direct routing.
    ///
    /// # Errors
    ///
    /// Fails when no member may own the leaf.
    pub fn owner(&self, view: &View, leaf: LeafId) -> Result<Option<Name>, Failure> {
        if self.settings.routing == Routing::Direct {
            return Ok(None);
        }
        match view.placement.owner(leaf, &view.excluded) {
            Some(id) if view.key.as_ref().is_some_and(|own| own.id == *id) => Ok(None),
            Some(id) => Ok(Some(id.clone())),
            None => Err(Failure::not_run(Cause::NoOwner)),
        }
    }

    /// Returns the peer address of a member.
    #[must_use]
    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        self.view.load().list.by_id(id).map(|member| member.address)
    }

    /// Returns the state of a service. It starts anew when the declared hedging changes.
    #[must_use]
    pub fn service(&self, service: &Service) -> Arc<ServiceState> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = services.get(&service.name)
            && state.hedge == service.hedge
        {
            return Arc::clone(state);
        }
        let state = Arc::new(ServiceState {
            hedge: service.hedge,
            budget: Budget::new(service.hedge.budget_percent),
            latency: Latency::default(),
            limiter: Arc::default(),
        });
        services.insert(service.name.clone(), Arc::clone(&state));
        state
    }

    /// Returns a new id for a request whose caller sent none.
    #[must_use]
    pub fn request_id(&self) -> Name {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{number}", self.settings.id, crate::clock::unix_ms()).into()
    }
}
