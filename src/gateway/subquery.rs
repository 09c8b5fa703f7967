//! Runs a subquery: queries the leaves of some shards of a request, for this host or for
//! another one, and merges their replies into partial results.

use {
    super::{
        Gateway,
        attempt::{OutgoingRequest, RequestProgress},
        authorization,
        hedged_request::{
            HedgedRequest,
            attempts::{ServiceAttempts, State},
        },
        response,
        view::View,
    },
    crate::{
        clock::millis,
        collections::Name,
        policy::{helper_failure, merge},
        protocol::verdict::{Cause, Failure},
        state::{
            organisations::Caller,
            routes::{Destination, Repeats, Route, Shards},
        },
        transport::{
            fleet::{LostShard, PartialResult, Subquery, SubqueryService},
            leaf::LeafReply,
        },
    },
    futures_util::{
        StreamExt,
        stream::{self, BoxStream},
    },
    slog::info,
    std::{
        pin::pin,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Failed shards are reported before the soft deadline when they are more than one in this
/// many: too few replies for a response may be left.
const EARLY_REPORT_DIVISOR: usize = 20;

/// A subquery: some shards of a request.
pub struct SubqueryTask {
    /// Route of the request; it may have more shards.
    pub route: Arc<Route>,
    /// The service of each shard.
    pub services: Vec<Name>,
    /// Maximum number of records in the merged response.
    pub record_limit: usize,
    /// Request to send to leaves.
    pub outgoing: Arc<OutgoingRequest>,
    /// Time at which the request arrived.
    pub started: Instant,
    /// Time at which the replies so far are reported.
    pub soft_deadline: Instant,
    /// Whether another host may have sent the request to leaves of these shards.
    pub is_repeat: bool,
    /// Time before which no shard gets a hedge or a retry that counts against the retry
    /// budget.
    pub hold_until: Instant,
}

/// A running [`SubqueryTask`] and what has been reported of it.
struct RunningSubquery {
    gateway: Arc<Gateway>,
    request: HedgedRequest,
    record_limit: usize,
    soft_deadline: Instant,
    deadline: Instant,
    /// Whether the reply or the failure of each shard has been reported.
    reported: Vec<bool>,
    is_started: bool,
    is_late: bool,
    is_ended: bool,
}

/// Queries the leaves and returns a stream of partial results. Dropping the stream before
/// the soft deadline aborts the attempts in flight.
#[must_use]
pub fn run_subquery(
    gateway: Arc<Gateway>,
    view: Arc<View>,
    task: SubqueryTask,
) -> BoxStream<'static, PartialResult> {
    let deadline = task.outgoing.deadline;
    let request = HedgedRequest::new(
        Arc::clone(&gateway),
        view,
        task.route,
        &task.services,
        task.outgoing,
        task.started,
    );
    let running = RunningSubquery {
        gateway,
        reported: vec![false; task.services.len()],
        request: request
            .with_repeat(task.is_repeat)
            .with_hold_until(task.hold_until),
        record_limit: task.record_limit,
        soft_deadline: task.soft_deadline,
        deadline,
        is_started: false,
        is_late: false,
        is_ended: false,
    };
    let partials = stream::unfold(running, async |mut running| {
        let partial = running.next().await?;
        Some((partial, running))
    });
    partials.boxed()
}

impl RunningSubquery {
    /// Waits for the next partial result; returns `None` after the last one.
    async fn next(&mut self) -> Option<PartialResult> {
        if self.is_ended {
            return None;
        }
        if !std::mem::replace(&mut self.is_started, true) {
            self.request.start();
        }
        let gateway = Arc::clone(&self.gateway);
        let mut last_response_due = pin!(gateway.last_response_due());
        let mut is_cut = false;
        loop {
            let now = Instant::now();
            let total = self.request.services.len();
            let settled = self.request.reply_count() + self.request.failed_count();
            if settled == total || now >= self.deadline || is_cut {
                self.is_ended = true;
                self.request.detach();
                return Some(self.take_partial());
            }
            if now >= self.soft_deadline && !std::mem::replace(&mut self.is_late, true) {
                // The response may be sent now, so this stream may be dropped. The attempts
                // in flight must still run to their end.
                self.request.detach();
            }
            let reported = self
                .reported
                .iter()
                .filter(|is_reported| **is_reported)
                .count();
            let has_new = settled > reported;
            let has_many_failures =
                reported == 0 && self.request.failed_count() * EARLY_REPORT_DIVISOR > total;
            // Another host may reach them.
            let has_unreached = self.request.services.iter().zip(&self.reported);
            let has_unreached = has_unreached
                .filter(|(service, is_reported)| !**is_reported && !service.is_open())
                .any(|(service, _)| service.is_unreached());
            if (self.is_late && has_new) || has_many_failures || has_unreached {
                return Some(self.take_partial());
            }
            let until = if self.is_late {
                self.deadline
            } else {
                self.soft_deadline
            };
            tokio::select! {
                () = self.request.advance(until.min(self.deadline)) => {}
                () = &mut last_response_due => is_cut = true,
            }
        }
    }

    /// Returns the replies and failures that have not been reported yet.
    fn take_partial(&mut self) -> PartialResult {
        let mut replies: Vec<&LeafReply> = Vec::new();
        let mut lost = Vec::new();
        for (service, is_reported) in self.request.services.iter().zip(&mut self.reported) {
            let failure = match &service.state {
                State::Replied(reply) if !*is_reported => {
                    replies.push(reply);
                    None
                }
                State::Failed(failure, _) if !*is_reported => Some(*failure),
                State::Open if self.is_ended => Some(failure_without_reply(service.counts.runs)),
                State::Replied(_) | State::Failed(..) | State::Open => continue,
            };
            *is_reported = true;
            lost.extend(failure.map(|failure| LostShard {
                leaf: service.last_leaf().unwrap_or_default().into(),
                failure,
                unreached: unreached_name(service),
            }));
        }
        PartialResult {
            count: replies.len(),
            digests: response::reply_digests(self.request.dialect(), &replies),
            records: merge::merge_greatest(
                replies.iter().map(|reply| &reply.body),
                self.record_limit,
            ),
            lost,
            rejected: self.request.rejections,
        }
    }
}

/// Returns the name of a service if this host reaches none of its leaves, and otherwise an empty one.
fn unreached_name(service: &ServiceAttempts) -> Name {
    let name = service.is_unreached().then(|| service.name().into());
    name.unwrap_or_default()
}

/// Returns the failure of a shard without a reply at the deadline. `runs` leaves may have
/// run the request.
fn failure_without_reply(runs: u32) -> Failure {
    if runs > 0 {
        Failure::may_have_run(Cause::Deadline)
    } else {
        Failure::not_run(Cause::Unreachable)
    }
}

/// Runs subqueries for other hosts.
pub struct SubqueryServer(pub Arc<Gateway>);

impl SubqueryService for SubqueryServer {
    fn start(
        &self,
        mut subquery: Subquery,
    ) -> Result<BoxStream<'static, PartialResult>, &'static str> {
        let gateway = &self.0;
        let started = Instant::now();
        let copy_age = gateway.copy_age();
        let view = gateway.view();
        let caller = match &view.routes {
            _ if gateway.is_stopping() => Err("stopping"),
            None => Err("no routes"),
            _ if gateway.leaf_reach.is_cut_off() => Err("cut off from the leaves"),
            Some(routes) => authorization::admit_subquery(gateway, routes, copy_age, &mut subquery),
        };
        let reachable = view.reachable(&subquery.services);
        info!(gateway.log, "subquery: received"; "request" => &*subquery.id,
            "route" => &*subquery.route, "version" => subquery.version, "shards" => subquery.services.len(),
            "reachable" => reachable, "known_ms" => millis(gateway.view_age()),
            "cut_off" => gateway.leaf_reach.is_cut_off(),
            "cut_ms" => millis(subquery.soft_deadline), "refused" => caller.as_ref().err());
        let caller = caller?;
        let partials = run_subquery(
            Arc::clone(gateway),
            view,
            task_from_subquery(gateway, subquery, &caller, started),
        );
        // Yields once, so that the acceptance is sent before the first attempts start.
        let acceptance = stream::once(tokio::task::yield_now()).flat_map(|()| stream::empty());
        // A stop waits until the token is dropped, with the stream.
        let token = gateway.subqueries.token();
        let partials = acceptance.chain(partials).inspect(move |_| {
            let _ = &token;
        });
        Ok(partials.boxed())
    }
}

fn task_from_subquery(
    gateway: &Gateway,
    subquery: Subquery,
    caller: &Caller,
    started: Instant,
) -> SubqueryTask {
    let route = Route {
        name: subquery.route,
        host: Box::default(),
        prefix: Box::default(),
        repeats: Repeats::Safe,
        is_public: true,
        timeout: subquery.deadline,
        objective: subquery.objective,
        priority: subquery.priority,
        max_attempts: subquery.attempts,
        destination: Destination::Shards(Shards {
            services: Vec::new(),
            max_records: subquery.max_records,
            min_ratio: 0.0,
        }),
    };
    let mut outgoing = OutgoingRequest {
        id: subquery.id,
        method: subquery.method,
        uri: subquery.uri,
        headers: subquery.headers,
        body: subquery.body,
        deadline: started + subquery.deadline,
        caller: Caller::Unchecked,
        progress: RequestProgress::default(),
    };
    authorization::mark_caller(gateway, caller, &mut outgoing);
    SubqueryTask {
        route: Arc::new(route),
        services: subquery.services,
        record_limit: subquery.max_records,
        outgoing: Arc::new(outgoing),
        started,
        soft_deadline: started + subquery.soft_deadline,
        is_repeat: subquery.is_repeat,
        hold_until: started + helper_failure::hedge_hold(subquery.objective),
    }
}

/// Returns the subquery as it is sent to another host, whose soft deadline is `reserve`
/// earlier.
#[must_use]
pub fn to_subquery(task: &SubqueryTask, version: u64, reserve: Duration) -> Subquery {
    let now = Instant::now();
    let until_soft = task.soft_deadline.saturating_duration_since(now);
    Subquery {
        id: task.outgoing.id.clone(),
        route: task.route.name.clone(),
        version,
        method: task.outgoing.method.clone(),
        uri: task.outgoing.uri.clone(),
        headers: task.outgoing.headers.clone(),
        body: task.outgoing.body.clone(),
        services: task.services.clone(),
        attempts: task.route.max_attempts,
        priority: task.route.priority,
        max_records: task.record_limit,
        objective: task.route.objective,
        soft_deadline: until_soft.saturating_sub(reserve),
        deadline: task.outgoing.deadline.saturating_duration_since(now),
        is_repeat: task.is_repeat,
        is_checked: task.outgoing.caller.is_checked(),
    }
}
