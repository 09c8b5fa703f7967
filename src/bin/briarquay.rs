//! Command line for operators.

use {
    briarquay::cmd::{self, Command},
    clap::{CommandFactory, Parser},
    std::process::ExitCode,
};

/// Operates a briarquay query tier.
///
/// Exit codes: 0 success; 1 failure; 2 invalid arguments; 3 invalid document; 4 conflict
/// with another change; 5 not in force on all daemons in time; 6 unknown outcome.
#[derive(Debug, Parser)]
#[command(name = "briarquay", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    cmd::execute(Args::parse().command, Args::command())
}
