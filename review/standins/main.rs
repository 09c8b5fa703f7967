//! Runs one case of the review: `standins CASE RECORD`, from the project's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod http;
mod leaf;
mod store;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = world::Record::create(path).and_then(|record| {
        record.line(&format!("case {case}, trouble: {has_trouble}"));
        let verdict = match case.as_str() {
            "late-rejection" => cases::late_rejection::run(&record, has_trouble),
            "stop" => cases::stop::run(&record, has_trouble),
            "drain" => cases::drain::run(&record, has_trouble),
            "endless" => cases::endless::run(&record, has_trouble),
            "lost-watch" => cases::lost_watch::run(&record, has_trouble),
            _ => Err(std::io::Error::other("no such case")),
        }?;
        let text = if verdict.is_broken { "BROKEN" } else { "held" };
        record.line(&format!("verdict: {} {text}: {}", verdict.rule, verdict.text));
        println!("{} {text}: {}", verdict.rule, verdict.text);
        Ok(verdict.is_broken)
    });
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
