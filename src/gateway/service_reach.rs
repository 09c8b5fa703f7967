//! Which services this host reaches, and which no host does.

use {
    super::{
        Gateway,
        view::{LeafHandle, View, lock},
    },
    crate::{
        collections::{Map, Name},
        state::{
            routes::{Destination, Repeats, Route},
            service_contact::{FreshOutcome, ServiceContact},
        },
    },
    slog::{info, warn},
    std::{
        sync::Mutex,
        time::{Duration, Instant},
    },
    tokio::sync::{Notify, futures::Notified},
};

/// Time for which a service that no host reached isn't looked for at other hosts again.
const DOWN_TTL: Duration = Duration::from_millis(500);

/// Time for which another host that reached a service is asked first.
const REACHED_TTL: Duration = Duration::from_secs(5);

/// Why a request that waits for leaves is handed to another host besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handover {
    /// To find out whether another host reaches the service.
    Trial,
    /// Another host does, and this one doesn't.
    Severed,
}

impl Handover {
    /// Returns the name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Severed => "severed",
        }
    }
}

/// What this host knows of its ways to the services.
#[derive(Default)]
pub struct ServiceReach {
    contacts: Mutex<Map<Name, ServiceContact>>,
    /// Services that neither this host nor those that it asked reach, and until when that is
    /// taken to last.
    down_until: Mutex<Map<Name, Instant>>,
    /// Hosts that reached a service which this one did not, and until when they are asked first.
    reached_by: Mutex<Map<Name, (Name, Instant)>>,
    /// Notified when a service isn't reached any more.
    severed: Notify,
}

/// An attempt on a new connection, until it is dropped.
pub struct FreshAttempt<'a> {
    gateway: &'a Gateway,
    leaf: &'a LeafHandle,
    outcome: FreshOutcome,
}

impl FreshAttempt<'_> {
    /// Records how the attempt ends; without it, there was no answer.
    pub fn record_outcome(&mut self, outcome: FreshOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for FreshAttempt<'_> {
    fn drop(&mut self) {
        let leaf = &self.leaf.leaf;
        let mut contacts = lock(&self.gateway.service_reach.contacts);
        let Some(contact) = contacts.get_mut(&leaf.service) else {
            return;
        };
        let is_back = contact.record_end(leaf.address, self.outcome, Instant::now());
        if contact.is_idle() {
            contacts.remove(&leaf.service);
        }
        if is_back {
            self.gateway.record_severed(&contacts);
            info!(self.gateway.log, "service_reach: service is reached again"; "service" => &*leaf.service);
        }
    }
}

impl ServiceReach {
    /// Records that neither this host nor the others that it asked reach a leaf of `services`.
    pub fn record_down(&self, services: &[Name], now: Instant) {
        let mut down_until = lock(&self.down_until);
        down_until.retain(|_, until| now < *until);
        let entries = services.iter().map(|name| (name.clone(), now + DOWN_TTL));
        down_until.extend(entries);
        drop(down_until);
        let mut contacts = lock(&self.contacts);
        for service in services {
            if let Some(contact) = contacts.get_mut(service) {
                contact.record_down();
            }
        }
    }

    /// Returns whether no host reached the service a short while ago.
    #[must_use]
    pub fn is_down(&self, service: &str, now: Instant) -> bool {
        let until = lock(&self.down_until).get(service).copied();
        until.is_some_and(|until| now < until)
    }

    /// Records whether the host `host`, which this one asked, reaches the service.
    pub fn record_asked(&self, service: &Name, host: &Name, is_reached: bool, now: Instant) {
        let mut reached_by = lock(&self.reached_by);
        reached_by.retain(|_, (_, until)| now < *until);
        if is_reached {
            reached_by.insert(service.clone(), (host.clone(), now + REACHED_TTL));
        } else if reached_by
            .get(service)
            .is_some_and(|(known, _)| known == host)
        {
            reached_by.remove(service);
        }
    }

    /// Returns the host that should be asked first for the service.
    #[must_use]
    pub fn host_for(&self, service: &str, now: Instant) -> Option<Name> {
        let reached_by = lock(&self.reached_by);
        let known = reached_by.get(service).filter(|(_, until)| now < *until);
        known.map(|(host, _)| host.clone())
    }

    /// Waits until a service isn't reached any more.
    pub fn severed(&self) -> Notified<'_> {
        self.severed.notified()
    }

    /// Returns when and why a request to the service, which has `leaves` leaves, should be handed
    /// to another host besides.
    #[must_use]
    pub fn handover(
        &self,
        service: &str,
        leaves: usize,
        now: Instant,
    ) -> Option<(Instant, Handover)> {
        let contacts = lock(&self.contacts);
        let contact = contacts.get(service)?;
        if contact.is_severed() {
            return Some((now, Handover::Severed));
        }
        let due = contact.trial_due(leaves)?;
        Some((due, Handover::Trial))
    }

    /// Returns whether new connections to the service, which has `leaves` leaves, are silent.
    #[must_use]
    pub fn is_silent(&self, service: &str, leaves: usize) -> bool {
        let contacts = lock(&self.contacts);
        let contact = contacts.get(service);
        contact.is_some_and(|contact| contact.is_silent(leaves))
    }

    /// Records that another host is asked for the service.
    pub fn record_trial(&self, service: &str, now: Instant) {
        if let Some(contact) = lock(&self.contacts).get_mut(service) {
            contact.record_trial(now);
        }
    }
}

impl Gateway {
    /// Starts an attempt at `leaf` on a new connection; `None` if new connections don't reach its
    /// service.
    pub fn start_fresh<'a>(
        &'a self,
        leaf: &'a LeafHandle,
        repeats: Repeats,
    ) -> Option<FreshAttempt<'a>> {
        let now = Instant::now();
        let mut contacts = lock(&self.service_reach.contacts);
        let contact = contacts.entry(leaf.leaf.service.clone()).or_default();
        if !contact.may_connect(repeats, now) {
            return None;
        }
        contact.record_start(leaf.leaf.address, now);
        Some(FreshAttempt {
            gateway: self,
            leaf,
            outcome: FreshOutcome::Silent,
        })
    }

    /// Returns whether new connections to a service of the route are silent.
    #[must_use]
    pub fn has_silent_service(&self, view: &View, route: &Route) -> bool {
        let is_silent = |service: &Name| {
            self.service_reach
                .is_silent(service, view.leaves(service).len())
        };
        match &route.destination {
            Destination::Split(parts) => parts.iter().any(|part| is_silent(&part.service)),
            Destination::Shards(shards) => shards.services.iter().any(is_silent),
        }
    }

    /// Records that another host, asked at `asked_at`, has got a reply from the service.
    pub fn record_reply_elsewhere(&self, service: &str, asked_at: Instant) {
        let mut contacts = lock(&self.service_reach.contacts);
        let contact = contacts.get_mut(service);
        if contact.is_some_and(|contact| contact.record_reply_elsewhere(asked_at, Instant::now())) {
            self.record_severed(&contacts);
            self.service_reach.severed.notify_waiters();
            warn!(self.log, "service_reach: another host reaches the service, and this one doesn't";
                "service" => service);
        }
    }

    fn record_severed(&self, contacts: &Map<Name, ServiceContact>) {
        let severed = contacts.values().filter(|contact| contact.is_severed());
        let count = i64::try_from(severed.count()).unwrap_or(i64::MAX);
        self.metrics.reach.severed_services.set(count);
    }
}
