//! Scatter-gather for a request to many shards. This host queries the leaves itself, or
//! divides the shards into subqueries that several hosts run.

use {
    super::{
        Gateway,
        attempt::OutgoingRequest,
        helpers::{HelperHandle, helper_capacities},
        metrics::SubqueryOutcome,
        subquery::SubqueryTask,
        view::View,
    },
    crate::{
        collections::Name,
        policy::{
            delegation::{self, DomainSet, Helper},
            helper_failure::{self, Stage},
            relaying,
            response_timing::{self, Progress, Wait},
        },
        protocol::verdict::{Cause, Failure, Verdict},
        state::routes::{Route, Shards},
        transport::fleet::{LostShard, PartialResult, PeerRejection},
    },
    futures_util::{FutureExt, StreamExt, stream::BoxStream},
    slog::info,
    std::{
        pin::pin,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
    tokio_stream::StreamMap,
};

mod delegated;

use self::delegated::{DelegatedSubquery, SubqueryEvent, SubqueryState};

/// Maximum number of hosts that replace a failed helper, when no other one has accepted a
/// subquery of the request.
const MAX_REPLACEMENTS: usize = 2;

/// One request to many shards.
pub struct ScatterGather<'a> {
    gateway: &'a Arc<Gateway>,
    view: Arc<View>,
    route: Arc<Route>,
    shards: &'a Shards,
    version: u64,
    outgoing: Arc<OutgoingRequest>,
    started: Instant,
    subqueries: Vec<DelegatedSubquery>,
    /// Events of the subqueries, by their index.
    events: StreamMap<usize, BoxStream<'static, SubqueryEvent>>,
    /// Whether this host is stopping and must respond now.
    is_cut: bool,
    /// Partial results so far.
    pub partials: Vec<PartialResult>,
    /// Shards that failed.
    pub failed_shards: Vec<LostShard>,
}

impl<'a> ScatterGather<'a> {
    /// Creates a request without sending it.
    #[must_use]
    pub fn new(
        gateway: &'a Arc<Gateway>,
        view: Arc<View>,
        route: Arc<Route>,
        shards: &'a Shards,
        version: u64,
        outgoing: OutgoingRequest,
        started: Instant,
    ) -> Self {
        Self {
            gateway,
            view,
            route,
            shards,
            version,
            outgoing: Arc::new(outgoing),
            started,
            subqueries: Vec::new(),
            events: StreamMap::new(),
            is_cut: false,
            partials: Vec::new(),
            failed_shards: Vec::new(),
        }
    }

    /// Returns the request as it is sent to leaves.
    #[must_use]
    pub fn outgoing(&self) -> &OutgoingRequest {
        &self.outgoing
    }

    /// Returns how many of the shards have a usable leaf.
    #[must_use]
    pub fn reachable_count(&self) -> usize {
        self.view.reachable(&self.shards.services)
    }

    /// Returns the number of replies so far.
    #[must_use]
    pub fn reply_count(&self) -> usize {
        self.partials.iter().map(|partial| partial.count).sum()
    }

    /// Returns the number of attempts that leaves rejected without running the request.
    #[must_use]
    pub fn rejection_count(&self) -> usize {
        self.subqueries
            .iter()
            .map(|subquery| subquery.rejections)
            .sum()
    }

    /// Returns the number of subqueries.
    #[must_use]
    pub fn subquery_count(&self) -> usize {
        self.subqueries.len()
    }

    /// Queries the shards and waits until a response can be sent or none is possible any
    /// more.
    pub async fn run(&mut self) -> Wait {
        self.start_subqueries();
        let gateway = Arc::clone(self.gateway);
        let mut last_response_due = pin!(gateway.last_response_due());
        loop {
            let now = Instant::now();
            let until = match response_timing::decide(&self.progress(now)) {
                Wait::Until(age) => self.started + age,
                decided => return decided,
            };
            let until = self
                .next_acceptance_due()
                .map_or(until, |due| due.min(until));
            let event = tokio::select! {
                event = timeout_at(until.into(), self.events.next()) => event,
                () = &mut last_response_due, if !self.is_cut => {
                    self.is_cut = true;
                    continue;
                }
            };
            match event {
                Ok(Some((index, event))) => self.handle_event(index, event),
                Ok(None) => tokio::time::sleep_until(until.into()).await,
                // Reads what arrived while this host was busy before a helper counts as
                // late.
                Err(_) => {
                    tokio::task::yield_now().await;
                    while let Some(Some((index, event))) = self.events.next().now_or_never() {
                        self.handle_event(index, event);
                    }
                }
            }
            self.fail_late_subqueries(Instant::now());
        }
    }

