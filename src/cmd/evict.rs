//! `briarquay evict`: removes a member whose host is confirmed to be off.

use {
    super::{Outcome, client::Operator},
    eyre::{Result, ensure},
};

/// Arguments of `evict`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Id of the member.
    id: String,
    /// Confirm that the member's process has ended and can't restart by itself.
    #[arg(long)]
    host_is_off: bool,
    #[command(flatten)]
    operator: Operator,
}

/// Removes the member, if the arguments confirm that its host is off.
pub async fn execute(args: Args) -> Result<Outcome> {
    ensure!(
        args.host_is_off,
        "a member that still runs would continue to send to its leaves; \
         make sure that its host is off, then pass --host-is-off"
    );
    args.operator.evict(&args.id).await?;
    println!("{} removed", args.id);
    Ok(Outcome::Done)
}
