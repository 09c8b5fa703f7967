//! Log lines are bounded and never waited for.

use {
    briarquay::daemon::output::{LINES_PER_SECOND, Output},
    slog::info,
    std::{
        io::{self, Write},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

/// A reader that can stop reading.
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
    fn stop(&self, is_stopped: bool) {
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
fn each_line_is_a_json_object_with_the_daemons_name() {
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

#[test]
fn a_reader_that_stops_costs_lines_and_no_time() {
    let (output, reader) = (Output::default(), Reader::default());
    reader.stop(true);
    let log = output
        .logger(reader.clone(), &"entry-1".into())
        .expect("a thread");
    let padding = "x".repeat(32 << 10);
    let begun = Instant::now();
    for number in 0..u64::from(LINES_PER_SECOND) {
        info!(log, "a line"; "number" => number, "padding" => &padding);
    }
    // Six megabytes into a buffer of one: far from the half minute a blocked write takes.
    assert!(begun.elapsed() < Duration::from_secs(10));
    assert!(output.dropped() > 0);

    reader.stop(false);
    let until = Instant::now() + Duration::from_secs(15);
    while !reader
        .lines()
        .iter()
        .any(|line| line.contains("log: lines dropped"))
    {
        assert!(Instant::now() < until, "the count is written");
        info!(log, "another line");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn lines_of_one_kind_beyond_the_limit_are_counted() {
    let (output, reader) = (Output::default(), Reader::default());
    let log = output
        .logger(reader.clone(), &"entry-1".into())
        .expect("a thread");
    for number in 0..LINES_PER_SECOND * 2 {
        info!(log, "race: leaf late"; "number" => number);
    }
    info!(log, "host: stopping");
    output.flush();
    let count = |word: &str| {
        reader
            .lines()
            .iter()
            .filter(|line| line.contains(word))
            .count()
    };
    assert!(count("race: leaf late") < 2 * LINES_PER_SECOND as usize);
    assert_eq!(count("host: stopping"), 1, "other kinds are not held back");
    std::thread::sleep(Duration::from_millis(1_100));
    info!(log, "race: leaf late");
    output.flush();
    assert_eq!(count("log: lines left out"), 1);
}
