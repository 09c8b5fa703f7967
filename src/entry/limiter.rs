//! Admission: limits the concurrent queries of a service at an entry host.
//!
//! The limit rises while queues at the owners are short and falls when they are long. A
//! query beyond the limit is rejected immediately, with the verdict that it did not run.

use {
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Limit on concurrent queries before any reply.
const INITIAL_LIMIT: f64 = 64.0;

/// Smallest limit on concurrent queries.
const MIN_LIMIT: f64 = 16.0;

/// Largest limit on concurrent queries.
const MAX_LIMIT: f64 = 4_096.0;

/// Factor applied to the limit after a long queue.
const DECREASE_FACTOR: f64 = 0.9;

/// Least time between two decreases.
const DECREASE_INTERVAL: Duration = Duration::from_millis(50);

/// Divisor of a query's timeout for the queueing time beyond which the limit falls.
const QUEUE_TIME_DIVISOR: u32 = 4;

/// Limits the queries of one service at one entry host.
#[derive(Debug)]
pub struct Limiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limit: f64,
    in_flight: u32,
    decreased_at: Option<Instant>,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                limit: INITIAL_LIMIT,
                in_flight: 0,
                decreased_at: None,
            }),
        }
    }
}

/// Permit for one query in flight; released when dropped.
#[derive(Debug)]
pub struct Admission {
    limiter: Arc<Limiter>,
}

impl Drop for Admission {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}

impl Limiter {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a query; `None` if the limit is reached.
    #[must_use]
    pub fn admit(self: &Arc<Self>) -> Option<Admission> {
        let mut state = self.lock();
        if f64::from(state.in_flight) >= state.limit {
            return None;
        }
        state.in_flight += 1;
        Some(Admission {
            limiter: Arc::clone(self),
        })
    }

    /// Records the longest time for which a query was queued at an owner, and the query's
    /// timeout.
    pub fn record_queue_time(&self, longest: Duration, timeout: Duration) {
        let mut state = self.lock();
        if longest > timeout / QUEUE_TIME_DIVISOR {
            state.decrease_limit();
        } else if f64::from(state.in_flight) * 2.0 > state.limit {
            // Only a limit that is at least half used shows that the owners can handle it.
            state.limit = (state.limit + 1.0 / state.limit).min(MAX_LIMIT);
        }
    }

    /// Records that an owner rejected a request because its queue was too long.
    pub fn record_overload(&self) {
        self.lock().decrease_limit();
    }
}

impl State {
    fn decrease_limit(&mut self) {
        let now = Instant::now();
        let is_recent = self
            .decreased_at
            .is_some_and(|at| now.duration_since(at) < DECREASE_INTERVAL);
        if !is_recent {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
            self.decreased_at = Some(now);
        }
    }
}
