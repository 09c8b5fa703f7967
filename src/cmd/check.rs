//! `briarquay check`: checks a declaration without submitting it.

use {
    super::{
        Outcome,
        client::{Output, print_json},
    },
    crate::declaration::Declaration,
    eyre::{Result, WrapErr},
    serde::Serialize,
    std::path::PathBuf,
};

/// Arguments of `check`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Declaration (YAML).
    file: PathBuf,
    /// Output format.
    #[arg(long, value_enum, default_value = "text")]
    output: Output,
}

#[derive(Serialize)]
struct Report {
    valid: bool,
    problems: Vec<String>,
}

/// Checks the file and prints its problems.
pub fn execute(args: &Args) -> Result<Outcome> {
    let text = std::fs::read_to_string(&args.file)
        .wrap_err_with(|| format!("read {}", args.file.display()))?;
    let problems: Vec<String> = match Declaration::parse(&text) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.0.iter().map(ToString::to_string).collect(),
    };
    let valid = problems.is_empty();
    match args.output {
        Output::Json => print_json(&Report { valid, problems })?,
        Output::Text if valid => println!("{}: valid", args.file.display()),
        Output::Text => problems.iter().for_each(|problem| println!("{problem}")),
    }
    Ok(if valid {
        Outcome::Done
    } else {
        Outcome::Invalid
    })
}
