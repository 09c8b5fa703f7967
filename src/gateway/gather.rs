//! Gathers the answer to a request of many shards: alone, or with other hosts that each
//! ask some of the shards.

use {
    super::{
        Gateway,
        call::Outgoing,
        helpers::{HelperHandle, weigh},
        metrics::Handed,
        piece::Work,
        view::View,
    },
    crate::{
        collections::Name,
        policy::{
            divide::{self, Helper, Homes},
            reassign::{self, Stage},
            wait::{self, Progress, Wait},
        },
        protocol::verdict::{Cause, Failure, Verdict},
        state::routes::{Route, Shards},
        transport::fleet::{Lost, NotTaken, Parts},
    },
    futures_util::{FutureExt, StreamExt, stream::BoxStream},
    slog::info,
    std::{sync::Arc, time::Instant},
    tokio::time::timeout_at,
    tokio_stream::StreamMap,
};

mod asked;

use self::asked::{Asked, Event, PieceState};

/// Hosts that ask in place of one that did not, when no other has taken a piece on.
const AGAIN: usize = 2;

/// One request to many shards.
pub struct Gathering<'a> {
    gateway: &'a Arc<Gateway>,
    view: Arc<View>,
    route: Arc<Route>,
    shards: &'a Shards,
    version: u64,
    outgoing: Arc<Outgoing>,
    started: Instant,
    pieces: Vec<Asked>,
    /// What becomes of the pieces, by place.
    events: StreamMap<usize, BoxStream<'static, Event>>,
    /// Replies so far.
    pub parts: Vec<Parts>,
    /// Shards that give none.
    pub lost: Vec<Lost>,
}

