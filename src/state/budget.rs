//! The retry budget of a service, which hedges and retries share.

use std::sync::atomic::{AtomicI64, Ordering};

/// Cost of a hedge or retry: one token, counted in thousandths.
const ATTEMPT_MILLITOKENS: i64 = 1_000;

/// Most tokens, in thousandths, that accumulate while few hedges and retries are sent.
const MAX_MILLITOKENS: i64 = 20 * ATTEMPT_MILLITOKENS;

/// Share of recent first attempts that may be hedged or retried.
///
/// Each first attempt earns a fraction of a token, each hedge or retry spends one, so that
/// a slow leaf can't multiply the load on the others.
#[derive(Debug)]
pub struct Budget {
    /// Thousandths of a token that a first attempt earns.
    earned_millitokens: i64,
    millitokens: AtomicI64,
}

impl Budget {
    /// Returns a budget of `percent` of the first attempts; full unless `percent` is 0.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            earned_millitokens: i64::from(percent) * ATTEMPT_MILLITOKENS / 100,
            millitokens: AtomicI64::new(if percent == 0 { 0 } else { MAX_MILLITOKENS }),
        }
    }

    /// Adds what `sent` first attempts earn.
    pub fn earn(&self, sent: usize) {
        let earned = self
            .earned_millitokens
            .saturating_mul(i64::try_from(sent).unwrap_or(i64::MAX));
        let _ =
            self.millitokens
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |millitokens| {
                    Some(millitokens.saturating_add(earned).min(MAX_MILLITOKENS))
                });
    }

    /// Takes one token; false when there is none.
    pub fn spend(&self) -> bool {
        self.millitokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |millitokens| {
                (millitokens >= ATTEMPT_MILLITOKENS).then_some(millitokens - ATTEMPT_MILLITOKENS)
            })
            .is_ok()
    }
}
