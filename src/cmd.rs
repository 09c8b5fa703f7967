//! The subcommands of `briarquay`, one module each.

use {clap::Subcommand, eyre::Result, std::process::ExitCode};

mod apply;
mod bench;
mod check;
mod client;
mod completions;
mod demo;
mod domain;
mod evict;
mod explain;
mod history;
mod load;
mod plan;
mod query;
mod sizing;
mod standin;
mod status;

/// A subcommand with its arguments.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a declaration without submitting it.
    Check(check::Args),
    /// Describe what a declaration would change.
    Plan(plan::Args),
    /// Submit a declaration and wait until it is in force on all daemons.
    Apply(apply::Args),
    /// Show members, leases, domains and targets.
    Status(status::Args),
    /// Show who changed the declaration, when and why.
    History(history::Args),
    /// Take a failure domain out of service, or put it back into service.
    Domain(domain::Args),
    /// Send one query.
    Query(query::Args),
    /// Remove a member whose host is confirmed to be off.
    Evict(evict::Args),
    /// Print the log lines of one request from the logs of entry hosts.
    Explain(explain::Args),
    /// Print shell completions.
    Completions(completions::Args),
    /// Run a stand-in for the platform or the targets.
    Standin(standin::Args),
    /// Run a small deployment in this process and query it.
    Demo(demo::Args),
    /// Run a load test with faults against a deployment in this process.
    Load(load::Args),
    /// Measure the latency that the query tier adds, compared to direct requests.
    Bench(bench::Args),
    /// Measure how placement, member lists and documents grow with the fleet.
    Sizing(sizing::Args),
}

/// Outcome of a command, from which the exit code follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command succeeded.
    Done,
    /// The command ran and reports a failure.
    Failed,
    /// The document is invalid.
    Invalid,
    /// Another change was accepted first.
    Conflict,
    /// The change was accepted but was not in force on all daemons in time.
    Lagging,
    /// Whether the change took effect is unknown.
    Unknown,
}

impl Outcome {
    fn code(self) -> ExitCode {
        ExitCode::from(match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Invalid => 3,
            Self::Conflict => 4,
            Self::Lagging => 5,
            Self::Unknown => 6,
        })
    }
}

/// Runs a subcommand and returns the exit code of the program.
#[must_use]
pub fn execute(command: Command, program: clap::Command) -> ExitCode {
    match dispatch(command, program) {
        Ok(outcome) => outcome.code(),
        Err(error) => {
            eprintln!("briarquay: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(command: Command, program: clap::Command) -> Result<Outcome> {
    match command {
        Command::Check(args) => check::execute(&args),
        Command::Completions(args) => Ok(completions::execute(&args, program)),
        Command::Explain(args) => explain::execute(&args),
        Command::Plan(args) => block_on(plan::execute(args)),
        Command::Apply(args) => block_on(apply::execute(args)),
        Command::Status(args) => block_on(status::execute(args)),
        Command::History(args) => block_on(history::execute(args)),
        Command::Domain(args) => block_on(domain::execute(args)),
        Command::Query(args) => block_on(query::execute(args)),
        Command::Evict(args) => block_on(evict::execute(args)),
        Command::Standin(args) => block_on(standin::execute(args)),
        Command::Demo(args) => block_on(demo::execute(args)),
        Command::Load(args) => block_on(load::execute(args)),
        Command::Bench(args) => block_on(bench::execute(args)),
        Command::Sizing(args) => sizing::execute(&args),
    }
}

fn block_on(command: impl Future<Output = Result<Outcome>>) -> Result<Outcome> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(command)
}
