//! `briarquay apply`: submits a declaration and waits until it is in force on all daemons.

use {
    super::{
        Outcome,
        client::{Operator, Output, Submitted, print_json},
    },
    crate::{coordination::rollout::Submission, coordinator::status::MemberStatus},
    eyre::{Result, WrapErr},
    serde::Serialize,
    std::{path::PathBuf, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Interval of polling the status, and delay before a submission is sent again.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of times that a submission with an unknown outcome is sent again.
const MAX_RETRIES: u32 = 5;

/// Arguments of every command that submits a change.
#[derive(Clone, Debug, clap::Args)]
pub struct ChangeArgs {
    /// Reason for the change; recorded in the audit trail.
    #[arg(long)]
    pub reason: String,
    /// Author of the change; recorded in the audit trail.
    #[arg(long, env = "USER", default_value = "operator")]
    pub who: String,
    /// Longest time to wait until the change is in force on all daemons, seconds.
    #[arg(long, default_value_t = 10)]
    pub wait: u64,
}

/// Arguments of `apply`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Declaration (YAML).
    file: PathBuf,
    /// Revision that the file is based on; by default the one in force.
    #[arg(long)]
    base: Option<u64>,
    #[command(flatten)]
    change: ChangeArgs,
    #[command(flatten)]
    operator: Operator,
}

#[derive(Serialize)]
struct Report {
    revision: u64,
    in_force_everywhere: bool,
    seconds: f64,
    lagging: Vec<MemberStatus>,
}

/// Submits the file and waits until it is in force.
pub async fn execute(args: Args) -> Result<Outcome> {
    let document = std::fs::read_to_string(&args.file)
        .wrap_err_with(|| format!("read {}", args.file.display()))?;
    let base = match args.base {
        Some(base) => base,
        None => args.operator.in_force().await?.revision,
    };
    submit(&args.operator, &args.change, base, document).await
}

/// Submits a document and waits until it is in force on all daemons, or `change.wait` seconds
/// have passed.
pub async fn submit(
    operator: &Operator,
    change: &ChangeArgs,
    base: u64,
    document: String,
) -> Result<Outcome> {
    let submission = Submission {
        id: format!("{:016x}", rand::random::<u64>()).into(),
        base,
        who: change.who.clone(),
        why: change.reason.clone(),
        document,
    };
    let started = Instant::now();
    match submit_until_known(operator, &submission).await? {
        Submitted::Accepted(revision) => {
            wait_until_in_force(operator, revision, change.wait, started).await
        }
        Submitted::Conflict(error) => Ok(report_failure(Outcome::Conflict, "conflict", &error)),
        Submitted::Invalid(error) => Ok(report_failure(Outcome::Invalid, "invalid", &error)),
        Submitted::NotRun(error) => Ok(report_failure(Outcome::Failed, "not applied", &error)),
        Submitted::Unknown(error) => Ok(report_failure(Outcome::Unknown, "unknown", &error)),
    }
}

fn report_failure(outcome: Outcome, kind: &str, error: &str) -> Outcome {
    eprintln!("briarquay: {kind}: {error}");
    outcome
}

/// Submits, and submits again under the same id while the outcome is unknown. The id lets the
/// daemon recognise a change that it has already accepted.
async fn submit_until_known(operator: &Operator, submission: &Submission) -> Result<Submitted> {
    let mut submitted = operator.submit(submission).await?;
    for _ in 0..MAX_RETRIES {
        if !matches!(submitted, Submitted::Unknown(_)) {
            break;
        }
        sleep(POLL_INTERVAL).await;
        submitted = operator.submit(submission).await?;
    }
    Ok(submitted)
}

async fn wait_until_in_force(
    operator: &Operator,
    revision: u64,
    seconds: u64,
    started: Instant,
) -> Result<Outcome> {
    let deadline = started + Duration::from_secs(seconds);
    let mut lagging: Vec<MemberStatus>;
    loop {
        let status = operator.status().await?;
        lagging = status.lagging(revision).into_iter().cloned().collect();
        if lagging.is_empty() || Instant::now() >= deadline {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    let in_force_everywhere = lagging.is_empty();
    let report = Report {
        revision,
        in_force_everywhere,
        seconds: started.elapsed().as_secs_f64(),
        lagging,
    };
    match operator.output {
        Output::Json => print_json(&report)?,
        Output::Text => print(&report),
    }
    Ok(if in_force_everywhere {
        Outcome::Done
    } else {
        Outcome::Lagging
    })
}

fn print(report: &Report) {
    if report.in_force_everywhere {
        println!(
            "revision {} in force everywhere after {:.2} s",
            report.revision, report.seconds
        );
        return;
    }
    println!(
        "revision {} accepted; it is not in force at:",
        report.revision
    );
    for member in &report.lagging {
        println!(
            "- {} in {}: revision {}, last heard {} ms ago; it may act until its lease ends",
            member.id, member.domain, member.revision, member.silent_ms
        );
    }
}
