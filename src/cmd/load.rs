//! `briarquay load`: runs an open-loop load test with faults, reports its figures and checks
//! its history.

use {
    super::{
        Outcome,
        client::{Output, print_json},
    },
    crate::{
        declaration::{Declaration, DomainState},
        deployment::{Deployment, Plan},
        settings::Routing,
    },
    clap::ValueEnum,
    eyre::{OptionExt, Result, WrapErr, eyre},
    serde::Serialize,
    standin::{
        check::{self, Violation},
        history::CallerGot,
        load::{self, Load},
        report::{Report, Timeline},
    },
    std::{path::PathBuf, time::Duration},
    tokio::time::sleep,
};

/// Declaration of the example deployment, a utility's.
const DOCUMENT: &str = include_str!("../../examples/quetzaltenango.yaml");

/// Delay before the load begins, in which the daemons read the state of the targets.
const START_DELAY: Duration = Duration::from_millis(1_200);

/// Arguments of `load`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Declaration (YAML); by default that of the example deployment.
    #[arg(long)]
    declaration: Option<PathBuf>,
    /// Service to query.
    #[arg(long, default_value = "ventanilla")]
    service: String,
    /// Number of daemons.
    #[arg(long, default_value_t = 7)]
    daemons: usize,
    /// Queries per second.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Number of queries.
    #[arg(long, default_value_t = 1_000)]
    count: u32,
    /// Deadline of each query, milliseconds.
    #[arg(long, default_value_t = 1_000)]
    deadline_ms: u64,
    /// Mean work time of a leaf, microseconds.
    #[arg(long, default_value_t = 4_000)]
    work_us: u64,
    /// Seed of arrivals and work times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Fault to inject.
    #[arg(long, value_enum, default_value = "none")]
    fault: Fault,
    /// Which daemons send to leaves.
    #[arg(long, value_enum, default_value = "owners")]
    routing: RoutingArg,
    /// Latency percentile after which a hedge is sent, instead of the declared one.
    #[arg(long)]
    hedge_percentile: Option<u32>,
    /// Fixed delay after which a hedge is sent, milliseconds.
    #[arg(long)]
    hedge_after_ms: Option<u64>,
    /// Budget for hedges and retries, percent, instead of the declared one.
    #[arg(long)]
    budget_percent: Option<u32>,
    /// Whether unknown requests are sent to one leaf first, instead of the declared setting.
    #[arg(long)]
    canary: Option<bool>,
    /// Share of shards that suffices for a response, percent; makes the service weigh latency
    /// over coverage.
    #[arg(long)]
    enough_percent: Option<u32>,
    /// Print coverage and latency for each second.
    #[arg(long)]
    timeline: bool,
    /// Output format.
    #[arg(long, value_enum, default_value = "text")]
    output: Output,
}

/// Fault that is injected during a load test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Fault {
    /// No fault.
    None,
    /// One target in fifty, at least one, is ten times slower.
    Stragglers,
    /// One target in ten rejects work.
    Shed,
    /// The targets of one domain take twice as long.
    HalfDomain,
    /// One domain is taken out of service after a third of the load and put back, with cold
    /// targets, after two thirds.
    DomainOut,
    /// Every target starts cold.
    ColdFleet,
    /// One daemon crashes after a third of the load.
    Death,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum RoutingArg {
    Owners,
    Direct,
}

#[derive(Serialize)]
struct LoadOutput<'a> {
    seed: u64,
    report: &'a Report,
    broken: &'a [Violation],
    timeline: Vec<Timeline>,
}

/// Runs the load test and prints its figures.
pub async fn execute(args: Args) -> Result<Outcome> {
    let mut deployment = Deployment::start(plan(&args)?).await?;
    sleep(START_DELAY).await;
    // Events from before the load are not counted in its figures.
    let before = deployment.history.events().len();
    let load = Load {
        service: args.service.clone(),
        count: args.count,
        rate: args.rate,
        deadline: Duration::from_millis(args.deadline_ms),
        rows: 1,
        seed: args.seed,
    };
    let (entries, history) = (deployment.entries(), deployment.history.clone());
    let callers = tokio::spawn(async move { load::run(&load, &entries, &history).await });
    inject_fault(&args, &mut deployment).await?;
    let got = callers.await.wrap_err("run the load")?;
    print_report(&args, &deployment, &got, before)
}

