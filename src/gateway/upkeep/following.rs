//! Learning from another entry host that follows the registry.

use {
    super::{Contact, Follower, until},
    crate::{
        clock::{Millis, millis},
        policy::follow::{self, Source},
        transport::{
            fleet::{self, Update, Updates},
            registry::{Heard, Registry},
        },
    },
    slog::info,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio_util::sync::CancellationToken,
};

impl<R: Registry> Follower<R> {
    /// Learns from the host at `source` until it falls silent or behind, or another
    /// source is better.
    pub(super) async fn follow(&mut self, source: SocketAddr, stop: &CancellationToken) {
        let followed = fleet::follow(source, self.known.revision()).await;
        let mut updates = match followed {
            Ok(updates) => updates,
            Err(status) => return self.shun(source, status.message()),
        };
        info!(self.gateway.log, "upkeep: following another host"; "source" => %source,
            "revision" => self.revision);
        let begun = Millis::now();
        self.contact = Contact::Untried;
        while !stop.is_cancelled() && self.source() == Source::Host(source) {
            let due = self.known.roster.next_due();
            let update = tokio::select! {
                () = stop.cancelled() => return,
                () = until(due) => {
                    self.settle();
                    continue;
                }
                // Whether the registry answers this host matters only once it is asked.
                () = self.gateway.doubted.notified() => continue,
                update = next(&mut updates) => update,
            };
            let update = match update {
                Ok(update) => update,
                Err(reason) => return self.shun(source, &reason),
            };
            let age = update.standing.age;
            let is_behind = follow::is_behind(age, Millis::now().since(begun));
            self.learn(update).await;
            if !is_behind {
                continue;
            }
            // The registry may be away for everybody: then another source is no better.
            let took = self.probe().await;
            if took.is_some_and(|took| follow::is_left(age, took)) {
                let reason = format!("its registry answered {} ms ago", millis(age));
                return self.shun(source, &reason);
            }
        }
    }

    /// Returns how long the registry takes to answer this host; `None` when it does not, or
    /// did not a moment ago.
    async fn probe(&mut self) -> Option<Duration> {
        let asked = Millis::now();
        if asked < self.asked_again {
            return None;
        }
        let answer = self.registry.probe().await;
        self.gateway.metrics.record_registry_call(answer.is_ok());
        let now = Millis::now();
        if answer.is_ok() {
            self.failures = 0;
            return Some(now.since(asked));
        }
        self.failures += 1;
        self.asked_again = now.plus(follow::retry_pause(self.failures));
        None
    }

    pub(super) async fn learn(&mut self, update: Update) {
        let now = Millis::now();
        let contact = Millis(now.0.saturating_sub(millis(update.standing.age)));
        self.gateway.note_heard(contact);
        self.gateway.held.note_contact(contact);
        if !update.standing.doubt.is_zero() {
            self.known.roster.doubt(now.plus(update.standing.doubt));
            self.gateway
                .held
                .note_doubt(self.known.roster.doubt_until());
        }
        let is_older = self.revision.is_some_and(|known| update.revision < known);
        if is_older || (update.entries.is_empty() && !update.is_whole) {
            return;
        }
        info!(self.gateway.log, "upkeep: heard"; "revision" => update.revision,
            "before" => self.revision, "entries" => update.entries.len(),
            "age_ms" => millis(update.standing.age));
        self.known.close_old(Instant::now());
        let heard = Heard {
            entries: update.entries,
            revision: update.revision,
        };
        self.take(heard, update.is_whole).await;
    }

    fn shun(&mut self, source: SocketAddr, reason: &str) {
        info!(self.gateway.log, "upkeep: another host is no longer followed"; "source" => %source,
            "reason" => reason, "revision" => self.revision);
        self.shunned.note(source, Millis::now());
    }
}

async fn next(updates: &mut Updates) -> Result<Update, String> {
    let next = updates.next().await;
    next.map_err(|status| status.message().to_owned())
}
