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
    /// Say in words what a declaration would change.
    Plan(plan::Args),
    /// Submit a declaration and wait until it is in force everywhere.
    Apply(apply::Args),
    /// Show members, leases, domains and targets.
    Status(status::Args),
    /// Show who changed the declaration, when and why.
    History(history::Args),
    /// Take a failure domain out of service, or bring it back.
    Domain(domain::Args),
    /// Send one query.
    Query(query::Args),
    /// Remove a member whose host is off for certain.
    Evict(evict::Args),
    /// Print one request's story from an entry host's log.
    Explain(explain::Args),
    /// Print shell completions.
    Completions(completions::Args),
    /// Run a stand-in of the platform or the targets.
    Standin(standin::Args),
    /// Run a small deployment in this process and query it.
    Demo(demo::Args),
    /// Run a load against a deployment in this process, with faults.
    Load(load::Args),
    /// Measure the cost of the path against direct sending.
    Bench(bench::Args),
    /// Measure how placement, lists and documents grow with the fleet.
    Sizing(sizing::Args),
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All done.
    Done,
    /// The command ran and found a failure.
    Failed,
    /// The document is wrong.
    Invalid,
    /// Another change came first.
    Conflict,
    /// Accepted, but not in force everywhere in time.
    Lagging,
    /// Whether it took effect is not known.
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

fn block_on(work: impl Future<Output = Result<Outcome>>) -> Result<Outcome> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(work)
}
