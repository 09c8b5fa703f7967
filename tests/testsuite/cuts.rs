//! Cuts of the network between processes.

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

/// Takes a domain out by way of daemon `number`; the exit code tells whether it was
/// in force everywhere within `wait` seconds.
fn take_out(cluster: &Cluster, history: &History, number: usize, wait: &str) -> (i32, String) {
    let operator = cluster.daemons[number].0.operator_address.to_string();
    let arguments = [
        "domain", "out", DOMAIN, "--reason", "flood", "--daemon", &operator, "--wait", wait,
    ];
    let result = run_tool(&arguments);
    history.mark(format!("domain-out {DOMAIN}"));
    result
}

fn work_after(events: &[Timed], from_us: u64) -> usize {
    let is_work =
        |timed: &&Timed| timed.at_us > from_us && matches!(timed.event, Event::Started(_));
    events.iter().filter(is_work).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_cut_off_from_everybody_stops_before_others_take_over() {
    // Arrange
    let cluster = Cluster::start_with_relays(5).await;
    let history = History::new();
    let length = Duration::from_secs(12);
    let queries = spawn_queries(&history, cluster.entries(), length);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let alone = cluster.daemons[2].0.caller_address;

    // Act: it hears of nothing, still has callers, and could reach every target.
    let cut = Instant::now();
    cluster.isolate_daemons(&[2], true);
    let (code, text) = take_out(&cluster, &history, 0, "0");
    assert!(code == 0 || code == 5, "{text}");
    tokio::time::sleep(PAST_IN_FORCE).await;
    let healed = Instant::now();
    cluster.end_partitions();
    let got = queries.await.expect("the queries end");
    cluster.settled().await;

    // Assert
    assert_whole(got.iter().filter(|(entry, sent, _)| {
        let by_others = *entry != alone && *sent > cut + RESTORED;
        by_others || *sent > healed + RESTORED
    }));
    let events = assert_kept(&cluster, &history);
    assert!(work_after(&events, 0) > 100);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_domain_cut_off_leaves_the_rest_whole() {
    // Arrange
    let cluster = Cluster::start_with_relays(6).await;
    let history = History::new();
    // Two of six daemons are in one domain.
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
    let cut = Instant::now();
    cluster.isolate_daemons(&inside, true);
    let got = queries.await.expect("the queries end");

    // Assert
    assert_eq!(inside.len(), 2);
    assert_whole(got.iter().filter(|(_, sent, _)| *sent > cut + RESTORED));
    cluster.end_partitions();
    cluster.settled().await;
    assert_kept(&cluster, &history);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_daemons_that_cannot_hear_each_other_still_act_on_a_change() {
    // Arrange
    let cluster = Cluster::start_with_relays(5).await;
    let history = History::new();
    let queries = spawn_queries(&history, cluster.entries(), Duration::from_secs(12));
    tokio::time::sleep(Duration::from_secs(1)).await;

    // Act
    cluster.partition_pair(1, 3);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (code, text) = take_out(&cluster, &history, 1, "5");
    tokio::time::sleep(PAST_IN_FORCE).await;
    cluster.end_partitions();
    let got = queries.await.expect("the queries end");
    cluster.settled().await;

    // Assert
    assert_eq!(code, 0, "in force everywhere in time: {text}");
    let poor = got.iter().filter(|(_, _, got)| got.answered < 10);
    let poor: Vec<_> = poor
        .map(|(_, _, got)| (&got.request, got.answered))
        .collect();
    assert!(poor.is_empty(), "what others own is answered: {poor:?}");
    assert_kept(&cluster, &history);
}
