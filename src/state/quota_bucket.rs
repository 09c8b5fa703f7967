//! Token bucket of one organisation at one of its allocators.
//!
//! Tokens may be granted ahead of time: the requests wait until their tokens are there, so that
//! callers come in order and each window still holds no more than the bucket gives in it.

use std::time::{Duration, Instant};

/// Longest time that a denied claim is told to wait.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// How a bucket fills.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refill {
    /// Tokens a second.
    pub rate: f64,
    /// Most tokens.
    pub depth: f64,
}

/// What a claim took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Taken {
    /// Tokens.
    pub tokens: u32,
    /// Time after which they may be used; for a claim that got none, the time after which the
    /// claims sent away before it and this one may get theirs.
    pub wait: Duration,
}

/// Token bucket.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBucket {
    /// Tokens; negative while tokens are granted ahead of time.
    tokens: f64,
    filled_at: Instant,
    /// Claims that were sent away and may come back.
    turned_away: f64,
}

impl QuotaBucket {
    /// Returns a bucket with `tokens`.
    #[must_use]
    pub fn new(tokens: f64, now: Instant) -> Self {
        Self {
            tokens,
            filled_at: now,
            turned_away: 0.0,
        }
    }

    /// Takes up to `wanted` tokens that are there within `max_wait`.
    pub fn take(&mut self, refill: Refill, wanted: u32, max_wait: Duration, now: Instant) -> Taken {
        self.fill(refill, now);
        let within = self.tokens + refill.rate * max_wait.as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to the claim"
        )]
        let tokens = within.floor().clamp(0.0, f64::from(wanted)) as u32;
        if tokens == 0 {
            let missing = 1.0 - self.tokens + self.turned_away;
            self.turned_away += f64::from(wanted);
            return Taken {
                tokens: 0,
                wait: time_for(missing, refill.rate),
            };
        }
        self.tokens -= f64::from(tokens);
        Taken {
            tokens,
            wait: time_for(-self.tokens, refill.rate),
        }
    }

    fn fill(&mut self, refill: Refill, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        let added = refill.rate * elapsed.as_secs_f64();
        self.tokens = (self.tokens + added).min(refill.depth);
        self.turned_away = (self.turned_away - added).max(0.0);
        self.filled_at = self.filled_at.max(now);
    }
}

/// Returns the time in which `tokens` come at `rate`.
fn time_for(tokens: f64, rate: f64) -> Duration {
    if tokens <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(tokens / rate).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
}
