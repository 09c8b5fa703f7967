//! Sends a request to one leaf of each of its services, and to others beside leaves
//! that are late or fail, for as long as it is asked to.

use {
    super::{
        Gateway,
        call::{Call, Failed, Outcome, Outgoing},
        metrics::Send,
        view::{LeafHandle, Learned, View, lock},
    },
    crate::{
        clock::millis,
        collections::Name,
        policy::{
            hedge::{self, Sends},
            place,
            retry::{self, Next},
        },
        protocol::{
            dialect::Dialect,
            verdict::{Cause, Failure, Verdict},
        },
        state::{
            pace::Usual,
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

pub mod run;

use self::run::{Again, Run, State};

/// One request at the leaves.
pub struct Race {
    gateway: Arc<Gateway>,
    view: Arc<View>,
    route: Arc<Route>,
    learned: Arc<Learned>,
    outgoing: Arc<Outgoing>,
    /// Usual time of a reply.
    usual: Arc<Usual>,
    hedge_delay: Duration,
    started: Instant,
    /// Whether another host may have asked leaves of these services before.
    is_repeat: bool,
    /// Until then no second leaf of a service is asked in which the first may have run it.
    held: Instant,
    /// Replies after which the other shards' waits are known better.
    telling: Option<usize>,
    /// Replies so far.
    done: usize,
    /// Sends that leaves turned away.
    pub refused: usize,
    /// One for each service that must reply.
    pub runs: Vec<Run>,
    calls: Calls,
    sender: UnboundedSender<Ended>,
    ended: UnboundedReceiver<Ended>,
}

struct Ended {
    run: usize,
    call: u64,
    outcome: Outcome,
}

/// Sends under way. Dropped early, because the caller left, it ends them all.
#[derive(Default)]
struct Calls {
    handles: Vec<AbortHandle>,
    next: u64,
}

impl Drop for Calls {
    fn drop(&mut self) {
        for handle in &self.handles {
            handle.abort();
        }
    }
}

impl Race {
    /// Prepares a request of `route` for `services`.
    #[must_use]
    pub fn new(
        gateway: Arc<Gateway>,
        view: Arc<View>,
        route: Arc<Route>,
        services: &[Name],
        outgoing: Arc<Outgoing>,
        started: Instant,
    ) -> Self {
        let learned = view.learned.get(&route.name).cloned().unwrap_or_default();
        let usual = learned.usual();
        let runs = services
            .iter()
            .map(|name| Run::new(view.services.get(name).cloned(), &route))
            .collect();
        let (sender, ended) = mpsc::unbounded_channel();
        Self {
            gateway,
            usual: Arc::new(Usual::new(usual.unwrap_or(hedge::first_guess(route.aim)))),
            hedge_delay: hedge::delay(usual, route.aim),
            view,
            route,
            learned,
            outgoing,
            started,
            is_repeat: false,
            held: started,
            telling: hedge::telling_replies(services.len()),
            done: 0,
            refused: 0,
            runs,
            calls: Calls::default(),
            sender,
            ended,
        }
    }

    /// Notes that another host may have asked leaves of the services before.
    #[must_use]
    pub fn repeated(mut self, is_repeat: bool) -> Self {
        self.is_repeat = is_repeat;
        self
    }

    /// Asks no second leaf of a service before `held`.
    #[must_use]
    pub fn held(mut self, held: Instant) -> Self {
        self.held = held;
        self
    }

    /// Returns how many of the services have a leaf that can be asked.
    #[must_use]
    pub fn reachable(&self) -> usize {
        let has_leaf = |run: &&Run| !run.leaves().is_empty();
        self.runs.iter().filter(has_leaf).count()
    }

    /// Sends the request to one leaf of each service.
    pub fn begin(&mut self) {
        let now = Instant::now();
        for place in 0..self.runs.len() {
            if !self.is_repeat {
                self.earn(place, now);
            } else if !self.spend(place, now) {
                // Another host may have asked a leaf of it, so that this is not the first.
                self.gateway.metrics.sent(Send::Denied);
                self.runs[place].lose(Failure::may_have_run(Cause::Late), None);
                continue;
            }
            self.launch(place, Send::First, now);
        }
    }

    /// Sends on, and takes replies in, until some came or `until` has passed.
    pub async fn advance(&mut self, until: Instant) {
        let wake = self.next_wake().map_or(until, |wake| wake.min(until));
        match timeout_at(wake.into(), self.ended.recv()).await {
            Ok(Some(ended)) => {
                self.note(ended);
                while let Ok(ended) = self.ended.try_recv() {
                    self.note(ended);
                }
            }
            Ok(None) | Err(_) => self.wake(Instant::now()),
        }
    }

    /// Lets what is under way end by itself, so that its connections can be used again.
    pub fn leave(&mut self) {
        self.calls.handles.clear();
    }

    /// Returns the platform's header names.
    #[must_use]
    pub fn dialect(&self) -> &Dialect {
        &self.gateway.dialect
    }

    /// Returns the replies so far.
    #[must_use]
    pub fn done(&self) -> usize {
        self.done
    }

    /// Returns the services that can't reply any more.
    #[must_use]
    pub fn failed(&self) -> usize {
        let is_lost = |run: &&Run| matches!(run.state, State::Lost(..));
        self.runs.iter().filter(is_lost).count()
    }

    /// Returns the id of the request, for logs.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.outgoing.id
    }

    fn next_wake(&self) -> Option<Instant> {
        let open = self.runs.iter().filter(|run| run.is_open());
        let wakes = open.filter_map(|run| {
            let hedge = self.hedge_due(run);
            hedge.into_iter().chain(run.again_at()).min()
        });
        wakes.min()
    }

    fn hedge_due(&self, run: &Run) -> Option<Instant> {
        let sends = Sends {
            repeats: self.route.repeats,
            pending: run.pending.len(),
            hedged: run.hedged,
        };
        let sent = hedge::is_wanted(sends).then_some(run.sent).flatten()?;
        let due = run.denied_until.unwrap_or(sent + self.hedge_delay);
        Some(due.max(self.held))
    }

    fn wake(&mut self, now: Instant) {
        for place in 0..self.runs.len() {
            let run = &mut self.runs[place];
            if !run.is_open() {
                continue;
            }
            match run.take_again(now) {
                Some(Again::Free) => self.launch(place, Send::Retry, now),
                Some(Again::Paid(failure)) => self.retry(place, failure, now),
                None => {
                    let due = self.hedge_due(&self.runs[place]);
                    if due.is_some_and(|due| now >= due) {
                        self.hedge(place, now);
                    }
                }
            }
        }
    }

    fn hedge(&mut self, place: usize, now: Instant) {
        let run = &mut self.runs[place];
        let has_other = run.untried().next().is_some();
        if !has_other || !retry::is_allowed(&run.tries, Verdict::MayHaveRun) {
            run.hedged = true;
            return;
        }
        let was_denied = run.denied_until.is_some();
        let is_granted = self.spend(place, now);
        let send = if is_granted {
            Send::Hedge
        } else {
            Send::Denied
        };
        let run = &mut self.runs[place];
        run.hedged = is_granted;
        run.denied_until = (!is_granted).then(|| now + hedge::DENIED_PAUSE);
        if is_granted || !was_denied {
            let run = &self.runs[place];
            info!(self.gateway.log, "race: leaf late";
                "request" => self.id(), "service" => run.name(), "leaf" => run.last_leaf(),
                "waited_ms" => millis(run.age(now)), "usual_ms" => millis(self.usual.get()),
                "outcome" => send.name());
        }
        if is_granted {
            self.launch(place, send, now);
        } else if !was_denied {
            self.gateway.metrics.sent(send);
        }
    }

    /// Sends again after `failure`, if anything is left of the allowance.
    fn retry(&mut self, place: usize, failure: Failure, now: Instant) {
        if now < self.held {
            self.runs[place].again = Some((self.held, Again::Paid(failure)));
            return;
        }
        if self.spend(place, now) {
            self.launch(place, Send::Retry, now);
            return;
        }
        self.gateway.metrics.sent(Send::Denied);
        let age = now.saturating_duration_since(self.started);
        let run = &mut self.runs[place];
        match retry::when_denied(age, self.route.aim) {
            Next::After(pause) => run.again = Some((now + pause, Again::Paid(failure))),
            Next::Never if run.pending.is_empty() => run.lose(failure, None),
            Next::Never => {}
        }
    }

    /// Sends to the best leaf that was not tried.
    fn launch(&mut self, place: usize, send: Send, now: Instant) {
        let Some(leaf) = self.choose(place, now) else {
            let run = &mut self.runs[place];
            if run.pending.is_empty() {
                run.lose(Failure::not_run(Cause::Unreachable), None);
            }
            return;
        };
        self.gateway.metrics.sent(send);
        let call = Call {
            log: self.gateway.log.clone(),
            leaf: Arc::clone(&leaf),
            outgoing: Arc::clone(&self.outgoing),
            usual: Arc::clone(&self.usual),
            connections: self.view.connections(&leaf.leaf.service),
        };
        let rate = self.view.cold_rate(&leaf.leaf.service);
        leaf.spend_warmup(rate, self.view.hosts, now);
        let number = self.calls.next;
        self.calls.next += 1;
        self.runs[place].begin(number, leaf, now);
        let sender = self.sender.clone();
        let gateway = Arc::clone(&self.gateway);
        let task = tokio::spawn(async move {
            let outcome = call.run(&gateway.dialect, &gateway.reading).await;
            // Nobody may wait for it any more.
            let _ = sender.send(Ended {
                run: place,
                call: number,
                outcome,
            });
        });
        self.calls.handles.push(task.abort_handle());
    }

    fn choose(&self, place: usize, now: Instant) -> Option<Arc<LeafHandle>> {
        let run = &self.runs[place];
        let mut leaves: Vec<&Arc<LeafHandle>> = run.untried().collect();
        if leaves.is_empty() && run.pending.is_empty() {
            leaves = run.leaves().iter().collect();
        }
        let rate = self.view.cold_rate(run.name());
        leaves.retain(|leaf| leaf.is_allowed(rate, now));
        let near = &self.gateway.settings.domain;
        let candidates: Vec<place::Candidate> = leaves
            .iter()
            .map(|leaf| leaf.candidate(near, now))
            .collect();
        let chosen = place::choose(&candidates, rand::random())?;
        Some(Arc::clone(leaves[chosen]))
    }

    fn note(&mut self, ended: Ended) {
        let now = Instant::now();
        let is_gathered = matches!(self.route.destination, Destination::Shards(_));
        let run = &mut self.runs[ended.run];
        let leaf = run.end(ended.call);
        if !run.is_open() {
            return;
        }
        let (failure, reply, arrived) = match ended.outcome {
            // A leaf's own failure is no part of a gathered answer.
            Outcome::Replied(reply)
                if reply.status.is_success()
                    || !(is_gathered || reply.status.is_server_error()) =>
            {
                let took = run.age(now);
                run.state = State::Done(reply);
                self.done += 1;
                self.note_usual(took);
                if self.telling.is_some_and(|telling| self.done == telling) {
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
            Outcome::Failed(Failed { failure, arrived }) => (failure, None, arrived),
        };
        self.gateway.metrics.failed(failure.cause);
        self.refused += usize::from(failure.cause == Cause::Shed);
        run.tries.failed(failure.verdict, arrived);
        let next = retry::decide(&run.tries, failure, arrived, run.untried().next().is_some());
        if failure.cause != Cause::Overloaded {
            info!(self.gateway.log, "race: send failed";
            "request" => &*self.outgoing.id, "service" => run.name(),
            "leaf" => leaf.as_ref().map(|leaf| &*leaf.leaf.id),
            "verdict" => %failure.verdict, "cause" => failure.cause.name(),
            "status" => reply.as_ref().map(|reply| reply.status.as_u16()),
            "runs" => run.tries.runs, "attempts" => run.tries.attempts,
            "repeats" => run.tries.repeats.name(), "next" => next.name());
        }
        run.failed_reply = reply.or(run.failed_reply.take());
        match next {
            retry::Retry::Free => self.launch(ended.run, Send::Retry, now),
            retry::Retry::Paid => self.retry(ended.run, failure, now),
            retry::Retry::FreeAfter(pause) => {
                run.forget(leaf.as_ref());
                run.again = Some((now + pause, Again::Free));
            }
            retry::Retry::No => {}
        }
        let run = &mut self.runs[ended.run];
        if run.is_open() && run.pending.is_empty() && run.again.is_none() {
            run.lose(failure, None);
        }
    }

    /// Notes how long the reply that just came took, if it is the one in the middle: many
    /// replies of one request tell no more of what is usual than one.
    fn note_usual(&self, took: Duration) {
        let few = hedge::telling_replies(self.runs.len()).is_none();
        if few {
            self.learned.note(took);
        } else if self.done == self.runs.len().div_ceil(2) {
            self.learned.note(took);
            self.usual.note(took);
        }
    }

    fn earn(&self, place: usize, now: Instant) {
        if let Some(service) = &self.runs[place].service {
            let mut allowance = lock(&service.allowance);
            allowance.earn(&self.gateway.reloaded().allowance, service.share, now);
        }
    }

    fn spend(&self, place: usize, now: Instant) -> bool {
        let Some(service) = &self.runs[place].service else {
            return false;
        };
        let mut allowance = lock(&service.allowance);
        allowance.spend(&self.gateway.reloaded().allowance, service.share, now)
    }
}
