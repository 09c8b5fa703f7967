//! Follows the registry, or another entry host as [`policy::follow`](crate::policy::follow)
//! decides, and publishes what is told.

use {
    super::{Gateway, known::Known},
    crate::{
        clock::{Millis, millis},
        policy::follow::{self, Shunned, Source},
        state::roster::Member,
        transport::{
            fleet::{self, Batch, Standing, Told, Update},
            registry::{Changes, Freshness, Heard, LeaseId, Registry, RegistryError},
        },
    },
    rand::seq::IndexedRandom,
    slog::{info, warn},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::sleep},
    tokio_util::sync::CancellationToken,
};

mod following;

/// Time for which a watch waits for a change. A store that hangs with its connections
/// open is noticed sooner, by the renewals of this host's lease.
const WATCH_TIME: Duration = Duration::from_secs(10);

/// Time for which a watch waits while the registry is away or may be, so that another host
/// is asked in between.
const AWAY_WATCH_TIME: Duration = Duration::from_secs(1);

/// Time in which each call that reads everything must be answered. The registry answers
/// in milliseconds, and in some hundred when it is slow.
const LOAD_PATIENCE: Duration = Duration::from_secs(1);

/// The same for a host that knows no routes: it can't serve, so it is worth more calls to
/// notice at once that a registry that hung is back.
const START_PATIENCE: Duration = Duration::from_millis(400);

/// Pause of such a host after a failed call.
const START_PAUSE: Duration = Duration::from_millis(100);

/// Attempts with [`START_PATIENCE`]: a registry that is slower still must be waited for.
const START_ATTEMPTS: u32 = 8;

/// Part of the time in which news must be in force that passes between two watches, so
/// that leaves and hosts that come and go in numbers cost one call.
const WATCH_PAUSE: f64 = 0.16;

/// Pause of a host that knows no routes after a failed call, once [`START_ATTEMPTS`] are
/// made.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Entries that are read before requests get their turn: some hundred microseconds of work
/// on a whole core.
const DECODED_AT_ONCE: usize = 64;

/// Follows the registry, or another host, until `stop`.
pub struct Follower<R> {
    gateway: Arc<Gateway>,
    registry: Arc<R>,
    known: Known,
    /// Revision up to which everything is known.
    revision: Option<u64>,
    freshness: Freshness,
    contact: Contact,
    /// Calls in a row that the registry did not answer.
    failures: u32,
    /// When a host that follows another may ask the registry again.
    asked_again: Millis,
    shunned: Shunned,
    /// Who waits for the lease of an earlier process of this host.
    before: Option<oneshot::Sender<LeaseId>>,
}

/// Whether the registry answers this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// It answered the last call, or none was made.
    Answers,
    /// Another host was followed since: the registry may hang, and the renewals that tell
    /// so were further apart.
    Untried,
    /// The last call failed.
    Away,
}

impl<R: Registry> Follower<R> {
    /// Returns a follower that knows nothing yet. `before` is told the lease that an earlier
    /// process of this host had, once that is known.
    #[must_use]
    pub fn new(gateway: Arc<Gateway>, registry: Arc<R>, before: oneshot::Sender<LeaseId>) -> Self {
        Self {
            gateway,
            registry,
            known: Known::default(),
            revision: None,
            freshness: Freshness::Behind,
            contact: Contact::Answers,
            failures: 0,
            asked_again: Millis::default(),
            shunned: Shunned::default(),
            before: Some(before),
        }
    }

