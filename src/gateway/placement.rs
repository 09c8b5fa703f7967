//! Asks the host that places the requests to a service for a leaf, and gives out places for
//! other hosts.

use {
    super::{
        Gateway,
        attempt::OutgoingRequest,
        hedged_request::attempts::{ServiceAttempts, State},
        helpers::HelperHandle,
        metrics::PlacementResult,
        serve::RoutedRequest,
        view::{LeafHandle, View, lock},
    },
    crate::{
        clock::millis,
        collections::{Map, Name},
        policy::{
            hedge,
            placement::{self, PlacementFacts, SIGN_TIMEOUT},
        },
        protocol::verdict::Cause,
        state::{
            placements::{Decision, LeafPlaces, PlacementRequest, Placements},
            relative_latency::{Median, SLOW_RATIO},
        },
        transport::fleet::{PlacementCall, PlacementEnd, PlacementOutcome, PlacementService},
    },
    futures_util::{FutureExt, future::BoxFuture},
    slog::info,
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        sync::oneshot,
        time::{sleep, timeout, timeout_at},
    },
};

/// Time between two looks at a queue in which nothing else has happened: requests become overdue
/// or too late meanwhile.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);

/// Cost factor of a leaf that recently rejected a request as full.
const FULL_FACTOR: f64 = 4.0;

/// Places that this host gives out, and hosts that gave it none.
#[derive(Default)]
pub struct PlacementState {
    services: Mutex<Map<Name, ServicePlacements>>,
    /// Hosts that gave no sign, with the number of times in a row and until when this host does
    /// without them.
    silent: Mutex<Map<Name, (u32, Instant)>>,
}

/// The places at the leaves of one service.
#[derive(Default)]
struct ServicePlacements {
    places: Placements,
    baseline: Median,
    /// Requests that wait, by ticket.
    pending: Map<u64, oneshot::Sender<Decision>>,
    is_watched: bool,
}

/// Where a request goes first.
pub(super) enum Placed {
    /// To a leaf that this host chooses.
    ByItself,
    /// To the leaf at which it has a place.
    At(HeldPlace),
    /// Nowhere: it can't be answered in time. Its caller may come back after this time.
    Refused(Duration),
}

/// A place at a leaf; it ends when this is dropped.
pub(super) struct HeldPlace {
    gateway: Arc<Gateway>,
    /// Host that gave it; `None` for this one.
    placer: Option<Arc<HelperHandle>>,
    /// Id of the leaf.
    pub(super) leaf: Name,
    service: Name,
    place: u64,
    started: Instant,
    outcome: PlacementOutcome,
}

impl RoutedRequest<'_> {
    /// Returns where the request to one leaf of `service` goes first.
    pub(super) async fn place(&self, service: &Name, outgoing: &OutgoingRequest) -> Placed {
        let Some(organisation) = &self.caller else {
            return Placed::ByItself;
        };
        let facts = PlacementFacts {
            destination: &self.route.destination,
            has_organisation: true,
            hosts: self.view.hosts,
            leaves: self.view.leaves(service).len(),
        };
        if !placement::is_placed(&facts) {
            return Placed::ByItself;
        }
        let now = Instant::now();
        let call = PlacementCall {
            service: service.clone(),
            organisation: organisation.name.clone(),
            domain: self.gateway.settings.domain.clone(),
            priority: self.route.priority,
            objective: self.route.objective,
            left: outgoing.deadline.saturating_duration_since(now),
        };
        let placed = tokio::select! {
            placed = self.ask_placer(call, outgoing.deadline) => placed,
            () = self.gateway.last_response_due() => Placed::ByItself,
        };
        let result = match &placed {
            Placed::ByItself => PlacementResult::Without,
            Placed::At(_) => PlacementResult::Placed,
            Placed::Refused(_) => PlacementResult::Refused,
        };
        self.gateway.metrics.organisations.record_placement(result);
        placed
    }

    async fn ask_placer(&self, call: PlacementCall, deadline: Instant) -> Placed {
        let gateway = self.gateway;
        let Some(placer) = placement::choose_placer(&call.service, self.view.helpers.placers())
        else {
            return Placed::ByItself;
        };
        let service = call.service.clone();
        if *placer == gateway.settings.id {
            let decision = gateway.start_placement(call).await;
            return HeldPlace::of(gateway, None, service, decision);
        }
        let Some(host) = self.view.helpers.get(placer) else {
            return Placed::ByItself;
        };
        if !gateway.placement.is_asked(placer, Instant::now()) {
            return Placed::ByItself;
        }
        let decision = match timeout(SIGN_TIMEOUT, host.channel.place(&call)).await {
            Ok(Ok(pending)) => timeout_at(deadline.into(), pending.decision()).await,
            Ok(Err(reason)) => Ok(Err(reason)),
            Err(_) => Ok(Err("no sign in time".to_owned())),
        };
        match decision {
            Ok(Ok(decision)) => {
                gateway.placement.record_sign(placer);
                HeldPlace::of(gateway, Some(Arc::clone(host)), service, decision)
            }
            Ok(Err(reason)) => {
                let rest = gateway.placement.record_silence(placer, Instant::now());
                info!(gateway.log, "placement: doing without the placer"; "service" => &*service,
                    "host" => &**placer, "reason" => reason, "for_ms" => millis(rest));
                Placed::ByItself
            }
            Err(_) => Placed::Refused(Duration::ZERO),
        }
    }
}

