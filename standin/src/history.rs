//! The event history of one run, as callers, targets, the store and daemons record it.

use {
    serde::{Deserialize, Serialize},
    std::{
        fs::File,
        io::{BufRead, BufReader, Write},
        path::Path,
        sync::{Arc, Mutex, PoisonError},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// One event, as the process or stand-in that recorded it observed it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A caller sent a request.
    CallerSent {
        /// Caller's own request id.
        request: String,
        /// Service that the request went to.
        service: String,
        /// Idempotency key, for requests that are not idempotent.
        key: Option<String>,
    },
    /// A caller got a response or a rejection, or its request failed.
    CallerGot(CallerGot),
    /// A target started work on a request.
    Started(Started),
    /// A target completed its work on a request, or the work was cancelled.
    Ended {
        /// Target name.
        target: String,
        /// Shard worked on.
        shard: u32,
        /// Caller's request id.
        request: String,
        /// True when the reply was sent completely.
        whole: bool,
    },
    /// A target crashed.
    Crashed {
        /// Target name.
        target: String,
        /// Request that caused the crash; empty for overload and for crashes set by a test.
        request: String,
    },
    /// A target started, or turned cold without a restart.
    Cold {
        /// Target name.
        target: String,
    },
    /// A target was set to the state leaving.
    Leaving {
        /// Target name.
        target: String,
    },
    /// The store accepted a write.
    StoreAccepted {
        /// Key written.
        key: String,
        /// Version of the key after the write.
        version: u64,
        /// Hash of the value, which distinguishes one write from another.
        digest: u64,
    },
    /// A daemon applied a configuration revision.
    Applied {
        /// Daemon id.
        daemon: String,
        /// Term of the daemon, which changes at each restart.
        term: u64,
        /// Revision applied.
        revision: u64,
    },
    /// A test or an operator marked an action of its own, which checkers refer to.
    Mark {
        /// The action, for example `domain-out xela-centro`.
        what: String,
    },
}

/// What a caller received.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct CallerGot {
    /// Caller's own request id.
    pub request: String,
    /// HTTP status; 0 when the connection failed or no response came in time.
    pub status: u16,
    /// `ran`, `not_run` or `may_have_run`.
    pub run: String,
    /// Pinned snapshot that the response names.
    pub snapshot: u64,
    /// Number of shards with a reply, as the response states it.
    pub answered: u32,
    /// Total number of shards, as the response states it.
    pub total: u32,
    /// Rows received.
    pub rows: Vec<RowSeen>,
    /// Missing shards with their causes; for a rejection, shard 0 with the problem title.
    pub missing: Vec<(u32, String)>,
    /// Time from the start of sending until the response is complete, microseconds.
    pub took_us: u64,
    /// Request id that the response names.
    pub echoed: String,
}

/// One row of a response.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct RowSeen {
    /// Shard that the row comes from.
    pub shard: u32,
    /// Caller's request id, as the target read it from the body.
    pub echo: String,
    /// Index version that the row was read from.
    pub version: u64,
    /// Position among the rows of this shard, from 0.
    pub n: u32,
    /// Total number of rows of this shard.
    pub of: u32,
}

/// State of a target and of one of its leaves when work on a request starts.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Started {
    /// Target name.
    pub target: String,
    /// Failure domain.
    pub domain: String,
    /// Service name.
    pub service: String,
    /// Shard of the leaf.
    pub shard: u32,
    /// Caller's request id, from the body.
    pub request: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Requests in flight at this leaf, including this one.
    pub in_flight: u32,
    /// Slots of this leaf.
    pub slots: u32,
    /// Connections open at this leaf.
    pub connections: u32,
    /// Connections that this leaf allows.
    pub connection_limit: u32,
    /// Concurrent requests that the leaf can take while it is cold; 0 when it is warm.
    pub cold_bears: u32,
    /// True when the target is leaving.
    pub leaving: bool,
}

/// An event with its time.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Timed {
    /// Microseconds since the Unix epoch.
    pub at_us: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// A shared, append-only list of events.
#[derive(Clone, Default)]
pub struct History {
    events: Arc<Mutex<Vec<Timed>>>,
    file: Option<Arc<Mutex<File>>>,
}

impl History {
    /// Returns a history that is kept in memory only.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a history that is also written to `path`, one line of JSON per event.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be created.
    pub fn to_file(path: &Path) -> std::io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self {
            events: Arc::default(),
            file: Some(Arc::new(Mutex::new(file))),
        })
    }

    /// Appends `event` with the current time.
    pub fn add(&self, event: Event) {
        let timed = Timed {
            at_us: now_us(),
            event,
        };
        if let Some(file) = &self.file
            && let Ok(line) = serde_json::to_string(&timed)
        {
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            // A failed write is ignored: the checkers then report the missing events.
            let _ = writeln!(file, "{line}");
        }
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(timed);
    }

    /// Appends an [`Event::Mark`].
    pub fn mark(&self, what: impl Into<String>) {
        self.add(Event::Mark { what: what.into() });
    }

    /// Returns all events so far, ordered by time.
    #[must_use]
    pub fn events(&self) -> Vec<Timed> {
        let mut events = self
            .events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        events.sort_by_key(|timed| timed.at_us);
        events
    }
}

/// Reads the events of a history file.
///
/// # Errors
///
/// Fails when the file can't be read or a line is not an event.
pub fn read_file(path: &Path) -> eyre::Result<Vec<Timed>> {
    let mut events = Vec::new();
    for line in BufReader::new(File::open(path)?).lines() {
        events.push(serde_json::from_str(&line?)?);
    }
    Ok(events)
}

/// Returns the current time in microseconds since the Unix epoch.
#[must_use]
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
        })
}
