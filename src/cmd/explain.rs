//! `briarquay explain`: prints the log lines of one request from the logs of entry hosts.

use {
    super::Outcome,
    eyre::{Result, WrapErr},
    serde_json::{Map, Value},
    std::{
        fmt::Write,
        fs::File,
        io::{BufRead, BufReader, stdin},
        path::{Path, PathBuf},
    },
};

/// Keys that are left out of the `key=value` list, since [`format_entry`] prints them first or
/// not at all.
const EXCLUDED_KEYS: [&str; 5] = ["msg", "ts", "daemon", "level", "request"];

/// Arguments of `explain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Id of the request.
    id: String,
    /// Log of one or more hosts, one JSON object per line; `-` for standard input.
    #[arg(long, value_name = "FILE")]
    log: PathBuf,
}

/// Prints the log lines of the request, ordered by time.
pub fn execute(args: &Args) -> Result<Outcome> {
    let read = || format!("read {}", args.log.display());
    let lines: Vec<String> = if args.log == Path::new("-") {
        stdin().lines().collect::<Result<_, _>>()
    } else {
        let file = File::open(&args.log).wrap_err_with(read)?;
        BufReader::new(file).lines().collect()
    }
    .wrap_err_with(read)?;
    let found = request_lines(&args.id, lines.iter().map(String::as_str));
    for line in &found {
        println!("{line}");
    }
    if found.is_empty() {
        eprintln!("no line names request {}", args.id);
        return Ok(Outcome::Failed);
    }
    Ok(Outcome::Done)
}

/// Returns the log lines of request `id` as readable text, ordered by time. Text before a
/// line's JSON object is ignored.
pub fn request_lines<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Vec<String> {
    let parsed = lines.filter(|line| line.contains(id)).filter_map(|line| {
        let object = &line[line.find('{')?..];
        let entry: Map<String, Value> = serde_json::from_str(object).ok()?;
        (entry.get("request")?.as_str()? == id).then_some(entry)
    });
    let mut entries: Vec<Map<String, Value>> = parsed.collect();
    entries.sort_by_key(|entry| text(entry, "ts"));
    entries.iter().map(format_entry).collect()
}

fn format_entry(entry: &Map<String, Value>) -> String {
    let mut line = format!(
        "{} {} {}",
        text(entry, "ts"),
        text(entry, "daemon"),
        text(entry, "msg")
    );
    let fields = entry
        .iter()
        .filter(|(key, value)| !EXCLUDED_KEYS.contains(&key.as_str()) && !value.is_null());
    for (key, value) in fields {
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        if !value.is_empty() {
            // Writing to a string does not fail.
            let _ = write!(line, " {key}={value}");
        }
    }
    line
}

fn text(entry: &Map<String, Value>, key: &str) -> String {
    let value = entry.get(key).and_then(Value::as_str);
    value.unwrap_or_default().to_owned()
}
