//! What callers hold at this process, all together: connections, and the bytes of heads, bodies
//! and answers. When it is too much, some are dropped as
//! [`caller_memory`](crate::policy::caller_memory) decides.
//!
//! Bytes are counted without a lock; the table of connections is locked as one opens or closes,
//! and when a limit is reached.

use {
    crate::{
        clock::Millis,
        collections::Map,
        policy::caller_memory::{self, Budget, CallerFacts, Phase},
    },
    std::sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering},
    },
    tokio_util::sync::CancellationToken,
};

/// Bytes that each connection may hold uncounted: its buffers have them anyway.
pub const FREE_BYTES: usize = 4 << 10;

/// The connections of a listener's callers, and what they hold.
#[derive(Debug)]
pub struct Intake {
    budget: Budget,
    bytes: AtomicUsize,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    next: u64,
    holds: Map<u64, Arc<Hold>>,
}

/// What one connection holds.
#[derive(Debug)]
pub struct Hold {
    intake: Arc<Intake>,
    bytes: AtomicUsize,
    /// When a byte was last read or written.
    active_at: AtomicU64,
    phase: AtomicU8,
    /// Whether a body is being read.
    is_reading: AtomicBool,
    dropped: CancellationToken,
}

/// An open connection; it leaves the table when this is dropped.
#[derive(Debug)]
pub struct Slot {
    number: u64,
    /// What it holds.
    pub hold: Arc<Hold>,
}

/// Bytes that are counted until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    hold: Arc<Hold>,
    bytes: usize,
}

impl Intake {
    /// Returns an intake with this budget.
    #[must_use]
    pub fn new(budget: Budget) -> Arc<Self> {
        Arc::new(Self {
            budget,
            bytes: AtomicUsize::new(0),
            table: Mutex::default(),
        })
    }

    /// Admits another connection, and drops others for it if there are too many; `None` if there
    /// are and none can be dropped.
    #[must_use]
    pub fn admit(self: &Arc<Self>) -> Option<Slot> {
        let hold = Arc::new(Hold {
            intake: Arc::clone(self),
            bytes: AtomicUsize::new(0),
            active_at: AtomicU64::new(Millis::now().0),
            phase: AtomicU8::new(Phase::Receiving as u8),
            is_reading: AtomicBool::new(false),
            dropped: CancellationToken::new(),
        });
        let mut table = self.lock();
        let limit = self.budget.connections;
        if table.holds.len() >= limit {
            let (holds, facts) = table.undropped();
            if table.holds.len() >= caller_memory::max_connections(limit) {
                return None;
            }
            if holds.len() >= limit {
                let places = caller_memory::free_connections(&facts, limit);
                if places.is_empty() {
                    return None;
                }
                for place in places {
                    holds[place].dropped.cancel();
                }
            }
        }
        let number = table.next;
        table.next += 1;
        table.holds.insert(number, Arc::clone(&hold));
        Some(Slot { number, hold })
    }

    /// Drops connections until the bytes in use fit; returns whether they do.
    fn make_room(&self) -> bool {
        let table = self.lock();
        let (holds, facts) = table.undropped();
        // What dropped connections hold is about to become free.
        let leaving: usize = table
            .holds
            .values()
            .filter(|hold| hold.is_dropped())
            .map(|hold| hold.bytes.load(Ordering::Relaxed))
            .sum();
        let in_use = self.bytes.load(Ordering::Relaxed).saturating_sub(leaving);
        let missing = in_use.saturating_sub(self.budget.bytes);
        if missing == 0 {
            return true;
        }
        let places = caller_memory::free_bytes(&facts, missing, self.budget.bytes);
        let freed: usize = places.iter().map(|place| facts[*place].bytes).sum();
        for place in places {
            holds[place].dropped.cancel();
        }
        freed >= missing
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    /// Returns the connections that are not being dropped, and the facts about each.
    fn undropped(&self) -> (Vec<&Arc<Hold>>, Vec<CallerFacts>) {
        let now = Millis::now();
        let holds = self.holds.values().filter(|hold| !hold.is_dropped());
        holds.map(|hold| (hold, hold.facts(now))).unzip()
    }
}

impl Hold {
    /// Records that bytes were read or written.
    pub fn record_activity(&self) {
        self.active_at.store(Millis::now().0, Ordering::Relaxed);
    }

    /// Records what the connection is doing.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Records whether the body of its request is being read.
    pub fn set_reading(&self, is_reading: bool) {
        self.is_reading.store(is_reading, Ordering::Relaxed);
    }

    /// Returns whether no request is read as far as its body.
    #[must_use]
    pub fn is_between_requests(&self) -> bool {
        self.phase.load(Ordering::Relaxed) == Phase::Receiving as u8
    }

    /// Returns whether the connection must end.
    #[must_use]
    pub fn is_dropped(&self) -> bool {
        self.dropped.is_cancelled()
    }

    /// Waits until the connection must end.
    pub async fn dropped(&self) {
        self.dropped.cancelled().await;
    }

    fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Relaxed) {
            phase if phase == Phase::Running as u8 => {
                let is_reading = self.is_reading.load(Ordering::Relaxed);
                if is_reading {
                    Phase::Receiving
                } else {
                    Phase::Running
                }
            }
            phase if phase == Phase::Sending as u8 => Phase::Sending,
            _ => Phase::Receiving,
        }
    }

    fn facts(&self, now: Millis) -> CallerFacts {
        CallerFacts {
            phase: self.phase(),
            bytes: self.bytes.load(Ordering::Relaxed),
            silence: now.since(Millis(self.active_at.load(Ordering::Relaxed))),
        }
    }
}

impl Reservation {
    /// Returns a reservation of no bytes.
    #[must_use]
    pub fn new(hold: Arc<Hold>) -> Self {
        Self { hold, bytes: 0 }
    }

    /// Extends or shrinks the reservation to `bytes`. Returns false if there is no room for them
    /// beside the other callers, or this one was dropped to make room; they are counted all the
    /// same until the reservation ends.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let (hold, intake) = (&self.hold, &self.hold.intake);
        if bytes <= self.bytes {
            let freed = self.bytes - bytes;
            hold.bytes.fetch_sub(freed, Ordering::Relaxed);
            intake.bytes.fetch_sub(freed, Ordering::Relaxed);
            self.bytes = bytes;
            return true;
        }
        let added = bytes - self.bytes;
        hold.bytes.fetch_add(added, Ordering::Relaxed);
        let in_use = intake.bytes.fetch_add(added, Ordering::Relaxed) + added;
        self.bytes = bytes;
        in_use <= intake.budget.bytes || (intake.make_room() && !hold.is_dropped())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.hold.intake.lock().holds.remove(&self.number);
    }
}
