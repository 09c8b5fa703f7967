//! Sends a request to one leaf of each of its services, and to others beside leaves
//! that are late or fail, until the policy says that it is enough.

use {
    super::{
        Gateway,
        call::{Call, Failed, Outcome, Outgoing},
        view::{LeafHandle, Learned, Service, View, lock},
    },
    crate::{
        collections::Name,
        policy::{
            hedge, place,
            retry::{self, Tries},
            wait::{self, Progress, Wait},
        },
        protocol::verdict::{Cause, Failure, Verdict},
        state::routes::{Repeats, Route},
        transport::leaf::LeafReply,
    },
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

/// Time for which sends that no longer matter may go on, so that their connections can
/// be used again; a leaf that is slower than this is not waited for.
const LINGER: Duration = Duration::from_millis(300);

/// Times a leaf without a free connection is asked again before the request gives up on
/// it.
const FULL_PAUSE: Duration = Duration::from_millis(5);

/// One request at the leaves.
pub struct Race<'a> {
    gateway: &'a Arc<Gateway>,
    view: Arc<View>,
    route: Arc<Route>,
    learned: Arc<Learned>,
    outgoing: Arc<Outgoing>,
    /// Usual time of a reply when the request came.
    usual: Duration,
    hedge_delay: Duration,
    started: Instant,
    limit: Duration,
    least: usize,
    /// One for each service that must reply.
    pub runs: Vec<Run>,
    calls: Calls,
    sender: UnboundedSender<Ended>,
    ended: UnboundedReceiver<Ended>,
}

/// The sends to one service.
pub struct Run {
    /// The service; `None` when it is not known.
    pub service: Option<Arc<Service>>,
    /// How it stands.
    pub state: State,
    tried: Vec<Arc<LeafHandle>>,
    pending: Vec<u64>,
    tries: Tries,
    sent: Option<Instant>,
    hedged: bool,
    /// When a leaf without a free connection is asked again.
    again: Option<Instant>,
}

/// How the sends to one service stand.
#[derive(Debug)]
pub enum State {
    /// No reply yet.
    Open,
    /// A success.
    Done(Box<LeafReply>),
    /// No reply to come. A failure that a leaf answered may be passed on.
    Lost(Failure, Option<Box<LeafReply>>),
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

impl<'a> Race<'a> {
    /// Prepares a request for `services`; `least` of them must reply.
    #[must_use]
    pub fn new(
        gateway: &'a Arc<Gateway>,
        view: Arc<View>,
        route: Arc<Route>,
        services: &[Name],
        least: usize,
        outgoing: Outgoing,
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
            usual: usual.unwrap_or(route.aim / 4),
            hedge_delay: hedge::delay(usual, route.aim),
            limit: outgoing.deadline.saturating_duration_since(started),
            view,
            route,
            learned,
            outgoing: Arc::new(outgoing),
            started,
            least,
            runs,
            calls: Calls::default(),
            sender,
            ended,
        }
    }

    /// Returns how many of the services have a leaf that can be asked.
    #[must_use]
    pub fn reachable(&self) -> usize {
        self.runs
            .iter()
            .filter(|run| {
                run.service
                    .as_ref()
                    .is_some_and(|service| !service.leaves.is_empty())
            })
            .count()
    }

