//! How much a leaf takes well, learned from its replies.
//!
//! Leaves of one service differ in speed. Some slow down at fewer requests than they have
//! slots, and other work on a leaf's machine slows it for a moment. What is learned of a leaf
//! decays, so that one that was slow is tried again.

use std::{
    array,
    time::{Duration, Instant},
};

/// Weight of one sample in a leaf's service time: the times of requests of one kind differ by
/// more than the speeds of leaves.
const SERVICE_WEIGHT: f64 = 0.1;

/// Weight in the service time of a request that was not alone at the leaf: how much the
/// others slowed it is an estimate itself.
const SHARED_WEIGHT: f64 = 0.03;

/// Weight of one sample in the growth of the service time at one number of requests.
const GROWTH_WEIGHT: f64 = 0.2;

/// Relative service time from which a reply is that of a stalled or failing leaf, which says
/// nothing about its speed.
const MAX_SAMPLE: f64 = 2.5;

/// Smallest service time that is distinguished, as a multiple of the baseline.
const MIN_SERVICE: f64 = 0.1;

/// Growth up to which a number of requests is taken well: less can't be told from requests
/// that take longer.
const TOLERATED_GROWTH: f64 = 1.3;

/// Half-life of a growth without new samples: a leaf that is avoided gets no two requests at
/// once that would show it.
const GROWTH_HALF_LIFE: Duration = Duration::from_secs(4);

/// Half-life of the time of a request without new samples. Of many hosts, each gets a reply of
/// a slow leaf every few seconds.
const TIME_HALF_LIFE: Duration = Duration::from_secs(12);

/// Largest number of requests at a leaf that is told apart from larger ones.
const MAX_REQUESTS: u32 = 8;

/// Age at which a stated pace says nothing any more: it changes many times a second.
const PACE_TTL: Duration = Duration::from_millis(800);

/// Largest stated pace that is distinguished, as a multiple of the usual.
const MAX_PACE: f64 = 32.0;

/// Factor by which the capacity of a leaf has to change to be reported.
const REPORTED_FACTOR: f64 = 2.0;

/// Shortest time between two reported changes of a leaf's capacity.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// A reply of a leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Its latency as a multiple of the baseline.
    pub latency: f64,
    /// Requests at the leaf, including this one.
    pub requests: u32,
    /// Stated pace of work, percent of the usual.
    pub pace: Option<u32>,
}

/// Change of a leaf's capacity that operators should know of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityChange {
    /// Capacity when it was last reported, requests.
    pub before: f64,
    /// Capacity now, requests.
    pub now: f64,
}

/// What was learned of a leaf.
#[derive(Clone, Debug)]
pub struct LeafCapacity {
    slots: u32,
    /// Time of a request that is alone at the leaf, as a multiple of the baseline.
    service: Decaying,
    /// Service time at 2, 3 and more requests as a multiple of that of one.
    growth: [Decaying; MAX_REQUESTS as usize - 1],
    pace: Option<(f64, Instant)>,
    sampled_at: Option<Instant>,
    reported: f64,
    reported_at: Option<Instant>,
}

/// A ratio that decays to 1.
#[derive(Clone, Copy, Debug)]
struct Decaying {
    value: f64,
    half_life: Duration,
    /// `None` before the first sample.
    at: Option<Instant>,
}

impl Decaying {
    fn get(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return self.value };
        let half_lives =
            now.saturating_duration_since(at).as_secs_f64() / self.half_life.as_secs_f64();
        1.0 + (self.value - 1.0) * 0.5_f64.powf(half_lives)
    }

    fn record_sample(&mut self, sample: f64, weight: f64, now: Instant) {
        let current = self.get(now);
        self.value = current + (sample - current) * weight;
        self.at = Some(now);
    }
}

