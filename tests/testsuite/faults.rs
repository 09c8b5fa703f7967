//! Tests of faults that need separate processes: kills, freezes and stop signals.

use {
    crate::{
        cluster::Cluster,
        support::{run_tool, status, wait_until},
    },
    standin::{
        Event, History, check,
        client::{Ask, Caller},
        history::{CallerGot, Timed},
    },
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
};

/// Timeout that callers set.
const DEADLINE: Duration = Duration::from_secs(2);

/// Longest time from the kill of a daemon to full coverage.
pub const RESTORED: Duration = Duration::from_secs(3);

/// Longest time from a stop signal to the exit of a daemon that hands over its leaves: half
/// of the longest time that a daemon which can't hand over waits.
const MAX_HANDOVER_TIME: Duration = Duration::from_millis(7_500);

/// Longer than a lease plus the time until an operator's change is in force.
pub const PAST_IN_FORCE: Duration = Duration::from_millis(6_500);

/// Sends queries to `entries` in turn, ten a second, for `length`.
pub fn spawn_queries(
    history: &History,
    entries: Vec<SocketAddr>,
    length: Duration,
) -> JoinHandle<Vec<(SocketAddr, Instant, CallerGot)>> {
    let history = history.clone();
    tokio::spawn(async move {
        let started = Instant::now();
        let mut asks = tokio::task::JoinSet::new();
        for (number, entry) in entries.into_iter().cycle().enumerate() {
            if started.elapsed() > length {
                break;
            }
            let caller = Caller::new(entry, history.clone());
            let ask = Ask::query("ventanilla", &format!("f-{number}"), DEADLINE);
            asks.spawn(async move {
                let sent = Instant::now();
                (entry, sent, caller.ask(&ask).await)
            });
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let mut got = asks.join_all().await;
        got.sort_by_key(|(_, sent, _)| *sent);
        got
    })
}

pub fn assert_kept(cluster: &Cluster, history: &History) -> Vec<Timed> {
    let events = cluster.events(history);
    let violations = check::all(&events);
    assert!(violations.is_empty(), "{violations:#?}");
    events
}

/// Asserts that all responses cover all shards, and prints those that do not.
pub fn assert_whole<'a>(sent: impl Iterator<Item = &'a (SocketAddr, Instant, CallerGot)>) {
    let partial: Vec<String> = sent
        .filter(|(_, _, got)| (got.answered, got.total) != (20, 20))
        .map(|(entry, _, got)| {
            let causes: BTreeSet<&str> = got.missing.iter().map(|(_, why)| &**why).collect();
            format!(
                "{} at {entry}: {} of {} in {} ms, {causes:?}",
                got.request,
                got.answered,
                got.total,
                got.took_us / 1_000
            )
        })
        .collect();
    assert!(partial.is_empty(), "{partial:#?}");
}

async fn assert_recovery_after_kill(store_is_down: bool) {
    // Arrange
    let mut cluster = Cluster::start(9).await;
    let history = History::new();
    let victim = cluster.daemons.remove(4);
    let queries = spawn_queries(&history, cluster.entries(), Duration::from_secs(6));
    tokio::time::sleep(Duration::from_secs(1)).await;
    if store_is_down {
        cluster.store_down(true).await;
    }

    // Act
    let killed_at = Instant::now();
    victim.1.signal("KILL");
    let got = queries.await.expect("the queries end");

    // Assert
    assert_whole(
        got.iter()
            .filter(|(_, sent, _)| *sent > killed_at + RESTORED),
    );
    assert_kept(&cluster, &history);
}

#[tokio::test(flavor = "multi_thread")]
async fn coverage_is_restored_within_three_seconds_of_a_kill() {
    assert_recovery_after_kill(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn coverage_is_restored_within_three_seconds_of_a_kill_with_the_store_down() {
    assert_recovery_after_kill(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_owner_sends_nothing_late_to_a_domain_taken_out_of_service() {
    // Arrange
    let cluster = Cluster::start(5).await;
    let history = History::new();
    let queries = spawn_queries(&history, cluster.entries(), Duration::from_secs(14));
    tokio::time::sleep(Duration::from_millis(700)).await;
    let frozen = &cluster.daemons[2];

    // Act: one owner is frozen while the domain is taken out of service, and the store goes
    // down right after the change was accepted. Then the owner resumes.
    frozen.1.signal("STOP");
    let operator = cluster.daemons[0].0.operator_address.to_string();
    let domain = "mazate-norte";
    let (code, text) = run_tool(&[
        "domain",
        "out",
        domain,
        "--reason",
        "power cut",
        "--daemon",
        &operator,
        "--wait",
        "0",
    ]);
    assert!(code == 0 || code == 5, "{text}");
    history.mark(format!("domain-out {domain}"));
    cluster.store_down(true).await;
    tokio::time::sleep(PAST_IN_FORCE).await;
    frozen.1.signal("CONT");
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.store_down(false).await;
    queries.await.expect("the queries end");

    // Assert
    let events = assert_kept(&cluster, &history);
    let is_work = |timed: &&Timed| matches!(timed.event, Event::Started(_));
    assert!(events.iter().filter(is_work).count() > 100);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_signal_loses_no_request() {
    // Arrange
    let mut cluster = Cluster::start(5).await;
    let history = History::new();
    let (settings, mut process) = cluster.daemons.remove(1);
    let queries = spawn_queries(&history, cluster.entries(), Duration::from_secs(4));
    tokio::time::sleep(Duration::from_secs(1)).await;

    // Act
    let signalled_at = Instant::now();
    process.signal("TERM");
    wait_until("the daemon exits", || {
        let ended = process.child.try_wait().expect("it is a child");
        async move { ended.is_some() }
    })
    .await;
    let took = signalled_at.elapsed();
    let got = queries.await.expect("the queries end");

    // Assert
    assert!(
        took < MAX_HANDOVER_TIME,
        "the handover of its leaves took {took:?}"
    );
    let exit = process.child.wait().expect("it is a child");
    assert!(exit.success(), "{exit:?}");
    assert!(status(settings.operator_address).await.is_none());
    let events = assert_kept(&cluster, &history);
    assert_eq!(check::nothing_lost(&events), []);
    assert!(got.len() > 30);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_kills_freezes_and_restarts_violate_no_check() {
    // Arrange
    let mut cluster = Cluster::start(6).await;
    let history = History::new();
    let queries = spawn_queries(&history, cluster.entries(), Duration::from_secs(12));

    // Act: kills, freezes past the lease, restarts on the same addresses.
    for round in 0..3 {
        let number = 1 + round;
        cluster.daemons[number].1.signal("KILL");
        cluster.daemons[number + 2].1.signal("STOP");
        tokio::time::sleep(Duration::from_millis(2_800)).await;
        cluster.daemons[number + 2].1.signal("CONT");
        cluster.restart(number);
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
    queries.await.expect("the queries end");
    cluster.settled().await;

    // Assert
    assert_kept(&cluster, &history);
}
