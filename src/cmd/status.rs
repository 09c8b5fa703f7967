//! `briarquay status`: prints members, leases, domains and targets.

use {
    super::{
        Outcome,
        client::{Operator, Output, print_json},
    },
    crate::{collections::Name, coordinator::status::Status},
    eyre::Result,
};

/// Arguments of `status`.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    operator: Operator,
}

/// Prints the state of the cluster as one daemon sees it.
pub async fn execute(args: Args) -> Result<Outcome> {
    let status = args.operator.status().await?;
    match args.operator.output {
        Output::Json => print_json(&status)?,
        Output::Text => print_status(&status),
    }
    Ok(Outcome::Done)
}

fn print_status(status: &Status) {
    println!(
        "seen by {}: epoch {}, revision {}, {} leaves owned, {} pending",
        status.daemon, status.epoch, status.revision, status.owned, status.pending
    );
    println!(
        "{:<20} {:<16} {:>9} {:>9} {:<7} {:<8} {:>9}",
        "member", "domain", "revision", "witnesses", "lease", "state", "silent ms"
    );
    for member in &status.members {
        println!(
            "{:<20} {:<16} {:>9} {:>9} {:<7} {:<8} {:>9}",
            member.id,
            member.domain,
            member.revision,
            member.witnesses,
            if member.leased { "held" } else { "none" },
            format!("{:?}", member.state).to_lowercase(),
            member.silent_ms
        );
    }
    print_list("domains out", &status.domains_out);
    print_list("targets ramping at this daemon", &status.ramping);
    print_list("targets draining at this daemon", &status.draining);
    println!("requests that crashed targets: {}", status.suspects);
}

fn print_list(label: &str, names: &[Name]) {
    let joined = if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    };
    println!("{label}: {joined}");
}