    /// Sends the request and waits until there is an answer or none to come.
    pub async fn run(&mut self) -> Wait {
        let now = Instant::now();
        for place in 0..self.runs.len() {
            self.earn(place, now);
            self.launch(place, now);
        }
        loop {
            let now = Instant::now();
            let until = match wait::decide(&self.progress(now)) {
                Wait::Until(age) => self.started + age,
                decided => {
                    self.settle();
                    return decided;
                }
            };
            let wake = self.next_wake().map_or(until, |wake| wake.min(until));
            // What has come in already goes before any timer.
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
    }

    fn progress(&self, now: Instant) -> Progress {
        let count =
            |wanted: fn(&State) -> bool| self.runs.iter().filter(|run| wanted(&run.state)).count();
        Progress {
            total: self.runs.len(),
            done: count(|state| matches!(state, State::Done(_))),
            failed: count(|state| matches!(state, State::Lost(..))),
            least: self.least,
            age: now.saturating_duration_since(self.started),
            aim: self.route.aim,
            limit: self.limit,
        }
    }

    /// Lets sends that are under way end by themselves.
    fn settle(&mut self) {
        self.calls.handles.clear();
    }

    fn next_wake(&self) -> Option<Instant> {
        let may_hedge = self.route.repeats == Repeats::Safe;
        let open = self.runs.iter().filter(|run| run.is_open());
        let wakes = open.filter_map(|run| {
            let hedge = (may_hedge && !run.hedged)
                .then_some(run.sent)
                .flatten()
                .map(|sent| sent + self.hedge_delay);
            hedge.into_iter().chain(run.again).min()
        });
        wakes.min()
    }

    fn wake(&mut self, now: Instant) {
        for place in 0..self.runs.len() {
            let run = &self.runs[place];
            if !run.is_open() {
                continue;
            }
            if run.again.is_some_and(|again| now >= again) {
                self.runs[place].again = None;
                self.launch(place, now);
                continue;
            }
            let is_late = run.sent.is_some_and(|sent| now >= sent + self.hedge_delay);
            if is_late && !run.hedged && self.route.repeats == Repeats::Safe {
                self.runs[place].hedged = true;
                self.hedge(place, now);
            }
        }
    }

    fn hedge(&mut self, place: usize, now: Instant) {
        let run = &self.runs[place];
        let has_other = run.untried().next().is_some();
        if has_other && retry::is_allowed(&run.tries, Verdict::MayHaveRun) && self.spend(place, now)
        {
            self.launch(place, now);
        }
    }

    /// Sends to the best leaf that was not tried.
    fn launch(&mut self, place: usize, now: Instant) {
        let Some(leaf) = self.choose(place, now) else {
            let run = &mut self.runs[place];
            if run.pending.is_empty() && run.is_open() {
                run.lose(Failure::not_run(Cause::Unreachable), None);
            }
            return;
        };
        let connections = self.view.connections(&leaf.leaf.service);
        let call = Call {
            leaf: Arc::clone(&leaf),
            learned: Arc::clone(&self.learned),
            outgoing: Arc::clone(&self.outgoing),
            usual: self.usual,
            connections,
        };
        let number = self.calls.next;
        self.calls.next += 1;
        let run = &mut self.runs[place];
        run.pending.push(number);
        run.tries.runs += 1;
        run.tries.sends += 1;
        run.tried.push(leaf);
        run.sent.get_or_insert(now);
        let sender = self.sender.clone();
        let gateway = Arc::clone(self.gateway);
        let task = tokio::spawn(async move {
            let outcome = call.run(&gateway.dialect).await;
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
        let run = &mut self.runs[ended.run];
        run.pending.retain(|call| *call != ended.call);
        if !run.is_open() {
            return;
        }
        let failed = match ended.outcome {
            Outcome::Replied(reply) if !reply.status.is_server_error() => {
                run.state = State::Done(reply);
                return;
            }
            Outcome::Replied(reply) => (Failure::may_have_run(Cause::Crashed), Some(reply), true),
            Outcome::Failed(Failed { failure, arrived }) => (failure, None, arrived),
        };
        let (failure, reply, arrived) = failed;
        if failure.verdict == Verdict::NotRun {
            run.tries.runs -= 1;
            if !arrived {
                run.tries.sends -= 1;
            }
        }
        if failure.cause == Cause::Overloaded && run.pending.is_empty() {
            // All connections to it are in use: one comes free soon.
            run.tried.pop();
            run.again = Some(now + FULL_PAUSE);
            return;
        }
        let may_retry = retry::is_allowed(&run.tries, failure.verdict);
        if may_retry && (!arrived || self.spend(ended.run, now)) {
            self.launch(ended.run, now);
        }
        let run = &mut self.runs[ended.run];
        if run.is_open() && run.pending.is_empty() && run.again.is_none() {
            run.lose(failure, reply);
        }
    }

    fn earn(&self, place: usize, now: Instant) {
        if let Some(service) = &self.runs[place].service {
            let mut allowance = lock(&service.allowance);
            allowance.earn(&self.gateway.settings.allowance, self.view.hosts, now);
        }
    }

    fn spend(&self, place: usize, now: Instant) -> bool {
        let Some(service) = &self.runs[place].service else {
            return false;
        };
        let mut allowance = lock(&service.allowance);
        allowance.spend(&self.gateway.settings.allowance, self.view.hosts, now)
    }
}

impl Run {
    fn new(service: Option<Arc<Service>>, route: &Route) -> Self {
        Self {
            service,
            state: State::Open,
            tried: Vec::new(),
            pending: Vec::new(),
            tries: Tries {
                runs: 0,
                sends: 0,
                attempts: route.attempts,
                repeats: route.repeats,
            },
            sent: None,
            hedged: false,
            again: None,
        }
    }

    /// Returns whether it may still get a reply.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open)
    }

    /// Returns how many sends were made that a leaf may have run.
    #[must_use]
    pub fn runs(&self) -> u32 {
        self.tries.runs
    }

    fn leaves(&self) -> &[Arc<LeafHandle>] {
        self.service.as_ref().map_or(&[], |service| &service.leaves)
    }

    fn untried(&self) -> impl Iterator<Item = &Arc<LeafHandle>> {
        self.leaves()
            .iter()
            .filter(|leaf| !self.tried.iter().any(|tried| Arc::ptr_eq(tried, leaf)))
    }

    fn lose(&mut self, failure: Failure, reply: Option<Box<LeafReply>>) {
        self.state = State::Lost(failure, reply);
    }
}