fn plan(args: &Args) -> Result<Plan> {
    let text = match &args.declaration {
        Some(path) => {
            std::fs::read_to_string(path).wrap_err_with(|| format!("read {}", path.display()))?
        }
        None => DOCUMENT.to_owned(),
    };
    let mut declaration = Declaration::parse(&text).map_err(|problems| eyre!("{problems}"))?;
    let service = declaration
        .services
        .iter_mut()
        .find(|service| *service.name == *args.service)
        .ok_or_eyre(format!("service {} is not declared", args.service))?;
    if let Some(percentile) = args.hedge_percentile {
        service.hedge.percentile = percentile;
    }
    if let Some(after_ms) = args.hedge_after_ms {
        service.hedge.after_ms = after_ms;
    }
    if let Some(percent) = args.budget_percent {
        service.hedge.budget_percent = percent;
    }
    if let Some(canary) = args.canary {
        service.canary = canary;
    }
    if let Some(enough_percent) = args.enough_percent {
        service.aim = crate::declaration::Aim::Latency { enough_percent };
    }
    let mut plan = Plan::new(&declaration.to_yaml(), args.daemons);
    plan.seed = args.seed;
    plan.behaviour.work_us = args.work_us;
    plan.warm = args.fault != Fault::ColdFleet;
    plan.routing = match args.routing {
        RoutingArg::Owners => Routing::Owners,
        RoutingArg::Direct => Routing::Direct,
    };
    Ok(plan)
}

async fn inject_fault(args: &Args, deployment: &mut Deployment) -> Result<()> {
    let third = Duration::from_secs_f64(f64::from(args.count) / args.rate / 3.0);
    let targets: Vec<_> = deployment.fleet.of_service(&args.service).collect();
    match args.fault {
        Fault::None | Fault::ColdFleet => {}
        Fault::Stragglers => {
            for target in targets.iter().step_by(50) {
                target.change(|behaviour| behaviour.slow_factor = 10);
            }
        }
        Fault::Shed => {
            for target in targets.iter().step_by(10) {
                target.change(|behaviour| behaviour.sheds = true);
            }
        }
        Fault::HalfDomain => {
            let domain = targets[0].spec().domain.clone();
            for target in targets.iter().filter(|one| one.spec().domain == domain) {
                target.change(|behaviour| behaviour.slow_factor = 2);
            }
        }
        Fault::DomainOut => cycle_domain(deployment, third).await?,
        Fault::Death => {
            sleep(third).await;
            drop(deployment.daemons.remove(1));
        }
    }
    Ok(())
}

/// Takes the first domain out of service after `third` and puts it back, with its targets
/// restarted, after the same time again.
async fn cycle_domain(deployment: &Deployment, third: Duration) -> Result<()> {
    sleep(third).await;
    let original = deployment.fleet.document().to_owned();
    let mut declaration = Declaration::parse(&original).map_err(|problems| eyre!("{problems}"))?;
    let domain = declaration
        .domains
        .first_mut()
        .ok_or_eyre("no domain is declared")?;
    domain.state = DomainState::Out;
    let name = domain.name.clone();
    let revision = deployment.apply(1, declaration.to_yaml(), "out").await?;
    deployment.history.mark(format!("domain-out {name}"));
    sleep(third).await;
    for target in deployment.fleet.targets() {
        if *target.spec().domain == *name {
            target.crash();
        }
    }
    deployment.history.mark(format!("domain-back {name}"));
    deployment.apply(revision, original, "back").await?;
    Ok(())
}

fn print_report(
    args: &Args,
    deployment: &Deployment,
    got: &[CallerGot],
    before: usize,
) -> Result<Outcome> {
    let events = deployment.history.events();
    let report = Report::new(&args.service, got, &events[before..]);
    let broken = check::all(&events);
    let timeline = if args.timeline {
        Timeline::by_second(&events[before..])
    } else {
        Vec::new()
    };
    match args.output {
        Output::Json => print_json(&LoadOutput {
            seed: args.seed,
            report: &report,
            broken: &broken,
            timeline,
        })?,
        Output::Text => {
            println!("{}\n{}", Report::head(), report.row());
            for second in &timeline {
                println!("{}", second.row());
            }
            let mut kinds: Vec<&str> = broken.iter().map(|one| one.check).collect();
            kinds.sort_unstable();
            kinds.dedup();
            println!("checks: {} broken {kinds:?}", broken.len());
        }
    }
    Ok(if broken.is_empty() {
        Outcome::Done
    } else {
        Outcome::Failed
    })
}
