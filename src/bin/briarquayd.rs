//! The briarquay daemon.

use {
    briarquay::{Daemon, Settings},
    clap::Parser,
    eyre::{Result, WrapErr},
    std::path::PathBuf,
    tokio::signal::unix::{SignalKind, signal},
};

/// Runs a briarquay daemon, which serves callers, owns leaves and coordinates with the other
/// daemons.
///
/// SIGTERM and SIGINT shut it down without interrupting a request. SIGHUP changes nothing: the
/// settings are read at the start.
#[derive(Debug, Parser)]
#[command(name = "briarquayd", version)]
struct Args {
    /// Settings file (YAML); settings that it omits have their default values.
    #[arg(short, long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Print the settings, including defaults, and exit.
    #[arg(long)]
    print_settings: bool,
}

fn main() -> Result<()> {
    let args = Args::parse();
    let settings = match &args.settings {
        Some(path) => Settings::read(path)?,
        None => Settings::default(),
    };
    if args.print_settings {
        print!("{}", serde_yaml_ng::to_string(&settings)?);
        return Ok(());
    }
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .wrap_err("start the Tokio runtime")?
        .block_on(run(settings))
}

async fn run(settings: Settings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // A signal without a handler would end the process with its requests in flight.
    let _hangup = signal(SignalKind::hangup())?;
    let daemon = Daemon::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}
