//! Non-blocking JSON log on standard output, with bounded memory and a rate limit per message.
//!
//! Lines go into a buffer that a separate thread writes out. A reader that stops reading
//! never blocks a request: lines that don't fit into the buffer are dropped and counted. Each
//! message text has a limit of lines per second; lines beyond it are suppressed, and their
//! number is logged in a line of its own.

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

/// Largest number of lines per second with the same message. The requests of a full-scale
/// benchmark day stay below it.
pub const LINES_PER_SECOND: u32 = 200;

/// Size limit of the buffer of unwritten lines, bytes: several seconds of lines.
pub const BUFFER_BYTES: usize = 1 << 20;

/// Time for which lines are collected before they are written together.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Longest time that [`Output::flush`] waits, so that a reader that stopped reading can't
/// block a shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Buffered log output, written by a separate thread.
#[derive(Clone, Default)]
pub struct Output {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    changed: Condvar,
    /// Notified when the lines must be written at once.
    flushing: Condvar,
}

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines dropped since the last `lines dropped` line.
    dropped: u64,
    /// Whether the thread is writing bytes that it took from the buffer.
    is_writing: bool,
    /// Whether [`Output::flush`] waits for the lines.
    is_flushing: bool,
}

/// Drain that suppresses lines beyond [`LINES_PER_SECOND`] with the same message.
struct RateLimited<D> {
    drain: D,
    windows: Mutex<Map<String, Window>>,
    shared: Arc<Shared>,
}

/// Lines with one message in the current second.
struct Window {
    started: Instant,
    lines: u32,
    suppressed: u32,
}

impl Output {
    /// Returns a logger that writes to `writer`, each line with the daemon's id.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub fn logger<W: Write + Send + 'static>(&self, writer: W, id: &Name) -> io::Result<Logger> {
        let shared = Arc::clone(&self.shared);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || shared.write_to(writer))?;
        let lines = LineWriter {
            line: Vec::new(),
            shared: Arc::clone(&self.shared),
        };
        let json = slog_json::Json::new(lines)
            .add_default_keys()
            .set_flush(true)
            .build();
        let drain = RateLimited {
            drain: Mutex::new(json).fuse(),
            windows: Mutex::default(),
            shared: Arc::clone(&self.shared),
        };
        Ok(Logger::root(drain, o!("daemon" => id.to_string())))
    }

    /// Lets all buffered lines be written at once, and waits up to 300 ms until they are.
    pub fn flush(&self) {
        let mut buffer = self.shared.lock();
        buffer.is_flushing = true;
        self.shared.flushing.notify_all();
        let is_unwritten = |buffer: &mut Buffer| !buffer.bytes.is_empty() || buffer.is_writing;
        // Lines that are not written in this time are lost when the process exits.
        let waited = self
            .shared
            .changed
            .wait_timeout_while(buffer, FLUSH_TIMEOUT, is_unwritten);
        let (mut buffer, _) = waited.unwrap_or_else(PoisonError::into_inner);
        buffer.is_flushing = false;
    }

    /// Returns the number of dropped lines that no `lines dropped` line has reported yet.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.lock().dropped
    }
}

/// Appends whole lines to the buffer. The JSON drain flushes after each line.
struct LineWriter {
    line: Vec<u8>,
    shared: Arc<Shared>,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.shared.push_line(&self.line);
        self.line.clear();
        Ok(())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push_line(&self, line: &[u8]) {
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
            let buffer = buffer.unwrap_or_else(PoisonError::into_inner);
            let waited = self
                .flushing
                .wait_timeout_while(buffer, BATCH_DELAY, |buffer| !buffer.is_flushing);
            let (mut buffer, _) = waited.unwrap_or_else(PoisonError::into_inner);
            let mut bytes = std::mem::take(&mut buffer.bytes);
            let dropped = std::mem::take(&mut buffer.dropped);
            buffer.is_writing = true;
            drop(buffer);
            if dropped > 0 {
                let line = format!("{{\"msg\":\"log: lines dropped\",\"lines\":{dropped}}}\n");
                bytes.extend_from_slice(line.as_bytes());
            }
            let result = writer.write_all(&bytes).and_then(|()| writer.flush());
            self.lock().is_writing = false;
            self.changed.notify_all();
            if result.is_err() {
                // The reader is gone, and there is no other output to report this on.
                return;
            }
        }
    }
}

impl<D> RateLimited<D> {
    /// Counts a line with `message`. Returns whether it may be written, and, at the start of
    /// a new second, how many lines were suppressed in the last counted one.
    fn count_line(&self, message: &str) -> (bool, u32) {
        let now = Instant::now();
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        if !windows.contains_key(message) {
            let window = Window {
                started: now,
                lines: 0,
                suppressed: 0,
            };
            windows.insert(message.to_owned(), window);
        }
        let Some(window) = windows.get_mut(message) else {
            return (true, 0);
        };
        let mut suppressed = 0;
        if now.duration_since(window.started) >= Duration::from_secs(1) {
            suppressed = std::mem::take(&mut window.suppressed);
            window.started = now;
            window.lines = 0;
        }
        window.lines += 1;
        let may_write = window.lines <= LINES_PER_SECOND;
        if !may_write {
            window.suppressed += 1;
        }
        (may_write, suppressed)
    }
}

impl<D: Drain<Ok = (), Err = Never>> Drain for RateLimited<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let message = record.msg().to_string();
        let (may_write, suppressed) = self.count_line(&message);
        if suppressed > 0 {
            let line = format!(
                "{{\"msg\":\"log: lines left out\",\"kind\":{message:?},\"lines\":{suppressed}}}\n"
            );
            self.shared.push_line(line.as_bytes());
        }
        if may_write {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}
