//! Limit on the requests to a cold leaf: a rate that all entry hosts share.

use std::time::{Duration, Instant};

/// Longest warm-up time that is kept: no leaf is cold for longer.
const MAX_WARMUP_TIME: Duration = Duration::from_hours(24);

/// How long a leaf stays cold, and when this host may send it the next request until then.
#[derive(Debug, Default)]
pub struct Warmup {
    /// Warm-up time that was reported last. The same value again is an old report and does
    /// not extend the warm-up.
    last_reported: Option<Duration>,
    cold_until: Option<Instant>,
    /// Time from which the next request may be sent.
    not_before: Option<Instant>,
}

impl Warmup {
    /// Records that the leaf stays cold for `left`; zero means that it is warm.
    pub fn record_warmup(&mut self, left: Duration, now: Instant) {
        if self.last_reported == Some(left) {
            return;
        }
        self.last_reported = Some(left);
        self.cold_until = (!left.is_zero()).then(|| now + left.min(MAX_WARMUP_TIME));
    }

    /// Returns whether the leaf is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns whether a request may be sent to a leaf that accepts `rate` requests a
    /// second from all hosts together while it is cold; `None` is no limit.
    #[must_use]
    pub fn may_send(&self, rate: Option<f64>, now: Instant) -> bool {
        rate.is_none()
            || !self.is_cold(now)
            || self.not_before.is_none_or(|not_before| now >= not_before)
    }

    /// Records that a request is sent. Requests are spaced evenly, so that this host sends
    /// no more than its share of `rate`, one of `hosts`, in any second.
    pub fn record_request(&mut self, rate: Option<f64>, hosts: usize, now: Instant) {
        let Some(rate) = rate.filter(|_| self.is_cold(now)) else {
            return;
        };
        #[expect(clippy::cast_precision_loss, reason = "numbers of hosts are small")]
        let interval = hosts.max(1) as f64 / rate.max(0.01);
        self.not_before = Some(now + Duration::from_secs_f64(interval));
    }
}
