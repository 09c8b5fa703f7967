//! Whether a gathered request is taken on, by how the shards' leaves did lately.
//!
//! Load it answers: more requests than the leaves of the shards can run, in a burst or
//! while a domain is out. Each request needs nearly every shard, so when each leaf turns
//! away some requests at random, nearly none is whole, and what the others ran is lost.
//! Each host takes on fewer until leaves turn away little, and refuses the rest at once,
//! before any leaf has worked on it; the less urgent first.

use std::time::{Duration, Instant};

/// Requests at once that a host begins with, and may take on at most.
const MOST: f64 = 128.0;

/// Requests at once that a host always takes on, so that it notices when there is room.
const LEAST: f64 = 2.0;

/// Factor by which the limit falls.
const FALL: f64 = 0.7;

/// Time between two falls, as a multiple of the route's aim: what was taken on before the
/// last one must have ended.
const FALL_TIME: f64 = 1.0;

/// Rise of the limit for each request that went well while the limit is in use.
const RISE: f64 = 0.15;

/// Part of the shards whose leaves turn a request away that counts as overload.
const OVERLOAD: f64 = 0.1;

/// Part of the limit that each step of less urgency takes off.
const RANK_STEP: f64 = 0.12;

/// Requests that a host takes on for one set of shards.
#[derive(Debug)]
pub struct Admission {
    limit: f64,
    under_way: u32,
    fell: Option<Instant>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            limit: MOST,
            under_way: 0,
            fell: None,
        }
    }
}

impl Admission {
    /// Takes a request of urgency `rank` on, 0 being the most urgent; false when it is to
    /// be refused. Each that was taken on is ended with [`Admission::end`].
    pub fn begin(&mut self, rank: u32) -> bool {
        let share = (1.0 - RANK_STEP * f64::from(rank)).max(RANK_STEP);
        let is_taken = f64::from(self.under_way) < (self.limit * share).max(1.0);
        if is_taken {
            self.under_way += 1;
        }
        is_taken
    }

    /// Notes the end of a request: leaves turned away `refused` sends for its `shards`.
    pub fn end(&mut self, refused: usize, shards: usize, aim: Duration, now: Instant) {
        #[expect(clippy::cast_precision_loss, reason = "numbers of shards are small")]
        let part = refused as f64 / shards.max(1) as f64;
        let was_in_use = f64::from(self.under_way) * 2.0 >= self.limit;
        self.under_way = self.under_way.saturating_sub(1);
        if part > OVERLOAD {
            let is_due = self
                .fell
                .is_none_or(|fell| now.saturating_duration_since(fell) >= aim.mul_f64(FALL_TIME));
            if is_due {
                // The limit may lie far above what is under way.
                let present = self.limit.min(f64::from(self.under_way + 1));
                self.limit = (present * FALL).max(LEAST);
                self.fell = Some(now);
            }
        } else if was_in_use {
            self.limit = (self.limit + RISE).min(MOST);
        }
    }

    /// Notes that a request ended without a word on how it went.
    pub fn leave(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// Returns how many requests may be under way.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
