//! The rate limit that a leaf in need states in its replies.

use std::time::Instant;

/// Smallest limit that is kept, requests per second. With a limit of zero no request would
/// ever show that the leaf has stopped stating it.
const MIN_RATE: f64 = 0.1;

/// What a leaf's replies state about its rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatedLimit {
    /// Requests per second that the leaf takes from all hosts together; `None` when it
    /// states no limit.
    pub rate: Option<f64>,
    /// When the request was sent whose reply stated this; `None` before the first reply.
    pub as_of: Option<Instant>,
}

impl StatedLimit {
    /// Applies what a reply states. Returns whether the limit changed; a reply to a request
    /// that was sent before the one that is known is ignored.
    pub fn update(&mut self, rate: Option<f64>, as_of: Instant) -> bool {
        if self.as_of.is_some_and(|known| known >= as_of) {
            return false;
        }
        let before = self.rate;
        self.rate = rate.map(|rate| rate.max(MIN_RATE));
        self.as_of = Some(as_of);
        self.rate != before
    }
}
