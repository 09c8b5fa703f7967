//! Sends a request to one leaf of each of its services. Starts attempts at other leaves
//! when a leaf is late (hedges) or fails (retries). It makes progress only while its owner
//! calls [`HedgedRequest::advance`].

use {
    super::{
        Gateway,
        attempt::{Attempt, FailedAttempt, Outcome, OutgoingRequest},
        crashes::JudgedAttempt,
        metrics::AttemptReason,
        view::{RouteStats, View, lock},
    },
    crate::{
        clock::millis,
        collections::Name,
        policy::{
            hedge::{self, AttemptState},
            retry::{self, BudgetRetry, OtherLeaves},
            shutdown::LateRequest,
        },
        protocol::{
            dialect::Dialect,
            verdict::{Cause, Failure, Verdict},
        },
        state::{
            relative_latency::BaselineLatency,
            routes::{Destination, Route},
        },
    },
    slog::info,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
        task::AbortHandle,
        time::timeout_at,
    },
};

pub mod attempts;
mod leaf_choice;
mod suspension;

use self::attempts::{ScheduledRetry, ServiceAttempts, State};

/// One request with its attempts at each of its services.
pub struct HedgedRequest {
    gateway: Arc<Gateway>,
    view: Arc<View>,
    route: Arc<Route>,
    route_stats: Arc<RouteStats>,
    outgoing: Arc<OutgoingRequest>,
    /// Baseline latency of a reply.
    baseline: Arc<BaselineLatency>,
    /// Time after the first attempt at a service at which a hedge is due.
    hedge_delay: Duration,
    started: Instant,
    /// Whether another host may have sent this request to leaves of these services before.
    is_repeat: bool,
    /// Time before which no service gets a second attempt while an earlier one may have run
    /// the request: no hedge, and no retry that counts against the retry budget.
    hold_until: Instant,
    /// Id of the leaf that gets the first attempt; `None` when this host chooses it.
    placed_leaf: Option<Name>,
    /// Number of replies after which their latency sets the hedge delay of the other
    /// services; `None` when there are too few services.
    sibling_replies: Option<usize>,
    /// Number of services that have replied.
    replied: usize,
    /// Attempts that leaves rejected without running the request.
    pub rejections: usize,
    /// Attempts by service, in the order of the request's services.
    pub services: Vec<ServiceAttempts>,
    tasks: AttemptTasks,
    sender: UnboundedSender<FinishedAttempt>,
    finished: UnboundedReceiver<FinishedAttempt>,
}

/// Result of an attempt, sent by its task.
struct FinishedAttempt {
    service: usize,
    number: u64,
    outcome: Outcome,
}

/// Tasks of the attempts. Dropping it aborts the tasks that still run: it is dropped early
/// when the caller has disconnected.
#[derive(Default)]
struct AttemptTasks {
    handles: Vec<AbortHandle>,
    next_number: u64,
}

impl Drop for AttemptTasks {
    fn drop(&mut self) {
        for handle in &self.handles {
            handle.abort();
        }
    }
}

impl HedgedRequest {
    /// Creates a request of `route` to `services`, without sending it.
    #[must_use]
    pub fn new(
        gateway: Arc<Gateway>,
        view: Arc<View>,
        route: Arc<Route>,
        services: &[Name],
        outgoing: Arc<OutgoingRequest>,
        started: Instant,
    ) -> Self {
        let route_stats = view
            .route_stats
            .get(&route.name)
            .cloned()
            .unwrap_or_default();
        let baseline = route_stats.baseline();
        let attempts = services
            .iter()
            .map(|name| ServiceAttempts::new(view.services.get(name).cloned(), &route))
            .collect();
        let (sender, finished) = mpsc::unbounded_channel();
        Self {
            gateway,
            baseline: Arc::new(BaselineLatency::new(
                baseline.unwrap_or(hedge::initial_baseline(route.objective)),
            )),
            hedge_delay: hedge::delay(baseline, route.objective),
            view,
            route,
            route_stats,
            outgoing,
            started,
            is_repeat: false,
            hold_until: started,
            placed_leaf: None,
            sibling_replies: hedge::sample_size(services.len()),
            replied: 0,
            rejections: 0,
            services: attempts,
            tasks: AttemptTasks::default(),
            sender,
            finished,
        }
    }

    /// Sets whether another host may have sent this request to leaves of the services
    /// before. If so, first attempts count against the retry budget.
    #[must_use]
    pub fn with_repeat(mut self, is_repeat: bool) -> Self {
        self.is_repeat = is_repeat;
        self
    }

    /// Sets the time before which no service gets a hedge or a retry that counts against
    /// the retry budget.
    #[must_use]
    pub fn with_hold_until(mut self, hold_until: Instant) -> Self {
        self.hold_until = hold_until;
        self
    }