    /// Returns why too few shards replied: the failure with the worst verdict. It is at
    /// least `MayHaveRun` when a shard has replied or a subquery has not ended.
    #[must_use]
    pub fn failure(&self) -> Failure {
        let failures = self.failed_shards.iter().map(|lost| lost.failure);
        let worst = failures.max_by_key(|failure| failure.verdict);
        let worst = worst.unwrap_or(Failure::may_have_run(Cause::Deadline));
        let has_not_ended = |subquery: &DelegatedSubquery| subquery.state != SubqueryState::Ended;
        let may_run = self.reply_count() > 0 || self.subqueries.iter().any(has_not_ended);
        if worst.verdict == Verdict::NotRun && may_run {
            return Failure::may_have_run(worst.cause);
        }
        worst
    }

    fn progress(&self, now: Instant) -> Progress {
        Progress {
            total: self.shards.services.len(),
            done: self.reply_count(),
            failed: self.failed_shards.len(),
            min_replies: self.shards.min_replies(),
            age: now.saturating_duration_since(self.started),
            objective: self.route.objective,
            deadline: if self.is_cut {
                Duration::ZERO
            } else {
                let deadline = self.outgoing.deadline;
                deadline.saturating_duration_since(self.started)
            },
        }
    }

    /// Divides the shards and starts a subquery for each part.
    fn start_subqueries(&mut self) {
        let now = Instant::now();
        let settings = &self.gateway.settings;
        let domains: Vec<Name> = self.view.helpers.domains().cloned().collect();
        let near = domains.iter().position(|name| *name == settings.domain);
        let homes = self.shard_domains(&domains);
        let groups = delegation::group_by_domain(&settings.id, near, &domains, &homes);
        let helpers: Vec<Vec<Arc<HelperHandle>>> = groups
            .iter()
            .map(|group| self.view.helpers.available(&domains[group.domain], now))
            .collect();
        let capacities: Vec<(usize, Vec<Helper>)> = groups
            .iter()
            .zip(&helpers)
            .map(|(group, helpers)| (group.shards.len(), helper_capacities(helpers)))
            .collect();
        // A larger host uses the median processor share here: then hosts of all sizes
        // divide a request in the same way, and each leaf receives requests from few hosts.
        let processor = settings
            .millicores
            .min(self.view.helpers.median_processor());
        let counts = delegation::subquery_counts(processor, &capacities);
        let attempts = self.route.max_attempts;
        if counts.is_empty() {
            self.query_locally(self.shards.services.clone(), attempts, false);
            return;
        }
        for ((group, helpers), count) in groups.iter().zip(&helpers).zip(counts) {
            let services = group
                .shards
                .iter()
                .map(|shard| &self.shards.services[*shard]);
            let services: Vec<Name> = services.cloned().collect();
            self.delegate_shards(&helpers[..count], services, attempts, false);
        }
    }

    /// Returns for each shard in which of `domains` it has leaves.
    fn shard_domains(&self, domains: &[Name]) -> Vec<DomainSet> {
        let index = |name: &Name| domains.iter().position(|domain| domain == name);
        let homes = |service: &Name| {
            let leaves = self.view.leaves(service).iter();
            let indices = leaves.filter_map(|leaf| index(&leaf.leaf.domain));
            indices
                .filter(|index| *index < delegation::MAX_DOMAINS)
                .fold(0, |homes, index| homes | 1 << index)
        };
        self.shards.services.iter().map(homes).collect()
    }

    /// Divides `services` among `helpers` and starts their subqueries.
    fn delegate_shards(
        &mut self,
        helpers: &[Arc<HelperHandle>],
        services: Vec<Name>,
        attempts: u32,
        is_repeat: bool,
    ) {
        let assigned = delegation::assign_helpers(services.iter(), &helper_capacities(helpers));
        let mut assignments: Vec<Vec<Name>> = vec![Vec::new(); helpers.len()];
        for (service, index) in services.into_iter().zip(assigned) {
            assignments[index].push(service);
        }
        for (helper, services) in helpers.iter().zip(assignments) {
            if services.is_empty() {
                continue;
            }
            if helper.id == self.gateway.settings.id {
                self.query_locally(services, attempts, is_repeat);
            } else {
                self.query_remotely(Arc::clone(helper), services, attempts, is_repeat);
            }
        }
    }

    fn subquery_task(&self, services: Vec<Name>, attempts: u32, is_repeat: bool) -> SubqueryTask {
        let mut route = Arc::clone(&self.route);
        if attempts != route.max_attempts {
            route = Arc::new(Route {
                max_attempts: attempts,
                ..(*route).clone()
            });
        }
        SubqueryTask {
            route,
            services,
            record_limit: self.shards.max_records,
            outgoing: Arc::clone(&self.outgoing),
            started: self.started,
            soft_deadline: self.soft_deadline(),
            is_repeat,
            hold_until: self.started,
        }
    }