impl PlacementState {
    fn is_asked(&self, placer: &Name, now: Instant) -> bool {
        let silent = lock(&self.silent);
        silent.get(placer).is_none_or(|(_, until)| now >= *until)
    }

    fn record_sign(&self, placer: &Name) {
        lock(&self.silent).remove(placer);
    }

    /// Returns the time for which this host does without `placer`.
    fn record_silence(&self, placer: &Name, now: Instant) -> Duration {
        let mut silent = lock(&self.silent);
        let (failures, until) = silent.entry(placer.clone()).or_insert((0, now));
        // Requests that were sent together count as one.
        if now >= *until {
            *failures += 1;
            *until = now + placement::backoff(*failures);
        }
        until.saturating_duration_since(now)
    }
}

impl HeldPlace {
    fn of(
        gateway: &Arc<Gateway>,
        placer: Option<Arc<HelperHandle>>,
        service: Name,
        decision: Decision,
    ) -> Placed {
        match decision {
            Decision::Refused(wait) => Placed::Refused(wait),
            Decision::Placed { place, leaf } => Placed::At(Self {
                gateway: Arc::clone(gateway),
                placer,
                leaf,
                service,
                place,
                started: Instant::now(),
                outcome: PlacementOutcome::Unknown,
            }),
        }
    }

    /// Records what became of the request at the leaf, and ends the place.
    pub(super) fn finish(mut self, attempts: &ServiceAttempts) {
        if attempts.tried_count() > 1 || attempts.last_leaf() != Some(&*self.leaf) {
            let mut pending = attempts.pending.iter();
            if !pending.any(|(_, leaf)| leaf.leaf.id == self.leaf) {
                // The reply, or the lack of one, is another leaf's.
                self.started = Instant::now();
            }
            return;
        }
        self.outcome = match &attempts.state {
            State::Replied(reply) | State::Failed(_, Some(reply))
                if reply.status.is_server_error() =>
            {
                PlacementOutcome::Failed
            }
            State::Replied(reply) => {
                PlacementOutcome::Replied(self.gateway.dialect.load(&reply.headers))
            }
            State::Failed(failure, _) => match failure.cause {
                Cause::Shed => PlacementOutcome::Rejected,
                Cause::Deadline | Cause::Overloaded | Cause::Draining | Cause::Quarantined => {
                    PlacementOutcome::Unknown
                }
                _ => PlacementOutcome::Failed,
            },
            State::Open => PlacementOutcome::Unknown,
        };
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let end = PlacementEnd {
            service: self.service.clone(),
            place: self.place,
            outcome: self.outcome,
            took: self.started.elapsed(),
        };
        match self.placer.take() {
            None => self.gateway.end_place(&end),
            // A report that is lost costs the place until the request's deadline.
            Some(placer) => {
                tokio::spawn(async move { placer.channel.end_place(&end).await });
            }
        }
    }
}

