//! `briarquay standin`: runs a stand-in for the platform or for the targets as a process.

use {
    super::Outcome,
    ::standin::{Fleet, History, StoreStandin, fleet::Addresses, target::Behaviour},
    eyre::{Result, WrapErr},
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
    },
    tokio::signal::ctrl_c,
};

/// Arguments of `standin`.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Debug, clap::Subcommand)]
enum Kind {
    /// The platform's key-value store and host list.
    Store(StoreArgs),
    /// The targets of a declaration, by default at the addresses in it.
    Fleet(FleetArgs),
}

#[derive(Debug, clap::Args)]
struct StoreArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:7300", value_name = "IP:PORT")]
    listen: SocketAddr,
    /// File for the event history.
    #[arg(long)]
    history: Option<PathBuf>,
}

#[derive(Debug, clap::Args)]
struct FleetArgs {
    /// Declaration (YAML).
    #[arg(long)]
    declaration: PathBuf,
    /// Seed of the work times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Start with warm targets.
    #[arg(long)]
    warm: bool,
    /// Let the kernel choose the ports, and write the declaration with these ports to this file.
    #[arg(long, value_name = "FILE")]
    readdress: Option<PathBuf>,
    /// File for the event history.
    #[arg(long)]
    history: Option<PathBuf>,
}

/// Runs the stand-in until it is interrupted. Prints `ready` with its address.
pub async fn execute(args: Args) -> Result<Outcome> {
    match args.kind {
        Kind::Store(args) => {
            let history = open_history(args.history.as_deref())?;
            let store = StoreStandin::start(args.listen, history)
                .await
                .wrap_err_with(|| format!("bind {}", args.listen))?;
            println!("ready {}", store.address);
            ctrl_c().await?;
        }
        Kind::Fleet(args) => {
            let fleet = start_fleet(&args).await?;
            println!("ready {}", fleet.targets().len());
            ctrl_c().await?;
        }
    }
    Ok(Outcome::Done)
}

fn open_history(path: Option<&Path>) -> Result<History> {
    match path {
        Some(path) => History::to_file(path).wrap_err_with(|| format!("create {}", path.display())),
        None => Ok(History::new()),
    }
}

async fn start_fleet(args: &FleetArgs) -> Result<Fleet> {
    let document = std::fs::read_to_string(&args.declaration)
        .wrap_err_with(|| format!("read {}", args.declaration.display()))?;
    let addresses = if args.readdress.is_some() {
        Addresses::Loopback
    } else {
        Addresses::Declared
    };
    let history = open_history(args.history.as_deref())?;
    let behaviour = Behaviour::default();
    let fleet = Fleet::start(&document, addresses, &behaviour, args.seed, &history).await?;
    if args.warm {
        fleet.warm_up();
    }
    if let Some(path) = &args.readdress {
        std::fs::write(path, fleet.document())
            .wrap_err_with(|| format!("write {}", path.display()))?;
    }
    Ok(fleet)
}