    fn query_locally(&mut self, services: Vec<Name>, attempts: u32, is_repeat: bool) {
        let task = self.subquery_task(services.clone(), attempts, is_repeat);
        let events = delegated::run_locally(Arc::clone(self.gateway), Arc::clone(&self.view), task);
        self.add_subquery(DelegatedSubquery::new(None, services, attempts), events);
    }

    fn query_remotely(
        &mut self,
        helper: Arc<HelperHandle>,
        services: Vec<Name>,
        attempts: u32,
        is_repeat: bool,
    ) {
        let task = self.subquery_task(services.clone(), attempts, is_repeat);
        let events = delegated::run_remotely(Arc::clone(&helper), task, self.version);
        self.add_subquery(
            DelegatedSubquery::new(Some(helper), services, attempts),
            events,
        );
    }

    fn add_subquery(
        &mut self,
        subquery: DelegatedSubquery,
        events: BoxStream<'static, SubqueryEvent>,
    ) {
        self.events.insert(self.subqueries.len(), events);
        self.subqueries.push(subquery);
    }

    fn handle_event(&mut self, index: usize, event: SubqueryEvent) {
        if let Some(outcome) = event.handoff_outcome() {
            self.gateway.metrics.record_subquery(outcome);
        }
        let subquery = &mut self.subqueries[index];
        match event {
            SubqueryEvent::Accepted => {
                subquery.state = SubqueryState::Accepted;
                if let Some(helper) = &subquery.helper {
                    helper.record_acceptance();
                }
            }
            SubqueryEvent::Partial(partial) => {
                subquery.settled += partial.count + partial.lost.len();
                subquery.rejections = partial.rejected;
                let lost = partial.lost.iter().cloned();
                let (unreached, failed): (Vec<_>, Vec<_>) =
                    lost.partition(|lost| !lost.unreached.is_empty());
                self.failed_shards.extend(failed);
                self.partials.push(partial);
                if !unreached.is_empty() {
                    self.hand_over(index, unreached);
                }
            }
            SubqueryEvent::NotAccepted(PeerRejection::Broken(reason)) => {
                self.fail_subquery(index, Stage::Sent, &reason);
            }
            SubqueryEvent::NotAccepted(
                PeerRejection::Unreachable(reason) | PeerRejection::Refused(reason),
            ) => {
                self.fail_subquery(index, Stage::NotTaken, &reason);
            }
            SubqueryEvent::Ended(_) if subquery.settled >= subquery.services.len() => {
                subquery.state = SubqueryState::Ended;
            }
            SubqueryEvent::Ended(reason) => {
                let reason = reason.unwrap_or_else(|| "ended early".to_owned());
                self.fail_subquery(index, Stage::Taken, &reason);
            }
        }
    }

    fn next_acceptance_due(&self) -> Option<Instant> {
        let accept_timeout = helper_failure::accept_timeout(self.route.objective);
        let due = self
            .subqueries
            .iter()
            .filter_map(|subquery| match subquery.state {
                SubqueryState::Sent(at) => Some(at + accept_timeout),
                SubqueryState::Accepted | SubqueryState::Ended => None,
            });
        due.min()
    }

    fn soft_deadline(&self) -> Instant {
        self.started + response_timing::soft_deadline(self.route.objective)
    }

    /// Fails subqueries that were not accepted in time.
    fn fail_late_subqueries(&mut self, now: Instant) {
        let accept_timeout = helper_failure::accept_timeout(self.route.objective);
        for index in 0..self.subqueries.len() {
            if let SubqueryState::Sent(at) = self.subqueries[index].state
                && now >= at + accept_timeout
            {
                self.gateway.metrics.record_subquery(SubqueryOutcome::Late);
                self.fail_subquery(index, Stage::Sent, "not taken on in time");
            }
        }
    }

    /// Ends a subquery that failed. Other hosts run it if none of its shards was reported
    /// and attempts are left; otherwise its shards without a report count as failed.
    fn fail_subquery(&mut self, index: usize, stage: Stage, reason: &str) {
        let now = Instant::now();
        // Dropping the stream cancels the call to the helper: its further replies are of no
        // use.
        self.events.remove(&index);
        if stage == Stage::NotTaken && !self.subqueries[index].cut_hosts.is_empty() {
            self.fail_hand_over(index);
            return;
        }
        let subquery = &mut self.subqueries[index];
        subquery.state = SubqueryState::Ended;
        let remaining = subquery.services.len().saturating_sub(subquery.settled);
        let attempts = helper_failure::attempts_left(stage, subquery.attempts);
        let services = std::mem::take(&mut subquery.services);
        if let Some(helper) = &subquery.helper {
            helper.record_failure(now);
            info!(self.gateway.log, "gather: subquery failed"; "request" => &*self.outgoing.id,
                "host" => &*helper.id, "shards" => services.len(), "stage" => ?stage,
                "reason" => reason, "left" => remaining, "attempts" => attempts);
        }
        let failure = Failure {
            verdict: helper_failure::verdict(stage),
            cause: Cause::Unreachable,
        };
        if attempts == 0 || services.len() > remaining {
            self.record_failed_shards(remaining, failure);
            return;
        }
        self.reassign_shards(services, attempts, helper_failure::uses_budget(stage));
    }