    /// Follows the registry, or another host, until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            match self.source() {
                Source::Registry => {
                    if self.known.revision() == 0 {
                        self.begin(&stop).await;
                    }
                    if self.known.revision() == 0 || self.source() == Source::Registry {
                        self.step(&stop).await;
                    }
                }
                Source::Host(address) => self.follow(address, &stop).await,
            }
        }
    }

    fn source(&self) -> Source {
        let settings = &self.gateway.settings;
        let members = self.known.roster.members();
        // What the changes are counted from has to be read first.
        let source = match self.revision {
            None => Source::Registry,
            Some(_) => follow::choose(
                &settings.id,
                &settings.domain,
                members,
                &self.shunned,
                Millis::now(),
            ),
        };
        self.gateway.note_source(source);
        source
    }

    /// Learns everything from another host, if the fleet is large and one of the seeds is at
    /// hand: so many hosts may start at once that the registry's link is full of what all of
    /// them read. Few hosts have read everything before a seed has started.
    async fn begin(&mut self, stop: &CancellationToken) {
        let seeds = &self.gateway.reloaded().seeds;
        let own = self.gateway.settings.peer_address;
        if seeds.is_empty() || own.is_some_and(|own| seeds.contains(&own)) {
            return;
        }
        let learning = async {
            let is_large = self.registry.has_many_hosts(self.patience()).await;
            self.gateway.metrics.record_registry_call(is_large.is_ok());
            // Without its word the others may know more.
            if is_large.unwrap_or(true) {
                fleet::learn(seeds, own).await
            } else {
                None
            }
        };
        let learned = tokio::select! {
            () = stop.cancelled() => return,
            learned = learning => learned,
        };
        let Some((source, snapshot)) = learned else {
            info!(self.gateway.log, "upkeep: no other host tells everything"; "seeds" => seeds.len());
            return;
        };
        let Standing { age, doubt } = snapshot.standing;
        info!(self.gateway.log, "upkeep: learned from another host"; "peer" => %source,
            "revision" => snapshot.revision, "before" => self.revision,
            "entries" => snapshot.entries.get().len(), "age_ms" => millis(age));
        if follow::is_fresh(age) {
            self.learn(Update {
                entries: snapshot.entries.get().to_vec(),
                revision: snapshot.revision,
                is_whole: true,
                standing: Standing { age, doubt },
            })
            .await;
        }
    }

    /// Asks the registry once.
    async fn step(&mut self, stop: &CancellationToken) {
        let due = self.known.roster.next_due();
        let heard = tokio::select! {
            () = stop.cancelled() => return,
            () = until(due) => {
                self.settle();
                return;
            }
            heard = self.ask() => heard,
        };
        self.gateway.metrics.record_registry_call(heard.is_ok());
        let pause = match heard {
            Ok(heard) => self.hear(heard).await,
            Err(error) => self.fail(&error).await,
        };
        sleep(pause).await;
    }

    async fn ask(&self) -> Result<Heard, RegistryError> {
        let wait = match self.contact {
            Contact::Answers => WATCH_TIME,
            Contact::Untried | Contact::Away => AWAY_WATCH_TIME,
        };
        let asked = async {
            match self.revision {
                None => self.registry.load(self.freshness, self.patience()).await,
                Some(revision) => self.registry.watch(revision, wait).await,
            }
        };
        // A watch that began before a call failed may never end, even when the registry
        // is back.
        tokio::select! {
            heard = asked => heard,
            () = self.gateway.doubted.notified() => {
                Err(RegistryError::Unreachable("another call had no answer".to_owned()))
            }
        }
    }

    fn is_starting(&self) -> bool {
        !self.known.has_routes() && self.failures < START_ATTEMPTS
    }

    fn patience(&self) -> Duration {
        if self.is_starting() {
            START_PATIENCE
        } else {
            LOAD_PATIENCE
        }
    }

    async fn hear(&mut self, heard: Heard) -> Duration {
        let now = Millis::now();
        self.failures = 0;
        self.gateway.note_heard(now);
        self.gateway.held.note_contact(now);
        self.known.close_old(Instant::now());
        if std::mem::replace(&mut self.contact, Contact::Answers) == Contact::Away {
            info!(self.gateway.log, "upkeep: the registry can be read again"; "revision" => heard.revision);
        }
        let is_whole = self.revision.is_none();
        info!(self.gateway.log, "upkeep: heard"; "revision" => heard.revision,
            "before" => self.revision, "entries" => heard.entries.len());
        let is_news = self.take(heard, is_whole).await;
        if is_news && !is_whole {
            self.gateway.settings.news_time.mul_f64(WATCH_PAUSE)
        } else {
            Duration::ZERO
        }
    }

    /// Lets removals take effect whose time has come.
    fn settle(&mut self) {
        let now = Millis::now();
        if self.known.roster.tick(now).leaves {
            self.gateway.publish(self.known.view(&self.gateway, now));
        }
    }

    /// Takes in entries; true when they changed what requests go by.
    async fn take(&mut self, heard: Heard, is_whole: bool) -> bool {
        let mut changes = Changes::default();
        for entries in heard.entries.chunks(DECODED_AT_ONCE) {
            changes.extend(self.registry.decode(entries));
            tokio::task::yield_now().await;
        }
        let now = Millis::now();
        let batch = self.revision.filter(|_| !is_whole).map(|before| Batch {
            before,
            revision: heard.revision,
            entries: Arc::new(Told::new(heard.entries.clone())),
        });
        self.revision = Some(heard.revision);
        let gateway = &self.gateway;
        let is_news = self.known.hear(gateway, changes, is_whole, now);
        let own = self.known.roster.member(&gateway.settings.id);
        let settings = &gateway.settings;
        let is_same = |member: &&Member| {
            (Some(member.address), &member.domain, member.processor)
                == (settings.peer_address, &settings.domain, settings.processor)
        };
        let own = own.filter(is_same).map(|own| LeaseId(own.lease));
        if let Some(before) = self.before.take()
            && let Some(lease) = own.filter(|lease| lease.0 > 0)
        {
            // Who waits may have stopped already.
            let _ = before.send(lease);
        }
        self.known.keep(heard, is_whole);
        if is_news {
            gateway.publish(self.known.view(gateway, now));
        }
        gateway.held.set(self.known.snapshot(), batch);
        is_news
    }

    async fn fail(&mut self, error: &RegistryError) -> Duration {
        self.known.roster.was_away(Millis::now());
        self.gateway
            .held
            .note_doubt(self.known.roster.doubt_until());
        if *error == RegistryError::HistoryGone {
            info!(self.gateway.log, "upkeep: the history is gone, reading everything";
                "after" => self.revision);
            // What lags behind may lie before the gap in the history again.
            self.freshness = Freshness::Present;
            self.revision = None;
            return Duration::ZERO;
        }
        if std::mem::replace(&mut self.contact, Contact::Away) != Contact::Away {
            warn!(self.gateway.log, "upkeep: the registry can't be read"; "error" => %error,
                "revision" => self.revision);
        }
        self.failures += 1;
        self.ask_peer().await;
        if self.is_starting() {
            START_PAUSE
        } else if self.known.has_routes() {
            follow::retry_pause(self.failures)
        } else {
            RETRY_PAUSE
        }
    }

    /// Learns from another entry host.
    async fn ask_peer(&mut self) {
        let peers = self.known.peers(&self.gateway);
        let Some(peer) = peers.choose(&mut rand::rng()) else {
            return;
        };
        let revision = self.known.revision();
        let own = self.gateway.settings.peer_address;
        match fleet::ask(*peer, revision, Duration::ZERO, own).await {
            Ok(snapshot) if snapshot.revision > revision => {
                info!(self.gateway.log, "upkeep: learned from another host"; "peer" => %peer,
                    "revision" => snapshot.revision, "before" => revision,
                    "entries" => snapshot.entries.get().len());
                self.gateway.note_heard(Millis::now());
                self.known.note_peers(&snapshot.peers);
                let heard = Heard {
                    entries: snapshot.entries.get().to_vec(),
                    revision: snapshot.revision,
                };
                self.take(heard, true).await;
            }
            Ok(snapshot) => {
                self.gateway.note_heard(Millis::now());
                self.known.note_peers(&snapshot.peers);
            }
            Err(error) => {
                info!(self.gateway.log, "upkeep: another host did not answer"; "peer" => %peer,
                    "error" => error.message());
            }
        }
    }
}

/// Waits until `due`, for ever without one.
async fn until(due: Option<Millis>) {
    match due {
        Some(due) => sleep(due.since(Millis::now())).await,
        None => std::future::pending().await,
    }
}
