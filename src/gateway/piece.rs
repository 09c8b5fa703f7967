//! Asks leaves of some shards of a request, for this host or for another, and merges what
//! they reply.

use {
    super::{
        Gateway, answer,
        call::Outgoing,
        race::{Race, run::State},
        view::View,
    },
    crate::{
        clock::millis,
        collections::Name,
        policy::{merge, reassign},
        protocol::verdict::{Cause, Failure},
        state::routes::{Destination, Repeats, Route, Shards},
        transport::{
            fleet::{Lost, Parts, Piece, Pieces},
            leaf::LeafReply,
        },
    },
    futures_util::{
        StreamExt,
        stream::{self, BoxStream},
    },
    slog::info,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// One shard in this many that is lost is told before the cut: the whole answer may have
/// become impossible.
const BAD_PART: usize = 20;

/// Some shards of a request, to be asked by this host.
pub struct Work {
    /// The route; its shards may be more.
    pub route: Arc<Route>,
    /// A service for each shard.
    pub services: Vec<Name>,
    /// Records in the merged answer.
    pub records: usize,
    /// The request.
    pub outgoing: Arc<Outgoing>,
    /// When the request came.
    pub started: Instant,
    /// When the replies so far are told.
    pub cut: Instant,
    /// Whether another host may have asked leaves of these shards.
    pub is_repeat: bool,
    /// Until then no second leaf of a shard is asked.
    pub held: Instant,
}

/// The replies to a [`Work`] on their way to be told.
struct Asking {
    race: Race,
    records: usize,
    cut: Instant,
    limit: Instant,
    /// Places of which nothing more is to be told.
    told: Vec<bool>,
    is_begun: bool,
    is_cut: bool,
    is_ended: bool,
}

/// Asks the leaves; returns their replies as they are to be told. Dropped before the cut,
/// it ends what is under way.
#[must_use]
pub fn ask(gateway: Arc<Gateway>, view: Arc<View>, work: Work) -> BoxStream<'static, Parts> {
    let limit = work.outgoing.deadline;
    let race = Race::new(
        gateway,
        view,
        work.route,
        &work.services,
        work.outgoing,
        work.started,
    );
    let asking = Asking {
        told: vec![false; work.services.len()],
        race: race.repeated(work.is_repeat).held(work.held),
        records: work.records,
        cut: work.cut,
        limit,
        is_begun: false,
        is_cut: false,
        is_ended: false,
    };
    let parts = stream::unfold(asking, async |mut asking| {
        let parts = asking.next().await?;
        Some((parts, asking))
    });
    parts.boxed()
}

impl Asking {
    /// Returns what is to be told next; `None` when nothing more is to come.
    async fn next(&mut self) -> Option<Parts> {
        if self.is_ended {
            return None;
        }
        if !std::mem::replace(&mut self.is_begun, true) {
            self.race.begin();
        }
        loop {
            let now = Instant::now();
            let total = self.race.runs.len();
            let settled = self.race.done() + self.race.failed();
            if settled == total || now >= self.limit {
                self.is_ended = true;
                self.race.leave();
                return Some(self.tell());
            }
            if now >= self.cut && !std::mem::replace(&mut self.is_cut, true) {
                // Who asked may have enough; what is under way then ends by itself.
                self.race.leave();
            }
            let told = self.told.iter().filter(|told| **told).count();
            let is_news = settled > told;
            let is_bad = told == 0 && self.race.failed() * BAD_PART > total;
            if (self.is_cut && is_news) || is_bad {
                return Some(self.tell());
            }
            let until = if self.is_cut { self.limit } else { self.cut };
            self.race.advance(until.min(self.limit)).await;
        }
    }

