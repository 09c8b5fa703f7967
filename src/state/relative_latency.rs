//! Latency of leaves: the baseline latency of a route, and the relative latency of each
//! leaf.
//!
//! Leaves stall for a short time, become slow for seconds, and recover without notice. One
//! late reply raises a leaf's relative latency, which then decays with time, faster after a
//! single stall than after several slow replies in a row, so that each leaf is tried again.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Ratio by which one sample moves the estimate of the median.
const MEDIAN_STEP_RATIO: f64 = 0.04;

/// Weight of one sample in a leaf's relative latency.
const SAMPLE_WEIGHT: f64 = 0.4;

/// Relative latency from which a reply is slow.
pub const SLOW_RATIO: f64 = 2.5;

/// Largest relative latency that is distinguished: a slower leaf is treated like one that
/// does not reply.
const MAX_RELATIVE_LATENCY: f64 = 32.0;

/// Half-lives of a leaf's relative latency after 1, 2, and 3 or more slow replies in a row.
/// One slow reply is mostly a stall, which is over when the reply arrives. A leaf that is
/// slow at the next request as well stays slow for seconds, and is tried again every few
/// seconds.
const SLOW_HALF_LIVES: [Duration; 3] = [
    Duration::from_millis(150),
    Duration::from_millis(1_200),
    Duration::from_millis(4_800),
];

/// Half-life of a leaf's relative latency after a failed request; each further slow or
/// failed request in a row doubles it.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(300);

/// Most doublings of [`FAILURE_HALF_LIFE`].
const MAX_DOUBLINGS: u32 = 4;

/// Running estimate of a median.
#[derive(Clone, Copy, Debug, Default)]
pub struct Median {
    value: Option<f64>,
}

impl Median {
    /// Records a sample.
    pub fn record_sample(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.value = Some(match self.value {
            None => sample,
            Some(value) if sample > value => value * (1.0 + MEDIAN_STEP_RATIO),
            Some(value) => value * (1.0 - MEDIAN_STEP_RATIO),
        });
    }

    /// Returns the estimate; `None` before the first sample.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        self.value.map(Duration::from_secs_f64)
    }
}

/// Baseline latency of the replies to one request: that of its route, until half of the
/// request's own replies have arrived. These passed the same queues and links, and were
/// read by this host under its present load.
#[derive(Debug)]
pub struct BaselineLatency {
    route_baseline: Duration,
    /// Baseline from the request's own replies, microseconds; 0 until it is known.
    own_us: AtomicU64,
}

impl BaselineLatency {
    /// Returns the baseline of a request of a route with the baseline `route_baseline`.
    #[must_use]
    pub fn new(route_baseline: Duration) -> Self {
        Self {
            route_baseline,
            own_us: AtomicU64::new(0),
        }
    }

    /// Records that half of the request's replies took `took` or less.
    pub fn record_latency(&self, took: Duration) {
        let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.own_us.store(took, Ordering::Relaxed);
    }

    /// Returns the baseline latency.
    #[must_use]
    pub fn get(&self) -> Duration {
        match self.own_us.load(Ordering::Relaxed) {
            0 => self.route_baseline,
            own_us => Duration::from_micros(own_us),
        }
    }
}

/// Relative latency of a leaf: its latency divided by the baseline.
#[derive(Clone, Copy, Debug)]
pub struct RelativeLatency {
    average: f64,
    /// Slow or failed requests in a row.
    slow_streak: u32,
    /// Half-life of `average`.
    half_life: Duration,
    recorded_at: Option<Instant>,
}

impl Default for RelativeLatency {
    fn default() -> Self {
        Self {
            average: 1.0,
            slow_streak: 0,
            half_life: SLOW_HALF_LIVES[0],
            recorded_at: None,
        }
    }
}

impl RelativeLatency {
    /// Records a reply that took `took` where the baseline latency is `baseline`.
    pub fn record_latency(&mut self, took: Duration, baseline: Duration, now: Instant) {
        let sample =
            (took.as_secs_f64() / baseline.as_secs_f64().max(1e-4)).min(MAX_RELATIVE_LATENCY);
        self.slow_streak = if sample >= SLOW_RATIO {
            self.slow_streak + 1
        } else {
            0
        };
        let current = self.current(now);
        let streak = usize::try_from(self.slow_streak).unwrap_or(usize::MAX);
        self.half_life = SLOW_HALF_LIVES[streak.clamp(1, SLOW_HALF_LIVES.len()) - 1];
        // One slow reply is mostly a stall, so the average moves slowly. A second slow
        // reply in a row replaces it, and so does a reply that is not slow after a slow
        // average.
        let replaces_average =
            self.slow_streak > 1 || (sample < SLOW_RATIO && current >= SLOW_RATIO);
        self.average = if replaces_average {
            sample
        } else {
            current + (sample - current) * SAMPLE_WEIGHT
        };
        self.recorded_at = Some(now);
    }

    /// Records that the leaf failed a request.
    pub fn record_failure(&mut self, now: Instant) {
        self.slow_streak += 1;
        let doublings = (self.slow_streak - 1).min(MAX_DOUBLINGS);
        self.half_life = FAILURE_HALF_LIFE * 2_u32.pow(doublings);
        self.average = MAX_RELATIVE_LATENCY;
        self.recorded_at = Some(now);
    }

    /// Returns the leaf's relative latency, decayed until `now`; 1 is the baseline.
    #[must_use]
    pub fn current(&self, now: Instant) -> f64 {
        let Some(recorded_at) = self.recorded_at else {
            return self.average;
        };
        if self.average <= SLOW_RATIO {
            return self.average;
        }
        let elapsed = now.saturating_duration_since(recorded_at);
        let half_lives = elapsed.as_secs_f64() / self.half_life.as_secs_f64();
        (self.average * 0.5_f64.powf(half_lives)).max(1.0)
    }
}
