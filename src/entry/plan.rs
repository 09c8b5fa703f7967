//! Fan-out of a query: one batch of requests per owner, with retries and hedges that share
//! one budget.

use {
    super::{Entry, Gather, Job, may_resend},
    crate::{
        collections::{Map, Name},
        daemon::shared::View,
        declaration::{Aim, Service},
        protocol::{
            message::LeafReply,
            verdict::{Cause, Failure, Verdict},
        },
        state::{
            catalog::{LeafEntry, LeafId},
            leaves::SLOW_FACTOR,
        },
        transport::store::Store,
    },
    futures_util::{
        StreamExt,
        stream::{BoxStream, SelectAll},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// Least delay of a hedge: a reply that takes less is not late.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// Percentage of the shards whose replies determine when the others are late.
const HEDGE_TIMING_PERCENT: u32 = 75;

/// First delay before a request is sent again to whichever daemon then owns the leaf; each
/// further delay is twice as long.
const MIN_RESEND_DELAY: Duration = Duration::from_millis(5);

/// Longest such delay.
const MAX_RESEND_DELAY: Duration = Duration::from_millis(160);

/// Attempts of one query in flight.
struct FanOut {
    replies: SelectAll<BoxStream<'static, LeafReply>>,
    resends: Vec<(Instant, u32)>,
    delays: Map<u32, Duration>,
    sent_at: Map<LeafId, Instant>,
    started: Instant,
    hedge_at: Option<Instant>,
    /// Whether hedges are enabled but there are too few latency samples to time them.
    needs_timing: bool,
    /// Time until which a query that aims at latency waits for the replies of hedges.
    earliest_end: Option<Instant>,
}

/// Event that the fan-out waits for.
enum FanOutEvent {
    Reply(LeafReply),
    ResendDue,
    HedgeDue,
    EarliestEnd,
    Deadline,
}

impl<S: Store> Entry<S> {
    /// Sends the request to every shard that has no rows yet, until all shards have replied
    /// or are missing, enough have replied, or the deadline is reached.
    pub(super) async fn fan_out(&self, job: &Job, view: &Arc<View>, gather: &mut Gather) {
        let service = Arc::clone(gather.service());
        let now = Instant::now();
        let delay = hedge_delay(job, &service);
        let mut fan = FanOut {
            replies: SelectAll::new(),
            resends: Vec::new(),
            delays: Map::default(),
            sent_at: Map::default(),
            started: now,
            hedge_at: delay.map(|delay| now + delay),
            needs_timing: delay.is_none() && service.hedge.percentile > 0,
            // A hedge gets as much time to reply as the first attempt had.
            earliest_end: (service.aim != Aim::Coverage)
                .then(|| delay.map_or(job.deadline, |delay| now + delay * 2)),
        };
        let open: Vec<u32> = gather.open_shards().collect();
        job.state.budget.earn(open.len());
        self.send_batches(job, view, gather, &mut fan, &open);
        while !gather.is_complete() && !has_enough_coverage(&service, gather, &fan) {
            match fan.next_event(job.deadline).await {
                FanOutEvent::Reply(reply) => self.process_reply(job, gather, &mut fan, &reply),
                FanOutEvent::ResendDue => {
                    let due = fan.take_due_resends();
                    // The delay serves to let the view change, so the current one is used.
                    let view = self.shared.view();
                    self.send_batches(job, &view, gather, &mut fan, &due);
                }
                FanOutEvent::HedgeDue => self.send_hedges(job, view, gather, &mut fan),
                FanOutEvent::EarliestEnd => fan.earliest_end = None,
                FanOutEvent::Deadline => break,
            }
        }
        // Leaves without a reply by now are late, or a replica replied first.
        for (leaf, sent_at) in &fan.sent_at {
            if is_slow(job, *sent_at) {
                self.shared.health.back_off(*leaf);
            }
        }
        let is_in_time = Instant::now() < job.deadline;
        gather.close_open_shards(if is_in_time {
            Cause::Late
        } else {
            Cause::Deadline
        });
    }

    /// Sends a request for each of `shards`, one batch per owner.
    fn send_batches(
        &self,
        job: &Job,
        view: &View,
        gather: &mut Gather,
        fan: &mut FanOut,
        shards: &[u32],
    ) {
        let draw = rand::random();
        let mut batches: Map<Option<Name>, Vec<Arc<LeafEntry>>> = Map::default();
        for shard in shards {
            match self.choose_replica(view, gather, *shard, draw) {
                Ok((leaf, owner)) => {
                    if let Some((slow, owner)) =
                        self.recheck_replica(job, view, gather, *shard, leaf.id)
                    {
                        batches.entry(owner).or_default().push(slow);
                    }
                    batches.entry(owner).or_default().push(leaf);
                }
                Err(cause) => gather.mark_missing(*shard, cause),
            }
        }
        let now = Instant::now();
        for (owner, leaves) in batches {
            let ids = leaves.iter().map(|leaf| leaf.id).collect();
            for leaf in &leaves {
                gather.record_attempt(leaf);
                fan.sent_at.insert(leaf.id, now);
            }
            let layout = gather.service().layout;
            let batch = job.new_batch(view, layout, gather.snapshot(), ids);
            fan.replies.push(self.dispatch(owner, batch));
        }
    }

    /// Chooses a replica without an attempt so far; if there is none, one that had an
    /// attempt.
    fn choose_replica(
        &self,
        view: &View,
        gather: &Gather,
        shard: u32,
        draw: u64,
    ) -> Result<(Arc<LeafEntry>, Option<Name>), Cause> {
        let replicas = gather.replicas(shard);
        let mut why = Cause::NoOwner;
        let mut fallback = None;
        for leaf in self.shared.health.order_replicas(replicas, draw) {
            let current = view.catalog.leaves.get(&leaf.id).unwrap_or(&leaf);
            if let Some(cause) = self.shared.out_of_service(current) {
                why = cause;
                continue;
            }
            match self.shared.owner(view, leaf.id) {
                Ok(owner) if !gather.was_attempted(leaf.id) => return Ok((leaf, owner)),
                Ok(owner) => fallback = fallback.or(Some((leaf, owner))),
                Err(failure) => why = failure.cause,
            }
        }
        fallback.ok_or(why)
    }

    /// Returns a replica other than `chosen` whose backoff has expired, to check whether it
    /// is still slow. The query does not wait for its reply, and the budget pays for the
    /// attempt.
    fn recheck_replica(
        &self,
        job: &Job,
        view: &View,
        gather: &Gather,
        shard: u32,
        chosen: LeafId,
    ) -> Option<(Arc<LeafEntry>, Option<Name>)> {
        let others = gather.replicas(shard).iter();
        let leaf = others
            .filter(|leaf| leaf.id != chosen && !gather.was_attempted(leaf.id))
            .find(|leaf| {
                self.shared.out_of_service(leaf).is_none()
                    && self.shared.health.claim_retry(leaf.id)
            })?;
        let owner = self.shared.owner(view, leaf.id).ok()?;
        job.state.budget.spend().then(|| (Arc::clone(leaf), owner))
    }

    fn process_reply(&self, job: &Job, gather: &mut Gather, fan: &mut FanOut, reply: &LeafReply) {
        let Some(leaf) = gather.leaf(reply.leaf) else {
            return;
        };
        self.record_outcome(job, &leaf, reply);
        let sent_at = fan.sent_at.remove(&reply.leaf);
        if let Some(sent_at) = sent_at
            && reply.outcome.is_ok()
        {
            if is_slow(job, sent_at) {
                self.shared.health.back_off(reply.leaf);
            } else {
                self.shared.health.record_success(reply.leaf);
            }
            job.state.latency.record(sent_at.elapsed());
        }
        let Some(failure) = gather.record_reply(&leaf, reply) else {
            fan.set_hedge_time(gather);
            return;
        };
        if gather.has_pending_attempt(leaf.shard) {
            // The attempt at the other replica may still succeed.
            return;
        }
        match resend_rule(failure) {
            Resend::Free => fan.schedule_resend(leaf.shard),
            Resend::Budgeted
                if self.has_untried_replica(gather, &leaf) && job.state.budget.spend() =>
            {
                self.shared.metrics.retries.inc();
                fan.resends.push((Instant::now(), leaf.shard));
            }
            Resend::Budgeted | Resend::Never => gather.mark_missing(leaf.shard, failure.cause),
        }
    }

    fn has_untried_replica(&self, gather: &Gather, leaf: &LeafEntry) -> bool {
        gather.replicas(leaf.shard).iter().any(|other| {
            !gather.was_attempted(other.id) && self.shared.out_of_service(other).is_none()
        })
    }

    /// Sends the request to another replica of each late shard, as far as the budget
    /// allows.
    fn send_hedges(&self, job: &Job, view: &View, gather: &mut Gather, fan: &mut FanOut) {
        fan.hedge_at = None;
        let late: Vec<u32> = gather.open_shards().collect();
        let hedged: Vec<u32> = late
            .into_iter()
            .filter(|shard| {
                let replicas = gather.replicas(*shard);
                replicas.iter().any(|leaf| {
                    !gather.was_attempted(leaf.id) && self.shared.out_of_service(leaf).is_none()
                })
            })
            .filter(|_| job.state.budget.spend())
            .collect();
        self.shared.metrics.hedges.inc_by(hedged.len() as u64);
        self.send_batches(job, view, gather, fan, &hedged);
    }
}

impl FanOut {
    /// Sets the time of the hedge from this query's own replies if the service has too few
    /// latency samples: once most shards have replied, twice the time that they took.
    fn set_hedge_time(&mut self, gather: &Gather) {
        let most = gather.service().shards * HEDGE_TIMING_PERCENT / 100;
        if self.needs_timing && gather.answered() >= most {
            self.needs_timing = false;
            let took = self.started.elapsed().max(MIN_HEDGE_DELAY);
            self.hedge_at = Some(self.started + took * 2);
        }
    }

    async fn next_event(&mut self, deadline: Instant) -> FanOutEvent {
        let resend_at = self.resends.iter().map(|(at, _)| *at).min();
        let wake_at = resend_at.unwrap_or(deadline).min(deadline);
        let hedge = self.hedge_at.unwrap_or(deadline);
        let enough = self.earliest_end.unwrap_or(deadline);
        tokio::select! {
            biased;
            Some(reply) = self.replies.next() => FanOutEvent::Reply(reply),
            () = sleep_until(hedge), if self.hedge_at.is_some() && hedge < deadline => FanOutEvent::HedgeDue,
            () = sleep_until(enough), if self.earliest_end.is_some() && enough < deadline => FanOutEvent::EarliestEnd,
            () = sleep_until(wake_at) => {
                if resend_at.is_some_and(|at| at <= Instant::now()) {
                    FanOutEvent::ResendDue
                } else {
                    FanOutEvent::Deadline
                }
            }
        }
    }

    /// Schedules another attempt at a shard after a delay.
    fn schedule_resend(&mut self, shard: u32) {
        let delay = self.delays.entry(shard).or_insert(MIN_RESEND_DELAY);
        self.resends.push((Instant::now() + *delay, shard));
        *delay = (*delay * 2).min(MAX_RESEND_DELAY);
    }

    /// Removes and returns the shards whose delay is over.
    fn take_due_resends(&mut self) -> Vec<u32> {
        let now = Instant::now();
        let (due, later) = self.resends.iter().partition(|(at, _)| *at <= now);
        self.resends = later;
        let due: Vec<(Instant, u32)> = due;
        due.into_iter().map(|(_, shard)| shard).collect()
    }
}

/// Condition under which a failed request is sent again.
enum Resend {
    /// No target received the request, so that another attempt adds no load on targets.
    Free,
    /// A target received it, or its queue was full: only within the budget.
    Budgeted,
    /// It must not be sent again.
    Never,
}

fn resend_rule(failure: Failure) -> Resend {
    match failure.cause {
        Cause::NotOwner | Cause::NoOwner if failure.verdict == Verdict::NotRun => Resend::Free,
        Cause::Crashed | Cause::Layout | Cause::Version => Resend::Never,
        // A query may run twice, so a shard whose reply was lost is retried.
        Cause::Unreachable => Resend::Budgeted,
        _ if may_resend(failure) => Resend::Budgeted,
        _ => Resend::Never,
    }
}

/// Returns whether an attempt takes or took more than [`SLOW_FACTOR`] times the median
/// latency.
fn is_slow(job: &Job, sent_at: Instant) -> bool {
    let median = job.state.latency.percentile(50);
    median.is_some_and(|median| sent_at.elapsed() > median * SLOW_FACTOR)
}

fn hedge_delay(job: &Job, service: &Service) -> Option<Duration> {
    if service.hedge.after_ms > 0 {
        return Some(Duration::from_millis(service.hedge.after_ms));
    }
    let percentile = service.hedge.percentile;
    if percentile == 0 {
        return None;
    }
    let delay = job.state.latency.percentile(percentile)?;
    Some(delay.max(MIN_HEDGE_DELAY))
}

/// Returns whether a query that aims at latency may end: enough shards are covered, and
/// hedges have had time to reply.
fn has_enough_coverage(service: &Service, gather: &Gather, fan: &FanOut) -> bool {
    match service.aim {
        Aim::Coverage => false,
        Aim::Latency { enough_percent } => {
            let answered = u64::from(gather.answered()) * 100;
            let enough = u64::from(service.shards) * u64::from(enough_percent);
            answered >= enough && fan.hedge_at.is_none() && fan.earliest_end.is_none()
        }
    }
}