    /// Delegates shards to hosts that accepted other subqueries of the request, or else to
    /// hosts of this domain that have had no subquery of it. This host queries them itself
    /// when there is neither.
    fn reassign_shards(&mut self, services: Vec<Name>, attempts: u32, is_repeat: bool) {
        let accepted = self
            .subqueries
            .iter()
            .filter(|subquery| subquery.state == SubqueryState::Accepted);
        let mut helpers: Vec<Arc<HelperHandle>> = Vec::new();
        for helper in accepted.filter_map(|subquery| subquery.helper.as_ref()) {
            if !helpers.iter().any(|known| Arc::ptr_eq(known, helper)) {
                helpers.push(Arc::clone(helper));
            }
        }
        if helpers.is_empty() {
            let tried = self
                .subqueries
                .iter()
                .filter_map(|subquery| subquery.helper.as_ref());
            let tried: Vec<&Arc<HelperHandle>> = tried.collect();
            let domain = &self.gateway.settings.domain;
            let mut available = self.view.helpers.available(domain, Instant::now());
            available.retain(|helper| !tried.iter().any(|known| Arc::ptr_eq(known, helper)));
            available.truncate(MAX_REPLACEMENTS);
            helpers = available;
        }
        if helpers.is_empty() {
            self.query_locally(services, attempts, is_repeat);
        } else {
            self.delegate_shards(&helpers, services, attempts, is_repeat);
        }
    }

    /// Delegates shards of which the host of a subquery reaches no leaf to another host.
    fn hand_over(&mut self, index: usize, shards: Vec<LostShard>) {
        let now = Instant::now();
        let reach = &self.gateway.service_reach;
        let (down, open): (Vec<_>, Vec<_>) = shards
            .into_iter()
            .partition(|shard| reach.is_down(&shard.unreached, now));
        self.failed_shards.extend(down);
        if open.is_empty() {
            return;
        }
        let subquery = &self.subqueries[index];
        let mut cut_hosts = subquery.cut_hosts.clone();
        cut_hosts.push(subquery.host(&self.gateway.settings.id));
        let attempts = subquery.attempts;
        let services: Vec<Name> = open.iter().map(|shard| shard.unreached.clone()).collect();
        let Some(host) = self.next_host(&cut_hosts, now) else {
            reach.record_down(&services, now);
            self.failed_shards.extend(open);
            return;
        };
        info!(self.gateway.log, "gather: shards handed to another host"; "request" => &*self.outgoing.id,
            "shards" => services.len(), "host" => &*host.id, "cut_hosts" => cut_hosts.len());
        self.query_remotely(host, services, attempts, false);
        if let Some(subquery) = self.subqueries.last_mut() {
            subquery.cut_hosts = cut_hosts;
        }
    }

    /// Hands the shards of a subquery on whose host did not take it.
    fn fail_hand_over(&mut self, index: usize) {
        let subquery = &mut self.subqueries[index];
        subquery.state = SubqueryState::Ended;
        if let Some(helper) = &subquery.helper {
            helper.record_failure(Instant::now());
        }
        let services = std::mem::take(&mut subquery.services);
        let lost = services.into_iter().map(|service| LostShard {
            leaf: Name::default(),
            failure: Failure::not_run(Cause::Unreachable),
            unreached: service,
        });
        self.hand_over(index, lost.collect());
    }

    /// Returns the host that gets shards of which `cut_hosts` reach no leaf.
    fn next_host(&self, cut_hosts: &[Name], now: Instant) -> Option<Arc<HelperHandle>> {
        if cut_hosts.len() > relaying::MAX_HOSTS {
            return None;
        }
        let hosts = self.view.helpers.choose_relays(now).into_iter();
        hosts.into_iter().find(|host| !cut_hosts.contains(&host.id))
    }

    fn record_failed_shards(&mut self, count: usize, failure: Failure) {
        let lost = LostShard {
            leaf: Name::default(),
            failure,
            unreached: Name::default(),
        };
        self.failed_shards.extend(std::iter::repeat_n(lost, count));
    }
}
