//! The sends of one request to one service.

use {
    crate::{
        gateway::view::{LeafHandle, Service},
        policy::retry::Tries,
        protocol::verdict::Failure,
        state::routes::Route,
        transport::leaf::LeafReply,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The sends to one service.
pub struct Run {
    /// The service; `None` when it has no usable leaf.
    pub service: Option<Arc<Service>>,
    /// How it stands.
    pub state: State,
    /// How often it was tried.
    pub tries: Tries,
    /// When the first send was made.
    pub sent: Option<Instant>,
    /// Whether another leaf was asked because the first was late, or there is none.
    pub hedged: bool,
    /// When the allowance is asked again for a second leaf.
    pub denied_until: Option<Instant>,
    /// When it is sent again.
    pub again: Option<(Instant, Again)>,
    /// Sends under way.
    pub pending: Vec<(u64, Arc<LeafHandle>)>,
    /// The last failure that a leaf answered.
    pub failed_reply: Option<Box<LeafReply>>,
    tried: Vec<Arc<LeafHandle>>,
}

/// How the sends to one service stand.
#[derive(Debug)]
pub enum State {
    /// No reply yet.
    Open,
    /// A reply that can be passed on or merged.
    Done(Box<LeafReply>),
    /// None to come. A failure that a leaf answered may be passed on.
    Lost(Failure, Option<Box<LeafReply>>),
}

/// A send that is made later.
#[derive(Clone, Copy, Debug)]
pub enum Again {
    /// Nothing arrived so far.
    Free,
    /// It counts against the allowance; the last one failed so.
    Paid(Failure),
}

impl Run {
    /// Returns the sends of a request of `route` to `service`, none so far.
    #[must_use]
    pub fn new(service: Option<Arc<Service>>, route: &Route) -> Self {
        Self {
            service,
            state: State::Open,
            tries: Tries::new(route.attempts, route.repeats),
            sent: None,
            hedged: false,
            denied_until: None,
            again: None,
            pending: Vec::new(),
            failed_reply: None,
            tried: Vec::new(),
        }
    }

    /// Returns whether it may still get a reply.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open)
    }

    /// Returns the name of the service.
    #[must_use]
    pub fn name(&self) -> &str {
        self.service.as_ref().map_or("", |service| &service.name)
    }

    /// Returns the usable leaves.
    #[must_use]
    pub fn leaves(&self) -> &[Arc<LeafHandle>] {
        self.service.as_ref().map_or(&[], |service| &service.leaves)
    }

    /// Returns the leaves that were not tried.
    pub fn untried(&self) -> impl Iterator<Item = &Arc<LeafHandle>> {
        self.leaves()
            .iter()
            .filter(|leaf| !self.tried.iter().any(|tried| Arc::ptr_eq(tried, leaf)))
    }

    /// Returns the leaf that was tried last.
    #[must_use]
    pub fn last_leaf(&self) -> Option<&str> {
        self.tried.last().map(|leaf| &*leaf.leaf.id)
    }

    /// Returns the time since the first send.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        self.sent
            .map_or(Duration::ZERO, |sent| now.saturating_duration_since(sent))
    }

    /// Notes a send that begins.
    pub fn begin(&mut self, call: u64, leaf: Arc<LeafHandle>, now: Instant) {
        self.tries.begin();
        self.sent.get_or_insert(now);
        self.tried.push(Arc::clone(&leaf));
        self.pending.push((call, leaf));
    }

    /// Notes a send that ended; returns its leaf.
    pub fn end(&mut self, call: u64) -> Option<Arc<LeafHandle>> {
        let place = self
            .pending
            .iter()
            .position(|(number, _)| *number == call)?;
        Some(self.pending.swap_remove(place).1)
    }

    /// Lets a leaf be tried again.
    pub fn forget(&mut self, leaf: Option<&Arc<LeafHandle>>) {
        let Some(leaf) = leaf else { return };
        self.tried.retain(|tried| !Arc::ptr_eq(tried, leaf));
    }

    /// Returns when it is sent again.
    #[must_use]
    pub fn again_at(&self) -> Option<Instant> {
        self.again.map(|(at, _)| at)
    }

    /// Takes the send that is due.
    pub fn take_again(&mut self, now: Instant) -> Option<Again> {
        self.again
            .take_if(|(at, _)| now >= *at)
            .map(|(_, again)| again)
    }

    /// Gives it up.
    pub fn lose(&mut self, failure: Failure, reply: Option<Box<LeafReply>>) {
        if self.is_open() {
            let reply = reply.or(self.failed_reply.take());
            self.state = State::Lost(failure, reply);
        }
    }
}
