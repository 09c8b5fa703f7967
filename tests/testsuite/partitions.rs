//! Network partitions between daemon processes.

use {
    crate::{
        cluster::Cluster,
        faults::{PAST_IN_FORCE, RESTORED, assert_kept, assert_whole, spawn_queries},
        support::run_tool,
    },
    standin::{Event, History, history::Timed},
    std::time::{Duration, Instant},
};

const DOMAIN: &str = "mazate-norte";

/// Takes [`DOMAIN`] out through daemon `number` and returns the exit code and output of
/// `briarquay`; code 0 means that the change was in force everywhere within `wait` seconds.
fn take_domain_out(
    cluster: &Cluster,
    history: &History,
    number: usize,
    wait: &str,
) -> (i32, String) {
    let operator = cluster.daemons[number].0.operator_address.to_string();
    let arguments = [
        "domain", "out", DOMAIN, "--reason", "flood", "--daemon", &operator, "--wait", wait,
    ];
    let result = run_tool(&arguments);
    history.mark(format!("domain-out {DOMAIN}"));
    result
}

fn count_started_after(events: &[Timed], from_us: u64) -> usize {
    let is_started =
        |timed: &&Timed| timed.at_us > from_us && matches!(timed.event, Event::Started(_));
    events.iter().filter(is_started).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_daemon_stops_before_others_take_its_leaves_over() {
    // Arrange
    let cluster = Cluster::start_with_relays(5).await;
    let history = History::new();
    let load_time = Duration::from_secs(12);
    let queries = spawn_queries(&history, cluster.entries(), load_time);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let isolated = cluster.daemons[2].0.caller_address;

    // Act: the isolated daemon receives no change, but it still has callers and can reach
    // every target.
    let isolated_at = Instant::now();
    cluster.isolate_daemons(&[2], true);
    let (code, text) = take_domain_out(&cluster, &history, 0, "0");
    assert!(code == 0 || code == 5, "{text}");
    tokio::time::sleep(PAST_IN_FORCE).await;
    let reconnected_at = Instant::now();
    cluster.end_partitions();
    let got = queries.await.expect("the queries end");
    cluster.settled().await;

    // Assert
    assert_whole(got.iter().filter(|(entry, sent, _)| {
        let by_others = *entry != isolated && *sent > isolated_at + RESTORED;
        by_others || *sent > reconnected_at + RESTORED
    }));
    let events = assert_kept(&cluster, &history);
    assert!(count_started_after(&events, 0) > 100);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_failure_domain_leaves_the_other_daemons_with_full_coverage() {
    // Arrange
    let cluster = Cluster::start_with_relays(6).await;
    let history = History::new();
    // Two of the six daemons are in this domain.
    let domain = &cluster.daemons[1].0.domain;
    let inside: Vec<usize> = (0..6)
        .filter(|number| cluster.daemons[*number].0.domain == *domain)
        .collect();
    let outside = (0..6).filter(|number| !inside.contains(number));
    let entries = outside
        .map(|number| cluster.daemons[number].0.caller_address)
        .collect();
    let queries = spawn_queries(&history, entries, Duration::from_secs(8));
    tokio::time::sleep(Duration::from_secs(1)).await;

    // Act
    let isolated_at = Instant::now();
    cluster.isolate_daemons(&inside, true);
    let got = queries.await.expect("the queries end");

    // Assert
    assert_eq!(inside.len(), 2);
    assert_whole(
        got.iter()
            .filter(|(_, sent, _)| *sent > isolated_at + RESTORED),
    );
    cluster.end_partitions();
    cluster.settled().await;
    assert_kept(&cluster, &history);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_daemons_partitioned_from_each_other_still_apply_a_change() {
    // Arrange
    let cluster = Cluster::start_with_relays(5).await;
    let history = History::new();
    let queries = spawn_queries(&history, cluster.entries(), Duration::from_secs(12));
    tokio::time::sleep(Duration::from_secs(1)).await;

    // Act
    cluster.partition_pair(1, 3);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (code, text) = take_domain_out(&cluster, &history, 1, "5");
    tokio::time::sleep(PAST_IN_FORCE).await;
    cluster.end_partitions();
    let got = queries.await.expect("the queries end");
    cluster.settled().await;

    // Assert
    assert_eq!(code, 0, "in force everywhere in time: {text}");
    let incomplete = got.iter().filter(|(_, _, got)| got.answered < 10);
    let incomplete: Vec<_> = incomplete
        .map(|(_, _, got)| (&got.request, got.answered))
        .collect();
    assert!(
        incomplete.is_empty(),
        "shards that other daemons own are missing: {incomplete:?}"
    );
    assert_kept(&cluster, &history);
}
