//! Finds out whether this host reaches leaves.

use {
    super::{
        Gateway,
        view::{View, lock},
    },
    crate::{
        collections::{Map, Set},
        state::leaf_contact::{LeafContact, Reach},
        transport::leaf::accepts_any,
    },
    rand::seq::IteratorRandom,
    slog::{info, warn},
    std::{
        collections::hash_map::Entry,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Time between two looks at what was heard from leaves.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between the leaves that a host asks that is cut off.
const RETURN_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which a leaf accepts a connection: some round trips within a region, and turns of a
/// busy host.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Leaves that are asked beside the first, when that one is silent: one of so many runs unless
/// nearly all have ended.
const MORE_LEAVES: usize = 5;

/// Whether this host reaches leaves.
#[derive(Default)]
pub struct LeafReach {
    contact: Mutex<LeafContact>,
    /// Addresses of the leaves at which attempts are in flight, with their number.
    in_flight: Mutex<Map<SocketAddr, usize>>,
    is_cut_off: AtomicBool,
    changed: Notify,
}

/// An attempt at a leaf that is in flight until this is dropped.
pub struct WaitingAttempt<'a> {
    reach: &'a LeafReach,
    leaf: SocketAddr,
    has_reply: bool,
}

impl WaitingAttempt<'_> {
    /// Records that the leaf has replied.
    pub fn record_reply(&mut self) {
        self.has_reply = true;
    }
}

impl Drop for WaitingAttempt<'_> {
    fn drop(&mut self) {
        lock(&self.reach.contact).record_end(self.has_reply);
        let mut in_flight = lock(&self.reach.in_flight);
        if let Entry::Occupied(mut entry) = in_flight.entry(self.leaf) {
            *entry.get_mut() -= 1;
            if *entry.get() == 0 {
                entry.remove();
            }
        }
    }
}

impl LeafReach {
    /// Records that an attempt at the leaf with the address `leaf` starts.
    #[must_use]
    pub fn start_attempt(&self, leaf: SocketAddr) -> WaitingAttempt<'_> {
        lock(&self.contact).record_start(Instant::now());
        *lock(&self.in_flight).entry(leaf).or_default() += 1;
        WaitingAttempt {
            reach: self,
            leaf,
            has_reply: false,
        }
    }

    /// Returns whether this host reaches no leaf.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off.load(Ordering::Relaxed)
    }

    /// Waits until this host reaches no leaf.
    pub async fn cut_off(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_cut_off() {
                return;
            }
            changed.await;
        }
    }
}

impl Gateway {
    /// Records a sign of a leaf: a reply, or a connection that it accepted.
    pub fn record_leaf_sign(&self) {
        if lock(&self.leaf_reach.contact).record_sign(Instant::now()) {
            self.set_cut_off(false);
            info!(self.log, "leaf_reach: a leaf is reached again");
        }
    }

    fn set_cut_off(&self, is_cut_off: bool) {
        self.leaf_reach
            .is_cut_off
            .store(is_cut_off, Ordering::Relaxed);
        self.metrics.reach.cut_off.set(i64::from(is_cut_off));
        self.leaf_reach.changed.notify_waiters();
    }

    /// Asks leaves for a connection, and records whether any accepts one.
    async fn check_reach(&self, reach: Reach) {
        let asked_at = Instant::now();
        // Those with attempts in flight may have left the view.
        let waiting: Vec<SocketAddr> = lock(&self.leaf_reach.in_flight).keys().copied().collect();
        let mut leaves: Set<SocketAddr> = waiting.iter().copied().collect();
        leaves.extend(usable_leaves(&self.view()));
        let first = match reach {
            Reach::Reached if !waiting.is_empty() => sample(waiting.iter(), 1),
            Reach::Reached | Reach::CutOff => sample(leaves.iter(), 1),
        };
        // Leaves that were silent for long are asked one at a time. Without a leaf to ask,
        // nothing is known.
        let is_reached = match reach {
            Reach::CutOff => leaves.is_empty() || accepts(&first).await,
            Reach::Reached => {
                leaves.is_empty()
                    || accepts(&first).await
                    || accepts(&sample(leaves.iter(), MORE_LEAVES)).await
            }
        };
        if is_reached {
            self.record_leaf_sign();
        } else if lock(&self.leaf_reach.contact).record_no_sign(asked_at) {
            self.set_cut_off(true);
            warn!(self.log, "leaf_reach: no leaf is reached"; "asked" => 1 + MORE_LEAVES);
        }
    }
}

fn usable_leaves(view: &View) -> impl Iterator<Item = SocketAddr> {
    let leaves = view.services.values().flat_map(|service| &service.leaves);
    leaves.map(|leaf| leaf.leaf.address)
}

fn sample<'a>(leaves: impl Iterator<Item = &'a SocketAddr>, count: usize) -> Vec<SocketAddr> {
    leaves.copied().sample(&mut rand::rng(), count)
}

async fn accepts(leaves: &[SocketAddr]) -> bool {
    accepts_any(leaves.iter().copied(), ACCEPT_TIMEOUT).await
}

/// Checks until `stop` whether this host reaches leaves.
pub async fn watch_reach(gateway: Arc<Gateway>, stop: CancellationToken) {
    loop {
        let interval = if gateway.leaf_reach.is_cut_off() {
            RETURN_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(interval) => {}
        }
        let reach = {
            let contact = lock(&gateway.leaf_reach.contact);
            contact
                .is_check_due(Instant::now())
                .then(|| contact.reach())
        };
        if let Some(reach) = reach {
            gateway.check_reach(reach).await;
        }
    }
}
