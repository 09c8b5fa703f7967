//! `briarquay demo`: runs a small deployment in this process, queries it and checks the
//! results.

use {
    super::Outcome,
    crate::{
        deployment::{Deployment, Plan},
        settings::LogFormat,
    },
    eyre::Result,
    standin::{
        check,
        client::{Ask, Caller},
        load::{self, Load},
        report::Report,
    },
    std::time::Duration,
};

/// Declaration of the example deployment, a utility's.
const DOCUMENT: &str = include_str!("../../examples/quetzaltenango.yaml");

/// Deadline of each query.
const DEADLINE: Duration = Duration::from_secs(2);

/// Queries per second to each service.
const QUERIES_PER_SECOND: f64 = 100.0;

/// Rows that each shard returns.
const ROWS_PER_SHARD: u32 = 2;

/// Arguments of `demo`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Number of daemons.
    #[arg(long, default_value_t = 7)]
    daemons: usize,
    /// Number of queries to each service.
    #[arg(long, default_value_t = 150)]
    queries: u32,
    /// Seed of arrivals and work times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Show the daemons' logs.
    #[arg(long)]
    logs: bool,
}

/// Runs the deployment and prints what callers received and the state of each daemon.
pub async fn execute(args: Args) -> Result<Outcome> {
    let mut plan = Plan::new(DOCUMENT, args.daemons);
    plan.seed = args.seed;
    if args.logs {
        plan.log = LogFormat::Terminal;
    }
    println!(
        "starting {} daemons and 115 leaves on loopback",
        args.daemons
    );
    let deployment = Deployment::start(plan).await?;
    let mut reports = Vec::new();
    for service in ["ventanilla", "lecturas", "milonga-desk"] {
        let load = Load {
            service: service.to_owned(),
            count: args.queries,
            rate: QUERIES_PER_SECOND,
            deadline: DEADLINE,
            rows: ROWS_PER_SHARD,
            seed: args.seed,
        };
        let got = load::run(&load, &deployment.entries(), &deployment.history).await;
        reports.push(Report::new(service, &got, &deployment.history.events()));
    }
    reports.push(send_charges(&deployment, args.queries / 5).await);
    Ok(print_summary(&deployment, &reports))
}

/// Sends each charge twice under one idempotency key: the second must be rejected.
async fn send_charges(deployment: &Deployment, count: u32) -> Report {
    let mut callers = deployment.entries().into_iter().cycle();
    let mut got = Vec::new();
    for number in 0..count {
        let key = format!("charge-{number}");
        for attempt in 1..=2 {
            let Some(entry) = callers.next() else {
                continue;
            };
            let caller = Caller::new(entry, deployment.history.clone());
            let request = format!("cobros-{number}-{attempt}");
            let ask = Ask::once("cobros", &request, &key, DEADLINE);
            got.push(caller.ask(&ask).await);
        }
    }
    Report::new("cobros", &got, &deployment.history.events())
}

fn print_summary(deployment: &Deployment, reports: &[Report]) -> Outcome {
    println!("\n{}", Report::head());
    for report in reports {
        println!("{}", report.row());
    }
    println!(
        "\n{:<10} {:>6} {:>9} {:>6}",
        "daemon", "owned", "revision", "lease"
    );
    for status in deployment.daemons.iter().map(crate::Daemon::status) {
        let lease = if status.leased { "held" } else { "none" };
        println!(
            "{:<10} {:>6} {:>9} {:>6}",
            status.daemon, status.owned, status.revision, lease
        );
    }
    let calls = deployment.store.calls();
    println!(
        "\nstore calls: {} reads, {} writes, {} watches",
        calls.reads, calls.writes, calls.watches
    );
    let violations = check::all(&deployment.history.events());
    for violation in &violations {
        println!("BROKEN {}: {}", violation.check, violation.seen);
    }
    let queries = &reports[..reports.len() - 1];
    let all_answered = queries
        .iter()
        .all(|report| report.answered == report.sent && report.coverage_worst >= 1.0);
    let charged_once = reports
        .last()
        .is_some_and(|report| report.answered * 2 == report.sent);
    println!(
        "checks: {} broken; all queries answered whole: {all_answered}; each charge ran once: {charged_once}",
        violations.len()
    );
    if violations.is_empty() && all_answered && charged_once {
        Outcome::Done
    } else {
        Outcome::Failed
    }
}