impl<'a> Gathering<'a> {
    /// Prepares a request.
    #[must_use]
    pub fn new(
        gateway: &'a Arc<Gateway>,
        view: Arc<View>,
        route: Arc<Route>,
        shards: &'a Shards,
        version: u64,
        outgoing: Outgoing,
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
            pieces: Vec::new(),
            events: StreamMap::new(),
            parts: Vec::new(),
            lost: Vec::new(),
        }
    }

    /// Returns how many of the shards have a leaf that can be asked.
    #[must_use]
    pub fn reachable(&self) -> usize {
        self.view.reachable(&self.shards.services)
    }

    /// Returns the replies so far.
    #[must_use]
    pub fn done(&self) -> usize {
        self.parts.iter().map(|parts| parts.count).sum()
    }

    /// Returns the sends that leaves turned away.
    #[must_use]
    pub fn refused(&self) -> usize {
        self.pieces.iter().map(|piece| piece.refused).sum()
    }

    /// Returns in how many pieces the shards were asked.
    #[must_use]
    pub fn pieces(&self) -> usize {
        self.pieces.len()
    }

    /// Asks the shards and waits until there is an answer or none to come.
    pub async fn run(&mut self) -> Wait {
        self.begin();
        loop {
            let now = Instant::now();
            let until = match wait::decide(&self.progress(now)) {
                Wait::Until(age) => self.started + age,
                decided => return decided,
            };
            let until = self.next_due().map_or(until, |due| due.min(until));
            match timeout_at(until.into(), self.events.next()).await {
                Ok(Some((place, event))) => self.note(place, event),
                Ok(None) => tokio::time::sleep_until(until.into()).await,
                // What came in while this host was busy is read before anything is late.
                Err(_) => {
                    tokio::task::yield_now().await;
                    while let Some(Some((place, event))) = self.events.next().now_or_never() {
                        self.note(place, event);
                    }
                }
            }
            self.give_up_late(Instant::now());
        }
    }

    /// Returns why too few shards replied: what the worst of them may have done.
    #[must_use]
    pub fn failure(&self) -> Failure {
        let lost = self.lost.iter().map(|lost| lost.failure);
        let worst = lost.max_by_key(|failure| failure.verdict);
        let worst = worst.unwrap_or(Failure::may_have_run(Cause::Deadline));
        let is_open = |piece: &Asked| piece.state != PieceState::Ended;
        let may_run = self.done() > 0 || self.pieces.iter().any(is_open);
        if worst.verdict == Verdict::NotRun && may_run {
            return Failure::may_have_run(worst.cause);
        }
        worst
    }

    fn progress(&self, now: Instant) -> Progress {
        Progress {
            total: self.shards.services.len(),
            done: self.done(),
            failed: self.lost.len(),
            least: self.shards.least_parts(),
            age: now.saturating_duration_since(self.started),
            aim: self.route.aim,
            limit: self
                .outgoing
                .deadline
                .saturating_duration_since(self.started),
        }
    }

    /// Divides the shards and hands the pieces out.
    fn begin(&mut self) {
        let now = Instant::now();
        let settings = &self.gateway.settings;
        let domains: Vec<Name> = self.view.helpers.domains().cloned().collect();
        let near = domains.iter().position(|name| *name == settings.domain);
        let homes = self.homes(&domains);
        let groups = divide::groups(&settings.id, near, &domains, &homes);
        let helpers: Vec<Vec<Arc<HelperHandle>>> = groups
            .iter()
            .map(|group| self.view.helpers.usable(&domains[group.domain], now))
            .collect();
        let weighed: Vec<(usize, Vec<Helper>)> = groups
            .iter()
            .zip(&helpers)
            .map(|(group, helpers)| (group.shards.len(), weigh(helpers)))
            .collect();
        // Hosts of all sizes come to the same division, so that few hosts meet each leaf.
        let processor = settings.processor.min(self.view.helpers.typical());
        let counts = divide::pieces(processor, &weighed);
        let attempts = self.route.attempts;
        if counts.is_empty() {
            self.ask_alone(self.shards.services.clone(), attempts, false);
            return;
        }
        for ((group, helpers), count) in groups.iter().zip(&helpers).zip(counts) {
            let services = group
                .shards
                .iter()
                .map(|shard| &self.shards.services[*shard]);
            let services: Vec<Name> = services.cloned().collect();
            self.hand_out(&helpers[..count], services, attempts, false);
        }
    }

    /// Returns in which of `domains` each shard has leaves.
    fn homes(&self, domains: &[Name]) -> Vec<Homes> {
        let place = |name: &Name| domains.iter().position(|domain| domain == name);
        let homes = |service: &Name| {
            let leaves = self.view.leaves(service).iter();
            let places = leaves.filter_map(|leaf| place(&leaf.leaf.domain));
            places
                .filter(|place| *place < divide::MOST_DOMAINS)
                .fold(0, |homes, place| homes | 1 << place)
        };
        self.shards.services.iter().map(homes).collect()
    }

    /// Hands `services` out to `helpers`.
    fn hand_out(
        &mut self,
        helpers: &[Arc<HelperHandle>],
        services: Vec<Name>,
        attempts: u32,
        is_repeat: bool,
    ) {
        let assigned = divide::assign(services.iter(), &weigh(helpers));
        let mut pieces: Vec<Vec<Name>> = vec![Vec::new(); helpers.len()];
        for (service, place) in services.into_iter().zip(assigned) {
            pieces[place].push(service);
        }
        for (helper, services) in helpers.iter().zip(pieces) {
            if services.is_empty() {
                continue;
            }
            if helper.id == self.gateway.settings.id {
                self.ask_alone(services, attempts, is_repeat);
            } else {
                self.hand(Arc::clone(helper), services, attempts, is_repeat);
            }
        }
    }

    fn work(&self, services: Vec<Name>, attempts: u32, is_repeat: bool) -> Work {
        let mut route = Arc::clone(&self.route);
        if attempts != route.attempts {
            route = Arc::new(Route {
                attempts,
                ..(*route).clone()
            });
        }
        Work {
            route,
            services,
            records: self.shards.records,
            outgoing: Arc::clone(&self.outgoing),
            started: self.started,
            cut: self.cut(),
            is_repeat,
            held: self.started,
        }
    }

    fn ask_alone(&mut self, services: Vec<Name>, attempts: u32, is_repeat: bool) {
        let work = self.work(services.clone(), attempts, is_repeat);
        let events = asked::alone(Arc::clone(self.gateway), Arc::clone(&self.view), work);
        self.begin_piece(Asked::new(None, services, attempts), events);
    }

    fn hand(
        &mut self,
        helper: Arc<HelperHandle>,
        services: Vec<Name>,
        attempts: u32,
        is_repeat: bool,
    ) {
        let work = self.work(services.clone(), attempts, is_repeat);
        let events = asked::by_other(Arc::clone(&helper), work, self.version);
        self.begin_piece(Asked::new(Some(helper), services, attempts), events);
    }

    fn begin_piece(&mut self, piece: Asked, events: BoxStream<'static, Event>) {
        self.events.insert(self.pieces.len(), events);
        self.pieces.push(piece);
    }

    fn note(&mut self, place: usize, event: Event) {
        if let Some(handed) = event.handed() {
            self.gateway.metrics.handed(handed);
        }
        let piece = &mut self.pieces[place];
        match event {
            Event::Taken => {
                piece.state = PieceState::Taken;
                if let Some(helper) = &piece.helper {
                    helper.note_taken();
                }
            }
            Event::Parts(parts) => {
                piece.settled += parts.count + parts.lost.len();
                piece.refused = parts.refused;
                self.lost.extend(parts.lost.iter().cloned());
                self.parts.push(parts);
            }
            Event::NotTaken(NotTaken::Broken(reason)) => {
                self.give_up(place, Stage::Sent, &reason);
            }
            Event::NotTaken(NotTaken::Unreachable(reason) | NotTaken::Refused(reason)) => {
                self.give_up(place, Stage::NotTaken, &reason);
            }
            Event::Ended(_) if piece.settled >= piece.services.len() => {
                piece.state = PieceState::Ended;
            }
            Event::Ended(reason) => {
                let reason = reason.unwrap_or_else(|| "ended early".to_owned());
                self.give_up(place, Stage::Taken, &reason);
            }
        }
    }

    fn next_due(&self) -> Option<Instant> {
        let patience = reassign::take_time(self.route.aim);
        let due = self.pieces.iter().filter_map(|piece| match piece.state {
            PieceState::Sent(at) => Some(at + patience),
            PieceState::Taken | PieceState::Ended => None,
        });
        due.min()
    }

    fn cut(&self) -> Instant {
        self.started + wait::cut(self.route.aim)
    }

    /// Gives up pieces that were not taken on in time.
    fn give_up_late(&mut self, now: Instant) {
        let patience = reassign::take_time(self.route.aim);
        for place in 0..self.pieces.len() {
            if let PieceState::Sent(at) = self.pieces[place].state
                && now >= at + patience
            {
                self.gateway.metrics.handed(Handed::Late);
                self.give_up(place, Stage::Sent, "not taken on in time");
            }
        }
    }

    /// Gives a piece up; others ask its shards if they still may.
    fn give_up(&mut self, place: usize, stage: Stage, reason: &str) {
        let now = Instant::now();
        // What the host may still do is of no use: its connection is told so.
        self.events.remove(&place);
        let piece = &mut self.pieces[place];
        piece.state = PieceState::Ended;
        let left = piece.services.len().saturating_sub(piece.settled);
        let attempts = reassign::attempts_left(stage, piece.attempts);
        let services = std::mem::take(&mut piece.services);
        if let Some(helper) = &piece.helper {
            helper.note_silent(now);
            info!(self.gateway.log, "gather: another host did not ask"; "request" => &*self.outgoing.id,
                "host" => &*helper.id, "shards" => services.len(), "stage" => ?stage,
                "reason" => reason, "left" => left, "attempts" => attempts);
        }
        let failure = Failure {
            verdict: reassign::verdict(stage),
            cause: Cause::Unreachable,
        };
        if attempts == 0 || services.len() > left {
            self.lose(left, failure);
            return;
        }
        self.hand_again(services, attempts, reassign::is_paid(stage));
    }

    /// Hands shards to hosts that took other pieces on, or else to ones not asked yet.
    fn hand_again(&mut self, services: Vec<Name>, attempts: u32, is_repeat: bool) {
        let taken = self
            .pieces
            .iter()
            .filter(|piece| piece.state == PieceState::Taken);
        let mut helpers: Vec<Arc<HelperHandle>> = Vec::new();
        for helper in taken.filter_map(|piece| piece.helper.as_ref()) {
            if !helpers.iter().any(|known| Arc::ptr_eq(known, helper)) {
                helpers.push(Arc::clone(helper));
            }
        }
        if helpers.is_empty() {
            let asked = self.pieces.iter().filter_map(|piece| piece.helper.as_ref());
            let asked: Vec<&Arc<HelperHandle>> = asked.collect();
            let domain = &self.gateway.settings.domain;
            let mut usable = self.view.helpers.usable(domain, Instant::now());
            usable.retain(|helper| !asked.iter().any(|asked| Arc::ptr_eq(asked, helper)));
            usable.truncate(AGAIN);
            helpers = usable;
        }
        if helpers.is_empty() {
            self.ask_alone(services, attempts, is_repeat);
        } else {
            self.hand_out(&helpers, services, attempts, is_repeat);
        }
    }

    fn lose(&mut self, count: usize, failure: Failure) {
        let lost = Lost {
            leaf: Name::default(),
            failure,
        };
        self.lost.extend(std::iter::repeat_n(lost, count));
    }
}