    /// Sets the leaf that gets the first attempt.
    #[must_use]
    pub fn with_leaf(mut self, leaf: Option<Name>) -> Self {
        self.placed_leaf = leaf;
        self
    }

    /// Returns how many of the services have a usable leaf.
    #[must_use]
    pub fn reachable_count(&self) -> usize {
        let has_leaf = |service: &&ServiceAttempts| !service.leaves().is_empty();
        self.services.iter().filter(has_leaf).count()
    }

    /// Starts the first attempt at each service.
    pub fn start(&mut self) {
        let now = Instant::now();
        for index in 0..self.services.len() {
            if !self.is_repeat {
                self.earn_budget(index, now);
            } else if !self.spend_budget(index, 0, now) {
                // Another host may have sent the request to a leaf of this service: then
                // this attempt is not the first, and the request may have run.
                self.gateway.metrics.record_attempt(AttemptReason::Denied);
                self.services[index].fail(Failure::may_have_run(Cause::Late), None);
                continue;
            }
            self.start_attempt(index, AttemptReason::First, now);
        }
    }

    /// Waits until an attempt ends, a hedge or retry is due, or `until` has passed, and
    /// handles that event.
    pub async fn advance(&mut self, until: Instant) {
        let wake = self.next_wake().map_or(until, |wake| wake.min(until));
        match timeout_at(wake.into(), self.finished.recv()).await {
            Ok(Some(ended)) => {
                self.record_outcome(ended);
                while let Ok(ended) = self.finished.try_recv() {
                    self.record_outcome(ended);
                }
            }
            Ok(None) | Err(_) => self.run_due_attempts(Instant::now()),
        }
    }

    /// Detaches the attempts in flight: they run to their end, so that their connections
    /// can be reused.
    pub fn detach(&mut self) {
        self.tasks.handles.clear();
    }

    /// Returns the header names of the platform.
    #[must_use]
    pub fn dialect(&self) -> &Dialect {
        &self.gateway.dialect
    }

    /// Returns how many services have replied.
    #[must_use]
    pub fn reply_count(&self) -> usize {
        self.replied
    }

    /// Returns how many services failed and can't reply any more.
    #[must_use]
    pub fn failed_count(&self) -> usize {
        let has_failed = |service: &&ServiceAttempts| matches!(service.state, State::Failed(..));
        self.services.iter().filter(has_failed).count()
    }

