//! Log lines on standard output: bounded in number and memory, and never waited for.
//!
//! Lines are written as JSON into a buffer that a thread of its own empties. A reader
//! that stops reading costs lines, not requests: what does not fit is dropped and
//! counted. Each kind of line has a number a second; what goes beyond it is counted and
//! told in a line of its own.

use {
    crate::collections::{Map, Name},
    slog::{Drain, Logger, Never, OwnedKVList, Record, o},
    std::{
        io::{self, Write},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Lines of one kind a second; what a scale day's requests make stays below it.
pub const LINES_PER_SECOND: u32 = 200;

/// Bytes that wait to be written at most: several seconds of lines.
pub const BUFFER_BYTES: usize = 1 << 20;

/// Time for which lines are gathered before they are written together.
const GATHER_TIME: Duration = Duration::from_millis(100);

/// Longest time that a stopping daemon waits for its last lines.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// The lines that wait, and their thread.
#[derive(Clone, Default)]
pub struct Output {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    changed: Condvar,
}

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines dropped since the last count was written.
    dropped: u64,
    /// Whether the thread holds bytes that are not written yet.
    is_writing: bool,
}

/// Counts lines by kind and drops those beyond [`LINES_PER_SECOND`].
struct Limited<D> {
    drain: D,
    kinds: Mutex<Map<String, Kind>>,
    shared: Arc<Shared>,
}

struct Kind {
    since: Instant,
    lines: u32,
    left_out: u32,
}

impl Output {
    /// Returns a logger whose lines go to `writer`, each with the daemon's id.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub fn logger<W: Write + Send + 'static>(&self, writer: W, id: &Name) -> io::Result<Logger> {
        let shared = Arc::clone(&self.shared);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || shared.write_to(writer))?;
        let lines = Lines {
            line: Vec::new(),
            shared: Arc::clone(&self.shared),
        };
        let json = slog_json::Json::new(lines)
            .add_default_keys()
            .set_flush(true)
            .build();
        let drain = Limited {
            drain: Mutex::new(json).fuse(),
            kinds: Mutex::default(),
            shared: Arc::clone(&self.shared),
        };
        Ok(Logger::root(drain, o!("daemon" => id.to_string())))
    }

    /// Waits a moment for the lines so far to be written.
    pub fn flush(&self) {
        let buffer = self.shared.lock();
        let is_open = |buffer: &mut Buffer| !buffer.bytes.is_empty() || buffer.is_writing;
        // Lines that can't be written in this time are lost with the process.
        let _ = self
            .shared
            .changed
            .wait_timeout_while(buffer, FLUSH_TIME, is_open);
    }

    /// Returns how many lines were dropped and not counted in a line yet.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.lock().dropped
    }
}

/// Puts whole lines into the buffer: the JSON drain flushes after each.
struct Lines {
    line: Vec<u8>,
    shared: Arc<Shared>,
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.shared.put(&self.line);
        self.line.clear();
        Ok(())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn put(&self, line: &[u8]) {
        let mut buffer = self.lock();
        if buffer.bytes.len() + line.len() > BUFFER_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
            self.changed.notify_all();
        }
    }

    fn write_to<W: Write>(&self, mut writer: W) {
        loop {
            let buffer = self.lock();
            let buffer = self
                .changed
                .wait_while(buffer, |buffer| buffer.bytes.is_empty());
            drop(buffer.unwrap_or_else(PoisonError::into_inner));
            thread::sleep(GATHER_TIME);
            let mut buffer = self.lock();
            let mut bytes = std::mem::take(&mut buffer.bytes);
            let dropped = std::mem::take(&mut buffer.dropped);
            buffer.is_writing = true;
            drop(buffer);
            if dropped > 0 {
                let line = format!("{{\"msg\":\"log: lines dropped\",\"lines\":{dropped}}}\n");
                bytes.extend_from_slice(line.as_bytes());
            }
            let written = writer.write_all(&bytes).and_then(|()| writer.flush());
            self.lock().is_writing = false;
            self.changed.notify_all();
            if written.is_err() {
                // Nobody reads any more, and there is no other place to say so.
                return;
            }
        }
    }
}

impl<D> Limited<D> {
    /// Counts a line of `kind`; returns whether it may be written, and how many of the
    /// second before were not.
    fn count(&self, kind: &str) -> (bool, u32) {
        let now = Instant::now();
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        if !kinds.contains_key(kind) {
            let fresh = Kind {
                since: now,
                lines: 0,
                left_out: 0,
            };
            kinds.insert(kind.to_owned(), fresh);
        }
        let Some(entry) = kinds.get_mut(kind) else {
            return (true, 0);
        };
        let mut left_out = 0;
        if now.duration_since(entry.since) >= Duration::from_secs(1) {
            left_out = std::mem::take(&mut entry.left_out);
            entry.since = now;
            entry.lines = 0;
        }
        entry.lines += 1;
        let may_write = entry.lines <= LINES_PER_SECOND;
        if !may_write {
            entry.left_out += 1;
        }
        (may_write, left_out)
    }
}

impl<D: Drain<Ok = (), Err = Never>> Drain for Limited<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let kind = record.msg().to_string();
        let (may_write, left_out) = self.count(&kind);
        if left_out > 0 {
            let line = format!(
                "{{\"msg\":\"log: lines left out\",\"kind\":{kind:?},\"lines\":{left_out}}}\n"
            );
            self.shared.put(line.as_bytes());
        }
        if may_write {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}
