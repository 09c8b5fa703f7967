//! Stand-ins of the cases 6 and up: `standins-2 CASE RECORD`. With `TROUBLE=0` the case runs
//! without its disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! couldn't run.

mod cases;
mod client;
mod fleet;
mod http;
mod json;
mod leaf;
mod paths;
mod store;

use {
    fleet::Record,
    std::{io, process::exit, thread, time::Duration},
};

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// What became of the rule.
pub enum Verdict {
    Broken(String),
    Held(String),
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins-2 CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            exit(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        fleet::end_all();
        exit(2);
    });
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let run = match case.as_str() {
        "cold" => cases::cold::run,
        "limit" => cases::limit::run,
        "deadly" => cases::deadly::run,
        "last" => cases::keys::run_removed,
        "keys" => cases::keys::run_added,
        "refused" => cases::refused::run,
        _ => {
            eprintln!("{case}: no such case");
            exit(2);
        }
    };
    let (status, text) = match run(has_trouble, &record) {
        Ok(Verdict::Broken(text)) => (1, format!("BROKEN: {text}")),
        Ok(Verdict::Held(text)) => (0, format!("HELD: {text}")),
        Err(error) => (2, format!("COULD NOT RUN: {error}")),
    };
    record.line(&text);
    println!("{text}");
    fleet::end_all();
    exit(status);
}

/// Returns an error that tells why a case couldn't run.
pub fn unable<T>(reason: impl Into<String>) -> io::Result<T> {
    Err(io::Error::other(reason.into()))
}
