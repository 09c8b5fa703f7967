//! The record of a run, with the time since its start, and its verdict.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of a run; its copies write to the same file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with the time `at`.
    pub fn line_at(&self, at: Instant, text: &str) {
        let ms = at.saturating_duration_since(self.start).as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {text}");
    }

    /// Writes a line and prints it too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
