//! `briarquay domain`: takes a failure domain out of service, or puts it back into service.

use {
    super::{
        Outcome,
        apply::{self, ChangeArgs},
        client::Operator,
    },
    crate::declaration::{Declaration, DomainState},
    eyre::{OptionExt, Result, eyre},
};

/// Arguments of `domain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    direction: Direction,
}

#[derive(Debug, clap::Subcommand)]
enum Direction {
    /// Send no new work to the domain's targets.
    Out(DomainArgs),
    /// Send work to the domain's targets again, no more than each can take.
    Back(DomainArgs),
}

#[derive(Debug, clap::Args)]
struct DomainArgs {
    /// Failure domain.
    name: String,
    #[command(flatten)]
    change: ChangeArgs,
    #[command(flatten)]
    operator: Operator,
}

/// Changes the domain's state in the document in force and submits it.
pub async fn execute(args: Args) -> Result<Outcome> {
    let (args, state) = match args.direction {
        Direction::Out(args) => (args, DomainState::Out),
        Direction::Back(args) => (args, DomainState::In),
    };
    let in_force = args.operator.in_force().await?;
    let mut declaration =
        Declaration::parse(&in_force.document).map_err(|problems| eyre!("{problems}"))?;
    let domain = declaration
        .domains
        .iter_mut()
        .find(|domain| *domain.name == *args.name)
        .ok_or_eyre(format!("domain {} is not declared", args.name))?;
    if domain.state == state {
        println!("domain {} is in that state already", args.name);
        return Ok(Outcome::Done);
    }
    domain.state = state;
    let document = declaration.to_yaml();
    apply::submit(&args.operator, &args.change, in_force.revision, document).await
}