    /// Returns the request id for logs.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.outgoing.id
    }

    fn next_wake(&self) -> Option<Instant> {
        let open = self.services.iter().filter(|service| service.is_open());
        let wakes = open.filter_map(|service| {
            let hedge = self.hedge_due(service);
            hedge.into_iter().chain(service.retry_due_at()).min()
        });
        wakes.min()
    }

    fn hedge_due(&self, service: &ServiceAttempts) -> Option<Instant> {
        let state = AttemptState {
            repeats: self.route.repeats,
            in_flight: service.pending.len(),
            hedged: service.is_hedged,
        };
        let start = hedge::may_hedge(state)
            .then_some(service.first_start)
            .flatten()?;
        let due = service.denied_until.unwrap_or(start + self.hedge_delay);
        Some(due.max(self.hold_until))
    }

    fn run_due_attempts(&mut self, now: Instant) {
        for index in 0..self.services.len() {
            let service = &mut self.services[index];
            if !service.is_open() {
                continue;
            }
            match service.take_due_retry(now) {
                Some(ScheduledRetry::Free) => self.start_attempt(index, AttemptReason::Retry, now),
                Some(ScheduledRetry::Suspended(reason)) => self.start_attempt(index, reason, now),
                Some(ScheduledRetry::Paid(failure)) => self.try_retry(index, failure, now),
                None => {
                    let due = self.hedge_due(&self.services[index]);
                    if due.is_some_and(|due| now >= due) {
                        self.try_hedge(index, now);
                    }
                }
            }
        }
    }

    fn try_hedge(&mut self, index: usize, now: Instant) {
        // One leaf at a time gets a suspect; none is reached while this host is cut off.
        if self.gateway.is_suspect(&self.outgoing) || self.gateway.leaf_reach.is_cut_off() {
            self.services[index].denied_until = Some(now + hedge::DENIED_DELAY);
            return;
        }
        let service = &mut self.services[index];
        let has_other = service.untried_leaves().next().is_some();
        if !has_other || !retry::is_allowed(&service.counts, Verdict::MayHaveRun) {
            service.is_hedged = true;
            return;
        }
        let was_denied = service.denied_until.is_some();
        // The last one is for another host, which may reach the service when this one doesn't.
        let (name, leaves) = (service.name(), service.leaves().len());
        let kept = usize::from(self.gateway.service_reach.is_silent(name, leaves));
        let is_granted = self.spend_budget(index, kept, now);
        let reason = if is_granted {
            AttemptReason::Hedge
        } else {
            AttemptReason::Denied
        };
        let service = &mut self.services[index];
        service.is_hedged = is_granted;
        service.denied_until = (!is_granted).then(|| now + hedge::DENIED_DELAY);
        if is_granted || !was_denied {
            let service = &self.services[index];
            info!(self.gateway.log, "hedged_request: leaf late";
                "request" => self.id(), "service" => service.name(), "leaf" => service.last_leaf(),
                "waited_ms" => millis(service.age(now)), "usual_ms" => millis(self.baseline.get()),
                "outcome" => reason.name());
        }
        if is_granted {
            self.start_attempt(index, reason, now);
        } else if !was_denied {
            self.gateway.metrics.record_attempt(reason);
        }
    }

    /// Retries after `failure` if the retry budget allows it. When the budget denies the
    /// retry, schedules another try or fails the service.
    fn try_retry(&mut self, index: usize, failure: Failure, now: Instant) {
        if now < self.hold_until {
            self.services[index].retry = Some((self.hold_until, ScheduledRetry::Paid(failure)));
            return;
        }
        if self.spend_budget(index, 0, now) {
            self.start_attempt(index, AttemptReason::Retry, now);
            return;
        }
        self.gateway.metrics.record_attempt(AttemptReason::Denied);
        let age = now.saturating_duration_since(self.started);
        let service = &mut self.services[index];
        match retry::when_denied(age, self.route.objective) {
            BudgetRetry::After(pause) => {
                service.retry = Some((now + pause, ScheduledRetry::Paid(failure)));
            }
            BudgetRetry::Never if service.pending.is_empty() => service.fail(failure, None),
            BudgetRetry::Never => {}
        }
    }

    /// Starts an attempt at the best untried leaf, or at any leaf when all were tried and
    /// no attempt is in flight. Fails the service when no leaf can be used and no attempt
    /// is in flight.
    fn start_attempt(&mut self, index: usize, reason: AttemptReason, now: Instant) {
        let late_request = LateRequest {
            deadline: self.outgoing.deadline,
            repeats: self.route.repeats,
            baseline: Some(self.baseline.get()),
        };
        if !self.gateway.admits(&late_request, now) {
            return self.record_no_leaf(index, Cause::Draining);
        }
        if self.gateway.leaf_reach.is_cut_off() {
            return self.record_no_leaf(index, Cause::Unreachable);
        }
        let suspect_attempt = match self.admit_suspect(index) {
            Ok(admitted) => admitted,
            Err(refusal) => return self.suspend_attempt(index, reason, refusal, now),
        };
        let leaf = match self.choose_leaf(index, now) {
            Ok(leaf) => leaf,
            Err(cause) => return self.record_no_leaf(index, cause),
        };
        self.gateway.metrics.record_attempt(reason);
        if let Some(limit) = leaf.rate_limit() {
            self.gateway.metrics.record_limited_attempt(reason);
            info!(self.gateway.log, "hedged_request: sent to a leaf with a rate limit";
                "request" => self.id(), "leaf" => &*leaf.leaf.id, "per_s" => limit,
                "reason" => reason.name());
        }
        let judged = JudgedAttempt {
            leaf: Arc::clone(&leaf),
            outgoing: Arc::clone(&self.outgoing),
            view: Arc::clone(&self.view),
            is_repeat: suspect_attempt.is_some(),
        };
        let attempt = Attempt {
            log: self.gateway.log.clone(),
            leaf: Arc::clone(&leaf),
            outgoing: Arc::clone(&self.outgoing),
            deadline: self.gateway.limit_deadline(self.outgoing.deadline),
            baseline: Arc::clone(&self.baseline),
            connections: self.view.connections(&leaf.leaf.service),
            repeats: self.route.repeats,
            counted: self
                .gateway
                .count_attempt(&leaf, &self.route.name, self.baseline.get()),
        };
        let rate = self.view.cold_rate(&leaf.leaf.service);
        leaf.record_warmup_attempt(rate, self.view.hosts, now);
        let number = self.tasks.next_number;
        self.tasks.next_number += 1;
        self.services[index].record_start(number, leaf, now);
        let sender = self.sender.clone();
        let gateway = Arc::clone(&self.gateway);
        let task = tokio::spawn(async move {
            let outcome = attempt.run(&gateway).await;
            gateway.judge_outcome(judged, &outcome).await;
            drop(suspect_attempt);
            // Sending fails when the request has already ended: then the result is of no
            // use.
            let _ = sender.send(FinishedAttempt {
                service: index,
                number,
                outcome,
            });
        });
        self.tasks.handles.push(task.abort_handle());
    }

    fn record_outcome(&mut self, ended: FinishedAttempt) {
        let now = Instant::now();
        let is_gathered = matches!(self.route.destination, Destination::Shards(_));
        let service = &mut self.services[ended.service];
        let leaf = service.record_end(ended.number);
        if !service.is_open() {
            return;
        }
        let (failure, reply, arrived) = match ended.outcome {
            // Only successful replies can be merged. For a single leaf, every reply but a
            // server error is forwarded at once.
            Outcome::Replied(reply)
                if reply.status.is_success()
                    || !(is_gathered || reply.status.is_server_error()) =>
            {
                let took = service.age(now);
                service.state = State::Replied(reply);
                self.replied += 1;
                self.record_latency(took);
                if self
                    .sibling_replies
                    .is_some_and(|count| self.replied == count)
                {
                    let took = now.saturating_duration_since(self.started);
                    self.hedge_delay = hedge::sibling_delay(took, self.hedge_delay);
                }
                return;
            }
            Outcome::Replied(reply) => {
                let failure = Failure {
                    verdict: Verdict::Ran,
                    cause: Cause::Crashed,
                };
                (failure, Some(reply), true)
            }
            Outcome::Failed(FailedAttempt { failure, arrived }) => (failure, None, arrived),
        };
        self.gateway.metrics.record_failed_attempt(failure.cause);
        self.rejections += usize::from(failure.cause == Cause::Shed);
        service.counts.record_failure(failure.verdict, arrived);
        if let Some(leaf) = &leaf {
            service.record_reach(leaf, failure.cause, arrived);
        }
        let next = if self.gateway.leaf_reach.is_cut_off() {
            retry::Retry::No
        } else {
            let has_other = service.untried_leaves().next().is_some();
            let others = match has_other {
                true => OtherLeaves::Untried,
                false if service.is_unreached() => OtherLeaves::Unreached,
                false => OtherLeaves::Tried,
            };
            retry::decide(&service.counts, failure, arrived, others)
        };
        if failure.cause != Cause::Overloaded {
            info!(self.gateway.log, "hedged_request: send failed";
            "request" => &*self.outgoing.id, "fingerprint" => %self.outgoing.fingerprint(),
            "service" => service.name(),
            "leaf" => leaf.as_ref().map(|leaf| &*leaf.leaf.id),
            "verdict" => %failure.verdict, "cause" => failure.cause.name(),
            "status" => reply.as_ref().map(|reply| reply.status.as_u16()),
            "runs" => service.counts.runs, "attempts" => service.counts.max_attempts,
            "repeats" => service.counts.repeats.name(), "next" => next.name());
        }
        service.failed_reply = reply.or(service.failed_reply.take());
        match next {
            retry::Retry::Now => self.start_attempt(ended.service, AttemptReason::Retry, now),
            retry::Retry::WithBudget => self.try_retry(ended.service, failure, now),
            retry::Retry::After(pause) => {
                service.allow_again(leaf.as_ref());
                service.retry = Some((now + pause, ScheduledRetry::Free));
            }
            retry::Retry::No => {}
        }
        let service = &mut self.services[ended.service];
        if service.is_open() && service.pending.is_empty() && service.retry.is_none() {
            service.fail(failure, None);
        }
    }

    /// Records the latency of the reply that just arrived in the baseline. With many
    /// services, records only the median reply: many replies of one request say no more
    /// about the baseline than one.
    fn record_latency(&self, took: Duration) {
        let is_small = hedge::sample_size(self.services.len()).is_none();
        if is_small {
            self.route_stats.record_latency(took);
        } else if self.replied == self.services.len().div_ceil(2) {
            self.route_stats.record_latency(took);
            self.baseline.record_latency(took);
        }
    }

    fn earn_budget(&self, index: usize, now: Instant) {
        if let Some(service) = &self.services[index].handle {
            let mut budget = lock(&service.retry_budget);
            budget.earn(
                &self.gateway.reloaded().retry_budget,
                self.gateway.budget_share(service.budget_share),
                now,
            );
        }
    }

    /// Takes an attempt at the service `index` from the retry budget; returns whether it has room
    /// and `kept` more remain.
    #[must_use]
    pub fn spend_budget(&self, index: usize, kept: usize, now: Instant) -> bool {
        let Some(service) = &self.services[index].handle else {
            return false;
        };
        let leaves = service.leaves.iter();
        let unanswered = leaves.map(|leaf| leaf.unanswered(now)).sum();
        let mut budget = lock(&service.retry_budget);
        budget.spend_above(
            kept,
            &self.gateway.reloaded().retry_budget,
            self.gateway.budget_share(service.budget_share),
            unanswered,
            now,
        )
    }
}