impl LeafCapacity {
    /// Returns the state for a leaf with `slots` slots of which nothing is known.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let unknown = |half_life| Decaying {
            value: 1.0,
            half_life,
            at: None,
        };
        let slots = slots.max(1);
        Self {
            slots,
            service: unknown(TIME_HALF_LIFE),
            growth: array::from_fn(|_| unknown(GROWTH_HALF_LIFE)),
            pace: None,
            sampled_at: None,
            reported: f64::from(slots),
            reported_at: None,
        }
    }

    /// Records a reply. Returns the part of its latency that neither the pace nor the other
    /// requests explain, as a multiple of the baseline.
    pub fn record_reply(&mut self, sample: Sample, now: Instant) -> f64 {
        self.sampled_at = Some(now);
        let stated = sample
            .pace
            .map_or(1.0, |pace| (f64::from(pace) / 100.0).clamp(0.1, MAX_PACE));
        self.pace = sample.pace.map(|_| (stated, now));
        let latency = sample.latency / stated;
        let requests = f64::from(sample.requests.max(1));
        let alone = latency / (requests / self.concurrency(now)).max(1.0);
        let service = self.service.get(now).max(MIN_SERVICE);
        // Requests that share all that the leaf has take that many times longer.
        if sample.requests > 1 && latency < MAX_SAMPLE * requests {
            let growth = (latency / service).clamp(1.0 / requests, requests);
            let index = growth_index(sample.requests);
            self.growth[index].record_sample(growth, GROWTH_WEIGHT, now);
        }
        if alone < MAX_SAMPLE {
            let weight = if sample.requests > 1 {
                SHARED_WEIGHT
            } else {
                SERVICE_WEIGHT
            };
            self.service.record_sample(alone, weight, now);
        }
        alone
    }

    /// Returns the expected pace of work at the leaf, as a multiple of the usual. The older the
    /// stated pace is, the closer to the usual.
    #[must_use]
    pub fn pace(&self, now: Instant) -> f64 {
        self.pace.map_or(1.0, |(stated, at)| {
            let age = now.saturating_duration_since(at);
            let fresh = (1.0 - age.as_secs_f64() / PACE_TTL.as_secs_f64()).max(0.0);
            1.0 + (stated - 1.0) * fresh
        })
    }

    /// Returns the number of requests that the leaf takes well at a time: more of them only
    /// take longer.
    #[must_use]
    pub fn concurrency(&self, now: Instant) -> f64 {
        let slots = f64::from(self.slots);
        for requests in 2..=self.slots.min(MAX_REQUESTS) {
            let growth = self.growth[growth_index(requests)].get(now);
            if growth > TOLERATED_GROWTH {
                let below = f64::from(requests - 1);
                return (f64::from(requests) / growth).clamp(below.min(slots), slots);
            }
        }
        slots
    }

    /// Returns the time of a request that is alone at the leaf now, as a multiple of the baseline,
    /// where its last replies took `latency`. The longer ago they are, the closer to 1.
    #[must_use]
    pub fn expected_time(&self, latency: f64, now: Instant) -> f64 {
        let known = Decaying {
            value: latency,
            half_life: TIME_HALF_LIFE,
            at: self.sampled_at,
        };
        known.get(now) * self.pace(now)
    }

    /// Returns the time since the last reply; `None` before the first.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let at = self.sampled_at?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns the change of the capacity since the last one reported, if it is large.
    pub fn take_change(&mut self, now: Instant) -> Option<CapacityChange> {
        let is_early = self
            .reported_at
            .is_some_and(|at| now.saturating_duration_since(at) < REPORT_INTERVAL);
        let change = CapacityChange {
            before: self.reported,
            now: self.concurrency(now),
        };
        let factor = (change.now / change.before).max(change.before / change.now);
        if is_early || factor < REPORTED_FACTOR {
            return None;
        }
        self.reported = change.now;
        self.reported_at = Some(now);
        Some(change)
    }
}

fn growth_index(requests: u32) -> usize {
    requests.clamp(2, MAX_REQUESTS) as usize - 2
}