    /// Returns what was not told yet.
    fn tell(&mut self) -> Parts {
        let mut replies: Vec<&LeafReply> = Vec::new();
        let mut lost = Vec::new();
        for (run, told) in self.race.runs.iter().zip(&mut self.told) {
            let failure = match &run.state {
                State::Done(reply) if !*told => {
                    replies.push(reply);
                    None
                }
                State::Lost(failure, _) if !*told => Some(*failure),
                State::Open if self.is_ended => Some(open_failure(run.tries.runs)),
                State::Done(_) | State::Lost(..) | State::Open => continue,
            };
            *told = true;
            lost.extend(failure.map(|failure| Lost {
                leaf: run.last_leaf().unwrap_or_default().into(),
                failure,
            }));
        }
        Parts {
            count: replies.len(),
            digests: answer::digests(self.race.dialect(), &replies),
            records: merge::greatest(replies.iter().map(|reply| &reply.body), self.records),
            lost,
            refused: self.race.refused,
        }
    }
}

/// Returns why a shard has no reply whose time is over.
fn open_failure(runs: u32) -> Failure {
    if runs > 0 {
        Failure::may_have_run(Cause::Deadline)
    } else {
        Failure::not_run(Cause::Unreachable)
    }
}

/// What asks leaves for other hosts.
pub struct Helping(pub Arc<Gateway>);

impl Pieces for Helping {
    fn take(&self, piece: Piece) -> Result<BoxStream<'static, Parts>, &'static str> {
        let gateway = &self.0;
        let started = Instant::now();
        let view = gateway.view();
        let refusal = if gateway.is_stopping() {
            Some("stopping")
        } else if view.routes.is_none() {
            Some("no routes")
        } else {
            None
        };
        let reachable = view.reachable(&piece.services);
        info!(gateway.log, "piece: asked by another host"; "request" => &*piece.id,
            "route" => &*piece.route, "version" => piece.version, "shards" => piece.services.len(),
            "reachable" => reachable, "known_ms" => millis(gateway.age()),
            "cut_ms" => millis(piece.cut), "refused" => refusal);
        if let Some(refusal) = refusal {
            return Err(refusal);
        }
        let parts = ask(Arc::clone(gateway), view, work(piece, started));
        // The word that it is taken on goes out before the leaves are asked.
        let after = stream::once(tokio::task::yield_now()).flat_map(|()| stream::empty());
        Ok(after.chain(parts).boxed())
    }
}

fn work(piece: Piece, started: Instant) -> Work {
    let route = Route {
        name: piece.route,
        host: Box::default(),
        prefix: Box::default(),
        repeats: Repeats::Safe,
        timeout: piece.limit,
        aim: piece.aim,
        rank: piece.rank,
        attempts: piece.attempts,
        destination: Destination::Shards(Shards {
            services: Vec::new(),
            records: piece.records,
            least: 0.0,
        }),
    };
    Work {
        route: Arc::new(route),
        services: piece.services,
        records: piece.records,
        outgoing: Arc::new(Outgoing {
            id: piece.id,
            method: piece.method,
            uri: piece.uri,
            headers: piece.headers,
            body: piece.body,
            deadline: started + piece.limit,
        }),
        started,
        cut: started + piece.cut,
        is_repeat: piece.is_repeat,
        held: started + reassign::hold_time(piece.aim),
    }
}

/// Returns what another host is to ask.
#[must_use]
pub fn to_piece(work: &Work, version: u64, reserve: Duration) -> Piece {
    let now = Instant::now();
    let cut = work.cut.saturating_duration_since(now);
    Piece {
        id: work.outgoing.id.clone(),
        route: work.route.name.clone(),
        version,
        method: work.outgoing.method.clone(),
        uri: work.outgoing.uri.clone(),
        headers: work.outgoing.headers.clone(),
        body: work.outgoing.body.clone(),
        services: work.services.clone(),
        attempts: work.route.attempts,
        rank: work.route.rank,
        records: work.records,
        aim: work.route.aim,
        cut: cut.saturating_sub(reserve),
        limit: work.outgoing.deadline.saturating_duration_since(now),
        is_repeat: work.is_repeat,
    }
}
