//! What a cold leaf bears: a rate that all entry hosts share.

use std::time::{Duration, Instant};

/// A leaf's time of being cold, and this host's share of what it bears until then.
#[derive(Debug, Default)]
pub struct Warmup {
    /// What was told last: the same word again is no news.
    told: Option<Duration>,
    until: Option<Instant>,
    /// When the next request may be sent.
    next: Option<Instant>,
}

impl Warmup {
    /// Notes that the leaf stays cold for `left`; zero says that it is warm.
    pub fn note(&mut self, left: Duration, now: Instant) {
        if self.told == Some(left) {
            return;
        }
        self.told = Some(left);
        self.until = (!left.is_zero()).then(|| now + left);
    }

    /// Returns whether the leaf is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether a request may be sent to a leaf that bears `rate` requests a
    /// second while it is cold, shared by `hosts`.
    #[must_use]
    pub fn is_allowed(&self, rate: Option<f64>, now: Instant) -> bool {
        rate.is_none() || !self.is_cold(now) || self.next.is_none_or(|next| now >= next)
    }

    /// Notes a request that is sent. Requests are spaced evenly, so that no second of any
    /// host holds more than its share.
    pub fn sent(&mut self, rate: Option<f64>, hosts: usize, now: Instant) {
        let Some(rate) = rate.filter(|_| self.is_cold(now)) else {
            return;
        };
        #[expect(clippy::cast_precision_loss, reason = "numbers of hosts are small")]
        let pause = hosts.max(1) as f64 / rate.max(0.01);
        self.next = Some(now + Duration::from_secs_f64(pause));
    }
}
