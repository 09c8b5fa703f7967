//! Percentiles of the recent latencies of a service's leaves.

use {
    hdrhistogram::Histogram,
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// Samples in the window. Whenever half of them are new, the older half is dropped.
const WINDOW_SAMPLES: u64 = 4_096;

/// Number of samples below which no percentile is returned.
const MIN_SAMPLES: u64 = 64;

/// Largest latency that is distinguished, microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Recent latencies of one service.
#[derive(Debug)]
pub struct Latency {
    /// The half of the window that is being filled, and the previous one.
    halves: Mutex<[Histogram<u32>; 2]>,
}

impl Default for Latency {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
                .expect("the bounds are in the right order")
        };
        Self {
            halves: Mutex::new([histogram(), histogram()]),
        }
    }
}

impl Latency {
    /// Records one latency.
    pub fn record(&self, took: Duration) {
        let mut halves = self.halves.lock().unwrap_or_else(PoisonError::into_inner);
        halves[0].saturating_record(u64::try_from(took.as_micros()).unwrap_or(MAX_LATENCY_US));
        if halves[0].len() >= WINDOW_SAMPLES / 2 {
            halves.swap(0, 1);
            halves[0].reset();
        }
    }

    /// Returns the given percentile (0 to 100) of the recent latencies; `None` while there
    /// are too few samples.
    #[must_use]
    pub fn percentile(&self, percentile: u32) -> Option<Duration> {
        let halves = self.halves.lock().unwrap_or_else(PoisonError::into_inner);
        let fuller = if halves[1].len() > halves[0].len() {
            &halves[1]
        } else {
            &halves[0]
        };
        (fuller.len() >= MIN_SAMPLES)
            .then(|| fuller.value_at_percentile(f64::from(percentile)))
            .map(Duration::from_micros)
    }
}
