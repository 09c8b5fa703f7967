//! Which callers are dropped when those of this process hold too much together.
//!
//! Handles crowds of callers that send bodies, heads or nothing, stop short of the end and keep
//! their connections, and callers that do not read their answers. Those that hold much without
//! progress make room for others; a request that may have run is left to end.

use std::{cmp::Reverse, time::Duration};

/// Memory of a process when its settings state none, bytes.
const DEFAULT_MEMORY: usize = 256 << 20;

/// Fraction of the memory that callers may hold in bodies, heads and answers.
const MEMORY_DIVISOR: usize = 4;

/// Connections of callers when the settings state no file descriptors.
const DEFAULT_CONNECTIONS: usize = 4_096;

/// Descriptors that a process needs for files.
const FILE_DESCRIPTORS: usize = 200;

/// Fraction of a limit that is freed beyond what is missing, so that the callers are not searched
/// again for each piece of the next body.
const RESERVE_DIVISOR: usize = 16;

/// Fraction of the limit of connections that may be open beyond it while others are being dropped.
const DROPPED_DIVISOR: usize = 8;

/// What all callers of a process may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Bytes of bodies, heads and answers.
    pub bytes: usize,
    /// Open connections.
    pub connections: usize,
}

impl Budget {
    /// Returns the budget of a process that may use `memory` bytes and `descriptors` file
    /// descriptors; `None` where that is not limited. A quarter of the sockets is left for
    /// connections to other processes.
    #[must_use]
    pub fn of(memory: Option<usize>, descriptors: Option<usize>) -> Self {
        let sockets = descriptors.map(|count| count.saturating_sub(FILE_DESCRIPTORS));
        Self {
            bytes: memory.unwrap_or(DEFAULT_MEMORY) / MEMORY_DIVISOR,
            connections: sockets.map_or(DEFAULT_CONNECTIONS, |count| (count * 3 / 4).max(1)),
        }
    }
}

/// What a connection of a caller is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It sends a head or a body, or nothing.
    Receiving,
    /// Its request was read and may run.
    Running,
    /// It gets its answer.
    Sending,
}

/// A connection of a caller.
#[derive(Clone, Copy, Debug)]
pub struct CallerFacts {
    /// What it is doing.
    pub phase: Phase,
    /// Bytes that are held for it.
    pub bytes: usize,
    /// Time since a byte of it was last read or written.
    pub silence: Duration,
}

impl CallerFacts {
    fn is_droppable(&self) -> bool {
        self.phase != Phase::Running
    }

    /// Bytes times the time for which they have been held in vain.
    fn waste(&self) -> u128 {
        self.bytes as u128 * (self.silence.as_millis() + 1)
    }
}

/// Returns the positions of the callers to drop so that `missing` bytes of a limit of `limit`
/// become free; fewer bytes become free if those that may be dropped hold less.
#[must_use]
pub fn free_bytes(callers: &[CallerFacts], missing: usize, limit: usize) -> Vec<usize> {
    let wanted = missing + limit / RESERVE_DIVISOR;
    let mut places: Vec<usize> = (0..callers.len())
        .filter(|place| callers[*place].is_droppable() && callers[*place].bytes > 0)
        .collect();
    places.sort_unstable_by_key(|place| Reverse(callers[*place].waste()));
    let mut freed = 0;
    let is_needed = |place: &usize| {
        let is_needed = freed < wanted;
        freed += callers[*place].bytes;
        is_needed
    };
    places.into_iter().take_while(is_needed).collect()
}

/// Returns how many connections may be open with those that are being dropped, where `limit` are
/// allowed.
#[must_use]
pub fn max_connections(limit: usize) -> usize {
    limit + (limit / DROPPED_DIVISOR).max(1)
}

/// Returns the positions of the callers to drop so that another one can connect where `limit` are
/// allowed: those that have been silent for longest.
#[must_use]
pub fn free_connections(callers: &[CallerFacts], limit: usize) -> Vec<usize> {
    let mut places: Vec<usize> = (0..callers.len())
        .filter(|place| callers[*place].is_droppable())
        .collect();
    places.sort_unstable_by_key(|place| Reverse(callers[*place].silence));
    places.truncate(1 + limit / (RESERVE_DIVISOR * 4));
    places
}