impl Gateway {
    /// Adds a request to the queue of its service and returns the decision to come.
    fn start_placement(self: &Arc<Self>, call: PlacementCall) -> BoxFuture<'static, Decision> {
        let now = Instant::now();
        let (sender, receiver) = oneshot::channel();
        let service = call.service;
        let request = PlacementRequest {
            organisation: call.organisation,
            priority: call.priority,
            domain: call.domain,
            deadline: now + call.left,
        };
        let ticket = {
            let mut services = lock(&self.placement.services);
            let placements = services.entry(service.clone()).or_default();
            let ticket = placements.places.add(request, now);
            placements.pending.insert(ticket, sender);
            ticket
        };
        let mut waiting = WaitingRequest {
            gateway: Arc::clone(self),
            service,
            ticket,
            receiver,
        };
        self.decide_places(&waiting.service, call.objective);
        async move {
            let decision = (&mut waiting.receiver).await;
            decision.unwrap_or(Decision::Refused(QUEUE_INTERVAL))
        }
        .boxed()
    }

    /// Gives out the free places at the leaves of `service`.
    fn decide_places(self: &Arc<Self>, service: &Name, objective: Duration) {
        let now = Instant::now();
        let view = self.view();
        let mut services = lock(&self.placement.services);
        let Some(placements) = services.get_mut(service) else {
            return;
        };
        let baseline = placements.baseline.get();
        let baseline = baseline.unwrap_or(hedge::initial_baseline(objective));
        let leaves = leaf_places(&view, service, baseline, now);
        for (ticket, decision) in placements.places.decide(&leaves, now) {
            if let Some(sender) = placements.pending.remove(&ticket) {
                // A request that no longer waits ends its place when its deadline has passed.
                let _ = sender.send(decision);
            }
        }
        if placements.places.has_waiting() && !placements.is_watched {
            placements.is_watched = true;
            tokio::spawn(watch_queue(Arc::clone(self), service.clone(), objective));
        }
    }

    fn end_place(self: &Arc<Self>, end: &PlacementEnd) {
        let now = Instant::now();
        let view = self.view();
        {
            let mut services = lock(&self.placement.services);
            let Some(placements) = services.get_mut(&end.service) else {
                return;
            };
            let Some(id) = placements.places.end(end.place) else {
                return;
            };
            let leaf = view.leaves(&end.service).iter();
            if let Some(leaf) = leaf.clone().find(|leaf| leaf.leaf.id == id) {
                placements.record_end(leaf, end, now);
            }
        }
        let objective = Duration::ZERO;
        self.decide_places(&end.service, objective);
    }
}

impl ServicePlacements {
    fn record_end(&mut self, leaf: &LeafHandle, end: &PlacementEnd, now: Instant) {
        let known = self.baseline.get();
        let baseline = known.unwrap_or(end.took);
        match end.outcome {
            PlacementOutcome::Replied(load) => {
                self.baseline.record_sample(end.took);
                leaf.record_reply_elsewhere(end.took, baseline, load, now);
            }
            PlacementOutcome::Rejected => leaf.record_rejection_elsewhere(now),
            PlacementOutcome::Failed => leaf.record_failure_elsewhere(now),
            // It was late when the host gave up on it, or its caller left early.
            PlacementOutcome::Unknown if end.took > baseline.mul_f64(SLOW_RATIO) => {
                leaf.record_reply_elsewhere(end.took, baseline, None, now);
            }
            PlacementOutcome::Unknown => {}
        }
    }
}

/// Looks at the queue of `service` until it is empty.
async fn watch_queue(gateway: Arc<Gateway>, service: Name, objective: Duration) {
    loop {
        sleep(QUEUE_INTERVAL).await;
        gateway.decide_places(&service, objective);
        let mut services = lock(&gateway.placement.services);
        let Some(placements) = services.get_mut(&service) else {
            return;
        };
        if !placements.places.has_waiting() {
            placements.is_watched = false;
            return;
        }
    }
}

fn leaf_places(view: &View, service: &str, baseline: Duration, now: Instant) -> Vec<LeafPlaces> {
    let rate = view.cold_rate(service);
    let leaves = view.leaves(service).iter();
    let allowed = leaves.filter(|leaf| leaf.is_allowed(rate, now));
    let places = allowed.map(|leaf| {
        let known = leaf.candidate("", now);
        let full = if known.is_full { FULL_FACTOR } else { 1.0 };
        LeafPlaces {
            id: leaf.leaf.id.clone(),
            domain: leaf.leaf.domain.clone(),
            capacity: leaf.leaf.slots.max(1),
            time: baseline.mul_f64(known.relative_latency.max(0.1) * full),
        }
    });
    places.collect()
}

/// A request in a queue of this host; it leaves the queue when this is dropped.
struct WaitingRequest {
    gateway: Arc<Gateway>,
    service: Name,
    ticket: u64,
    receiver: oneshot::Receiver<Decision>,
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        let mut services = lock(&self.gateway.placement.services);
        let Some(placements) = services.get_mut(&self.service) else {
            return;
        };
        placements.pending.remove(&self.ticket);
        placements.places.cancel(self.ticket);
        if let Ok(Decision::Placed { place, .. }) = self.receiver.try_recv() {
            placements.places.end(place);
        }
    }
}

/// Gives out places for other hosts.
pub struct PlacementServer(pub Arc<Gateway>);

impl PlacementService for PlacementServer {
    fn place(&self, call: PlacementCall) -> Result<BoxFuture<'static, Decision>, &'static str> {
        if self.0.is_stopping() {
            return Err("stopping");
        }
        if self.0.view().leaves(&call.service).is_empty() {
            return Err("no leaf of the service is known");
        }
        Ok(self.0.start_placement(call))
    }

    fn end_place(&self, end: PlacementEnd) {
        self.0.end_place(&end);
    }
}
