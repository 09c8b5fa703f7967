//! `briarquay bench`: compares the latency of queries through owners with a caller that
//! queries every leaf itself, and with daemons that send to every leaf directly.

use {
    super::Outcome,
    crate::{
        deployment::{Deployment, Plan},
        settings::Routing,
    },
    bytes::Bytes,
    eyre::Result,
    hdrhistogram::Histogram,
    hyper::{Method, StatusCode},
    standin::{
        client::{Ask, Caller},
        history::now_us,
        http::Connection,
        target::Work,
    },
    std::{
        fmt::Write,
        time::{Duration, Instant},
    },
};

/// Deadline of each query.
const DEADLINE: Duration = Duration::from_secs(5);

/// Longest latency that the histogram distinguishes, microseconds.
const MAX_LATENCY_US: u64 = 10_000_000;

/// First port in the declaration. The deployment replaces the addresses by those of the
/// stand-ins.
const FIRST_PORT: u16 = 30_000;

/// Arguments of `bench`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Number of leaves that a query reaches.
    #[arg(long, default_value_t = 40)]
    leaves: u16,
    /// Number of daemons.
    #[arg(long, default_value_t = 9)]
    daemons: usize,
    /// Number of queries for each way of sending; they run one after the other.
    #[arg(long, default_value_t = 1_000)]
    queries: u32,
    /// Mean work time of a leaf, microseconds.
    #[arg(long, default_value_t = 2_000)]
    work_us: u64,
    /// Send unknown requests to one leaf first.
    #[arg(long)]
    canary: bool,
    /// Seed of the work times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Measures direct leaf requests, owner routing and direct routing one after the other.
pub async fn execute(args: Args) -> Result<Outcome> {
    println!(
        "{} leaves, {} daemons, {} queries one after the other, work {} us, seed {}",
        args.leaves, args.daemons, args.queries, args.work_us, args.seed
    );
    let deployment = Deployment::start(plan(&args, Routing::Owners)).await?;
    let leaves = query_leaves(&args, &deployment).await?;
    let owners = query_entries(&args, &deployment).await;
    drop(deployment);
    let deployment = Deployment::start(plan(&args, Routing::Direct)).await?;
    let direct = query_entries(&args, &deployment).await;
    print_row("every leaf, no tier", &leaves, &leaves);
    print_row("owners", &owners, &leaves);
    print_row("direct", &direct, &leaves);
    Ok(Outcome::Done)
}

fn print_row(name: &str, latency: &Histogram<u64>, base: &Histogram<u64>) {
    let at = |histogram: &Histogram<u64>, quantile| {
        Duration::from_micros(histogram.value_at_quantile(quantile)).as_secs_f64() * 1_000.0
    };
    println!(
        "{name:<20} p50 {:.3} ms (+{:.3}), p99 {:.3} ms (+{:.3})",
        at(latency, 0.5),
        at(latency, 0.5) - at(base, 0.5),
        at(latency, 0.99),
        at(latency, 0.99) - at(base, 0.99)
    );
}

fn plan(args: &Args, routing: Routing) -> Plan {
    let mut plan = Plan::new(&document(args), args.daemons);
    plan.behaviour.work_us = args.work_us;
    plan.routing = routing;
    plan.seed = args.seed;
    plan
}

fn document(args: &Args) -> String {
    let mut text = format!(
        "name: bench\ndomains: [{{name: here}}]\nservices:\n  - name: bench\n    shards: {}\n    \
         canary: {}\n    hedge: {{percentile: 0}}\n    limits: {{slots: 2, connections: 25}}\n    \
         targets:\n",
        args.leaves, args.canary
    );
    for leaf in 0..args.leaves {
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "      - {{name: t-{leaf}, domain: here, leaves: [{{shard: {leaf}, address: \"127.0.0.1:{}\"}}]}}",
            FIRST_PORT + leaf
        );
    }
    text
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are in the right order")
}

async fn query_entries(args: &Args, deployment: &Deployment) -> Histogram<u64> {
    let mut latency = histogram();
    let callers: Vec<Caller> = deployment
        .entries()
        .into_iter()
        .map(|entry| Caller::new(entry, deployment.history.clone()))
        .collect();
    for number in 0..args.queries {
        let ask = Ask::query("bench", &format!("b-{number}"), DEADLINE);
        let caller = &callers[number as usize % callers.len()];
        let got = caller.ask(&ask).await;
        if got.answered == got.total {
            latency.saturating_record(got.took_us);
        }
    }
    latency
}

/// Asks every leaf at once over kept connections: what a query costs without a tier.
async fn query_leaves(args: &Args, deployment: &Deployment) -> Result<Histogram<u64>> {
    let mut latency = histogram();
    let mut connections = Vec::new();
    for target in deployment.fleet.targets() {
        for (_, address) in &target.spec().leaves {
            connections.push(Connection::open(*address).await?);
        }
    }
    for number in 0..args.queries {
        let work = Work {
            request: format!("d-{number}"),
            rows: 1,
            crash: false,
        };
        let body = Bytes::from(serde_json::to_vec(&work)?);
        let headers = [
            ("x-layout", "1".to_owned()),
            ("x-deadline-unix-ms", (now_us() / 1_000 + 5_000).to_string()),
        ];
        let started = Instant::now();
        let requests = connections
            .iter_mut()
            .map(|connection| connection.send(Method::POST, "/leaf", &headers, body.clone()));
        let replies = futures_util::future::try_join_all(requests).await?;
        if replies.iter().all(|(status, _)| *status == StatusCode::OK) {
            latency.saturating_record(u64::try_from(started.elapsed().as_micros())?);
        }
    }
    Ok(latency)
}
