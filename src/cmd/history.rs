//! `briarquay history`: prints who changed the declaration, when and why.

use {
    super::{
        Outcome,
        client::{Operator, Output, print_json},
    },
    eyre::Result,
};

/// Arguments of `history`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Include the archives of older changes.
    #[arg(long)]
    all: bool,
    #[command(flatten)]
    operator: Operator,
}

/// Prints the audit trail that a daemon returns.
pub async fn execute(args: Args) -> Result<Outcome> {
    let changes = args.operator.history(args.all).await?;
    if args.operator.output == Output::Json {
        print_json(&changes)?;
        return Ok(Outcome::Done);
    }
    for change in &changes {
        println!(
            "revision {} from {} at {} ms by {} (change {}): {}",
            change.revision, change.base, change.at_ms, change.who, change.id, change.why
        );
    }
    Ok(Outcome::Done)
}
