//! The places at the leaves of one service, and the requests that wait for one.

use {
    crate::{
        collections::{Map, Name},
        policy::waiting::{self, Place, Verdict, Waiting},
    },
    std::{
        cmp::Ordering,
        time::{Duration, Instant},
    },
};

/// Multiple of a leaf's expected time after which a request there is overdue.
const OVERDUE_FACTOR: f64 = 2.5;

/// Organisations that are remembered while none of their requests waits.
const MAX_REMEMBERED: usize = 512;

/// A request that needs a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Organisation of its caller.
    pub organisation: Name,
    /// Its priority, 0 being the most urgent.
    pub priority: u32,
    /// Failure domain of the host that sends it.
    pub domain: Name,
    /// Time by which it must be answered.
    pub deadline: Instant,
}

/// A leaf of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct LeafPlaces {
    /// Id.
    pub id: Name,
    /// Failure domain.
    pub domain: Name,
    /// Requests that it takes well at once.
    pub capacity: u32,
    /// Expected time of a request there.
    pub time: Duration,
}

/// What a request got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A place at a leaf, which ends with [`Placements::end`].
    Placed {
        /// Number of the place.
        place: u64,
        /// Id of the leaf.
        leaf: Name,
    },
    /// It can't be answered in time; its caller may come back after this time.
    Refused(Duration),
}

/// A place that a request has.
#[derive(Clone, Debug)]
struct Taken {
    leaf: Name,
    since: Instant,
    /// Deadline of the request.
    until: Instant,
}

/// A request in the queue.
#[derive(Debug)]
struct Queued {
    ticket: u64,
    request: PlacementRequest,
    since: Instant,
}

/// The places that requests have, and the queue.
#[derive(Debug, Default)]
pub struct Placements {
    taken: Map<u64, Taken>,
    queue: Vec<Queued>,
    /// Requests that got a place by organisation, counted from that of the organisation served
    /// least.
    served: Map<Name, f64>,
    /// Count of the organisation that got the last place.
    floor: f64,
    turn: u64,
    next_number: u64,
}

impl Placements {
    /// Adds a request to the queue and returns its ticket.
    pub fn add(&mut self, request: PlacementRequest, now: Instant) -> u64 {
        let is_waiting = |queued: &Queued| queued.request.organisation == request.organisation;
        if !self.queue.iter().any(is_waiting) {
            if self.served.len() >= MAX_REMEMBERED {
                self.served.clear();
            }
            // Who didn't wait has neither a debt nor a claim from before.
            let served = self.served.entry(request.organisation.clone());
            let served = served.or_default();
            *served = served.max(self.floor);
        }
        let ticket = self.next_number;
        self.next_number += 1;
        self.queue.push(Queued {
            ticket,
            request,
            since: now,
        });
        ticket
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, ticket: u64) {
        self.queue.retain(|queued| queued.ticket != ticket);
    }

    /// Ends a place. Returns its leaf if the place was still taken.
    pub fn end(&mut self, place: u64) -> Option<Name> {
        self.taken.remove(&place).map(|taken| taken.leaf)
    }

    /// Returns whether requests wait.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Gives out the places that are free at `leaves`, and returns the requests that got one or
    /// can't be answered in time, by their tickets.
    pub fn decide(&mut self, leaves: &[LeafPlaces], now: Instant) -> Vec<(u64, Decision)> {
        self.taken.retain(|_, taken| now < taken.until);
        let mut decided = Vec::new();
        loop {
            self.sort_queue();
            let verdicts = self.judge_queue(leaves, now);
            let Some(index) = verdicts
                .iter()
                .position(|verdict| *verdict != Verdict::Waits)
            else {
                return decided;
            };
            let queued = self.queue.remove(index);
            let decision = match verdicts[index] {
                Verdict::Placed(leaf) => self.take(&queued.request, &leaves[leaf].id, now),
                Verdict::Refused(wait) => Decision::Refused(wait),
                Verdict::Waits => continue,
            };
            decided.push((queued.ticket, decision));
        }
    }

    fn sort_queue(&mut self) {
        let (turn, served) = (self.turn, &self.served);
        let facts = |queued: &Queued| Waiting {
            priority: queued.request.priority,
            served: served
                .get(&queued.request.organisation)
                .copied()
                .unwrap_or_default(),
            since: queued.since,
        };
        let compare = |left: &Queued, right: &Queued| -> Ordering {
            waiting::compare(turn, &facts(left), &facts(right)).then(left.ticket.cmp(&right.ticket))
        };
        self.queue.sort_by(compare);
    }

    /// Returns what becomes of the requests in the queue, in order, up to the first that doesn't
    /// wait.
    fn judge_queue(&self, leaves: &[LeafPlaces], now: Instant) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for (ahead, queued) in self.queue.iter().enumerate() {
            let places: Vec<Place> = leaves
                .iter()
                .map(|leaf| self.place_at(leaf, &queued.request.domain, now))
                .collect();
            let left = queued.request.deadline.saturating_duration_since(now);
            let verdict = waiting::judge(&places, ahead, left);
            verdicts.push(verdict);
            if verdict != Verdict::Waits {
                break;
            }
        }
        verdicts
    }

    /// Returns the place of `leaf` as it is for a host of `domain`. A request that is overdue
    /// there makes it as slow as that request is old.
    fn place_at(&self, leaf: &LeafPlaces, domain: &Name, now: Instant) -> Place {
        let mut count = 0;
        let mut oldest = Duration::ZERO;
        for taken in self.taken.values().filter(|taken| taken.leaf == leaf.id) {
            count += 1;
            oldest = oldest.max(now.saturating_duration_since(taken.since));
        }
        let is_overdue = oldest > leaf.time.mul_f64(OVERDUE_FACTOR);
        Place {
            capacity: leaf.capacity,
            taken: count,
            time: if is_overdue { oldest } else { leaf.time },
            is_local: leaf.domain == *domain,
        }
    }

    fn take(&mut self, request: &PlacementRequest, leaf: &Name, now: Instant) -> Decision {
        let served = self.served.entry(request.organisation.clone()).or_default();
        self.floor = self.floor.max(*served);
        *served += 1.0;
        self.turn += 1;
        let place = self.next_number;
        self.next_number += 1;
        self.taken.insert(
            place,
            Taken {
                leaf: leaf.clone(),
                since: now,
                until: request.deadline,
            },
        );
        Decision::Placed {
            place,
            leaf: leaf.clone(),
        }
    }
}
