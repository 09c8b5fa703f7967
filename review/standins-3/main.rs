//! Runs one case of the review: stand-ins for the store, the leafs and the clients as threads, and
//! the entry hosts as processes. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't
//! run.

mod client;
mod host;
mod http;
mod json;
mod leaf;
mod record;
mod store;

mod crowd;
mod keys;
mod slow;

use {
    record::Record,
    std::{
        panic::{AssertUnwindSafe, catch_unwind},
        process::ExitCode,
        thread,
        time::Duration,
    },
};

/// Time after which a case is ended, whatever it has shown.
const LONGEST: Duration = Duration::from_secs(112);

/// What a case showed.
pub enum Verdict {
    Held,
    Broken,
}

pub type Outcome = Result<Verdict, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, path) = (
        args.next().unwrap_or_default(),
        args.next().unwrap_or_default(),
    );
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(LONGEST);
        eprintln!("the case has taken too long");
        host::end_all();
        std::process::exit(2);
    });
    let outcome = catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "crowd" => crowd::run(&record, trouble),
        "keys" => keys::run(&record, trouble),
        "slow" => slow::run(&record, trouble),
        _ => Err("unknown case".into()),
    }));
    let outcome = outcome.unwrap_or_else(|_| Err("a stand-in has failed".into()));
    host::end_all();
    let _ = std::fs::remove_dir_all(host::scratch());
    match outcome {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("the case couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}
