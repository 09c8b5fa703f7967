//! How fast leaves are: the usual time of a route's requests, and how each leaf
//! compares with it.
//!
//! Leaves stall for a moment, turn slow for seconds, and recover without a word. A
//! leaf's slowness rises with one late reply and falls back by itself, sooner after a
//! single stall than after a row of slow replies, so that each leaf is tried again.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Share by which a sample moves an estimate of the median.
const MEDIAN_STEP: f64 = 0.04;

/// Weight of a sample in a leaf's slowness.
const WEIGHT: f64 = 0.4;

/// Slowness beyond which a reply counts as slow.
pub const SLOW: f64 = 2.5;

/// Largest slowness told apart: a leaf slower than this is as good as silent.
const SLOWEST: f64 = 32.0;

/// Times in which half of a leaf's slowness is forgotten, by the slow replies in a row. One
/// is mostly a stall, which is over once the reply is there; a leaf that was slow at the next
/// request as well is so for seconds, and is tried again every few seconds.
const FORGET_TIMES: [Duration; 3] = [
    Duration::from_millis(150),
    Duration::from_millis(1_200),
    Duration::from_millis(4_800),
];

/// Time in which half of the doubt in a leaf that failed a request is forgotten; each further
/// slow or failed one in a row doubles it.
const FORGIVE_TIME: Duration = Duration::from_millis(300);

/// Doublings of [`FORGIVE_TIME`] at most.
const FORGIVE_DOUBLINGS: u32 = 4;

/// Running estimate of a median.
#[derive(Clone, Copy, Debug, Default)]
pub struct Median {
    value: Option<f64>,
}

impl Median {
    /// Notes a sample.
    pub fn note(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.value = Some(match self.value {
            None => sample,
            Some(value) if sample > value => value * (1.0 + MEDIAN_STEP),
            Some(value) => value * (1.0 - MEDIAN_STEP),
        });
    }

    /// Returns the estimate; `None` before the first sample.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        self.value.map(Duration::from_secs_f64)
    }
}

/// What is usual for the replies of one request: what is usual for its route, until half of
/// its own replies are in. These came through the same queues and over the same links, and
/// were read by a host as busy as it is now.
#[derive(Debug)]
pub struct Usual {
    route: Duration,
    /// Microseconds; 0 until it is known.
    own: AtomicU64,
}

impl Usual {
    /// Returns what is usual for a request of a route whose requests usually take `route`.
    #[must_use]
    pub fn new(route: Duration) -> Self {
        Self {
            route,
            own: AtomicU64::new(0),
        }
    }

    /// Notes that half of the request's replies took `took` at most.
    pub fn note(&self, took: Duration) {
        let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.own.store(took, Ordering::Relaxed);
    }

    /// Returns what is usual.
    #[must_use]
    pub fn get(&self) -> Duration {
        match self.own.load(Ordering::Relaxed) {
            0 => self.route,
            own => Duration::from_micros(own),
        }
    }
}

/// How a leaf compares with what is usual; 1 is usual.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    slowness: f64,
    /// Slow or failed replies in a row.
    streak: u32,
    /// Time in which half of the slowness is forgotten.
    half: Duration,
    noted: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            streak: 0,
            half: FORGET_TIMES[0],
            noted: None,
        }
    }
}

impl Pace {
    /// Notes a reply that took `took` where `usual` is usual.
    pub fn note(&mut self, took: Duration, usual: Duration, now: Instant) {
        let sample = (took.as_secs_f64() / usual.as_secs_f64().max(1e-4)).min(SLOWEST);
        self.streak = if sample >= SLOW { self.streak + 1 } else { 0 };
        let present = self.slowness(now);
        let streak = usize::try_from(self.streak).unwrap_or(usize::MAX);
        self.half = FORGET_TIMES[streak.clamp(1, FORGET_TIMES.len()) - 1];
        // One slow reply is mostly a stall. A second one in a row is believed at once, and a
        // good one clears a doubt at once; else the value moves slowly.
        let is_clear = self.streak > 1 || (sample < SLOW && present >= SLOW);
        self.slowness = if is_clear {
            sample
        } else {
            present + (sample - present) * WEIGHT
        };
        self.noted = Some(now);
    }

    /// Notes that the leaf failed a request.
    pub fn note_failure(&mut self, now: Instant) {
        self.streak += 1;
        let doublings = (self.streak - 1).min(FORGIVE_DOUBLINGS);
        self.half = FORGIVE_TIME * 2_u32.pow(doublings);
        self.slowness = SLOWEST;
        self.noted = Some(now);
    }

    /// Returns the slowness that the leaf is believed to have now.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        let Some(noted) = self.noted else {
            return self.slowness;
        };
        if self.slowness <= SLOW {
            return self.slowness;
        }
        let passed = now.saturating_duration_since(noted);
        let halves = passed.as_secs_f64() / self.half.as_secs_f64();
        (self.slowness * 0.5_f64.powf(halves)).max(1.0)
    }
}
