//! Log output is bounded and never blocks the caller.

use {
    briarquay::daemon::output::{LINES_PER_SECOND, Output},
    slog::info,
    std::{
        io::{self, Write},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

/// A log reader that can stop reading, like a full pipe.
#[derive(Clone, Default)]
struct Reader {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    is_stopped: bool,
    text: Vec<u8>,
}

impl Reader {
    fn set_stopped(&self, is_stopped: bool) {
        self.state.0.lock().expect("no panic").is_stopped = is_stopped;
        self.state.1.notify_all();
    }

    fn lines(&self) -> Vec<String> {
        let state = self.state.0.lock().expect("no panic");
        let text = String::from_utf8_lossy(&state.text);
        text.lines().map(str::to_owned).collect()
    }
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.state.0.lock().expect("no panic");
        let mut state = self
            .state
            .1
            .wait_while(state, |state| state.is_stopped)
            .expect("no panic");
        state.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn each_line_is_a_json_object_with_the_daemon_id() {
    let (output, reader) = (Output::default(), Reader::default());
    let log = output
        .logger(reader.clone(), &"entry-1".into())
        .expect("a thread");
    info!(log, "serve: answered"; "request" => "id-1", "parts" => 20);
    output.flush();
    let lines = reader.lines();
    let line: serde_json::Value = serde_json::from_str(&lines[0]).expect("JSON");
    assert_eq!(line["msg"], "serve: answered");
    assert_eq!(
        (line["daemon"].as_str(), line["request"].as_str()),
        (Some("entry-1"), Some("id-1"))
    );
    assert_eq!(line["parts"], 20);
}

/// Guards against a process that is killed while its last lines wait for further ones.
#[test]
fn flush_does_not_wait_for_more_lines() {
    let (output, reader) = (Output::default(), Reader::default());
    let log = output
        .logger(reader.clone(), &"entry-1".into())
        .expect("a thread");
    let started = Instant::now();
    for number in 0..50 {
        info!(log, "a line"; "number" => number);
        output.flush();
    }
    // Lines are collected for 100 ms otherwise, which makes five seconds.
    assert!(started.elapsed() < Duration::from_secs(2));
    assert_eq!(reader.lines().len(), 50);
}

#[test]
fn a_stopped_reader_drops_lines_without_blocking() {
    let (output, reader) = (Output::default(), Reader::default());
    reader.set_stopped(true);
    let log = output
        .logger(reader.clone(), &"entry-1".into())
        .expect("a thread");
    let padding = "x".repeat(32 << 10);
    let started = Instant::now();
    for number in 0..u64::from(LINES_PER_SECOND) {
        info!(log, "a line"; "number" => number, "padding" => &padding);
    }
    // Six megabytes go into a buffer of one megabyte. A blocking write would take half a minute.
    assert!(started.elapsed() < Duration::from_secs(10));
    assert!(output.dropped() > 0);

    reader.set_stopped(false);
    let deadline = Instant::now() + Duration::from_secs(15);
    while !reader
        .lines()
        .iter()
        .any(|line| line.contains("log: lines dropped"))
    {
        assert!(Instant::now() < deadline, "no count of dropped lines");
        info!(log, "another line");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn lines_with_one_message_beyond_the_limit_are_suppressed_and_counted() {
    let (output, reader) = (Output::default(), Reader::default());
    let log = output
        .logger(reader.clone(), &"entry-1".into())
        .expect("a thread");
    for number in 0..LINES_PER_SECOND * 2 {
        info!(log, "hedged_request: leaf late"; "number" => number);
    }
    info!(log, "host: stopping");
    output.flush();
    let count = |text: &str| {
        reader
            .lines()
            .iter()
            .filter(|line| line.contains(text))
            .count()
    };
    assert!(count("hedged_request: leaf late") < 2 * LINES_PER_SECOND as usize);
    assert_eq!(count("host: stopping"), 1, "other messages are not limited");
    std::thread::sleep(Duration::from_millis(1_100));
    info!(log, "hedged_request: leaf late");
    output.flush();
    assert_eq!(count("log: lines left out"), 1);
}
