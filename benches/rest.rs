//! Measures the resource usage of daemons, idle and under load, and the time until a change
//! is in force everywhere.
//!
//! `cargo bench --bench rest -- 3 9 30` measures clusters of these sizes, each as separate
//! processes on loopback, for about 25 s. `cargo bench --bench rest -- load` measures the
//! processor time of nine daemons at several query rates.

use {
    briarquay::Settings,
    bytes::Bytes,
    hyper::Method,
    standin::{
        History,
        http::once,
        load::{self, Load},
        report::Report,
        store::CallCount,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

#[path = "../tests/testsuite/cluster.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod cluster;
#[path = "../tests/testsuite/support.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod support;

use crate::{cluster::Cluster, support::run_tool};

/// Time over which the usage of an idle cluster is measured.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Number of changes whose propagation time is measured.
const CHANGE_COUNT: usize = 5;

/// Number of daemons under load.
const LOADED_DAEMONS: usize = 9;

/// Duration of each load, seconds.
const LOAD_SECONDS: u32 = 8;

/// Number of shards that a query goes to.
const SHARDS_PER_QUERY: f64 = 20.0;

/// Clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Resource usage since the start: processor seconds, bytes of control messages, and
/// resident memory in MB.
#[derive(Clone, Copy, Default)]
struct Usage {
    cpu_s: f64,
    control_bytes: f64,
    rss_mb: f64,
}

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    if std::env::args().any(|arg| arg == "load") {
        runtime.block_on(measure_load());
    }
    if sizes.is_empty() {
        return;
    }
    println!(
        "{:>7} {:>8} {:>8} {:>12} {:>10} {:>10} {:>10} {:>12} {:>12}",
        "daemons",
        "cpu %",
        "rss MB",
        "control B/s",
        "reads/s",
        "writes/s",
        "watches/s",
        "in force s",
        "worst s"
    );
    for size in sizes {
        runtime.block_on(measure_idle(size));
    }
}

/// Measures the processor time per query, summed over all daemons.
async fn measure_load() {
    let cluster = Cluster::start(LOADED_DAEMONS).await;
    let entries = cluster.entries();
    println!(
        "{:>9} {:>10} {:>12} {:>14} {:>10}",
        "queries/s", "answered", "cpu us/query", "cpu us/leaf", "p99 ms"
    );
    for rate in [50_u32, 100, 200, 400] {
        let load = Load {
            service: "ventanilla".to_owned(),
            count: rate * LOAD_SECONDS,
            rate: f64::from(rate),
            deadline: Duration::from_secs(1),
            rows: 1,
            seed: u64::from(rate),
        };
        let before = total_usage(&cluster).await;
        let history = History::new();
        let got = load::run(&load, &entries, &history).await;
        let after = total_usage(&cluster).await;
        let report = Report::new(&load.service, &got, &history.events());
        let cpu_us = (after.cpu_s - before.cpu_s) * 1e6 / f64::from(load.count);
        println!(
            "{rate:>9} {:>10} {cpu_us:>12.0} {:>14.1} {:>10.2}",
            report.answered,
            cpu_us / SHARDS_PER_QUERY,
            report.p99_ms
        );
    }
}

/// Measures the usage of an idle cluster of `size` daemons and the propagation of changes.
async fn measure_idle(size: usize) {
    let cluster = Cluster::start(size).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let (before, calls_before) = (total_usage(&cluster).await, store_calls(&cluster).await);
    let started = Instant::now();
    tokio::time::sleep(IDLE_TIME).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let (after, calls_after) = (total_usage(&cluster).await, store_calls(&cluster).await);
    let daemons = f64::from(u32::try_from(size).expect("few daemons"));
    let rate = |before: u64, after: u64| {
        f64::from(u32::try_from(after - before).expect("few calls")) / elapsed_s
    };
    let propagation_s: Vec<f64> = (0..CHANGE_COUNT)
        .map(|round| propagation_seconds(&cluster, round))
        .collect();
    let worst = propagation_s.iter().copied().fold(0.0, f64::max);
    println!(
        "{size:>7} {:>8.2} {:>8.1} {:>12.0} {:>10.2} {:>10.2} {:>10.2} {:>12.3} {worst:>12.3}",
        100.0 * (after.cpu_s - before.cpu_s) / elapsed_s / daemons,
        after.rss_mb / daemons,
        (after.control_bytes - before.control_bytes) / elapsed_s / daemons,
        rate(calls_before.reads, calls_after.reads),
        rate(calls_before.writes, calls_after.writes),
        rate(calls_before.watches, calls_after.watches),
        propagation_s.iter().sum::<f64>() / 5.0,
    );
}

/// Returns the number of calls to the store.
async fn store_calls(cluster: &Cluster) -> CallCount {
    let reply = once(
        cluster.store_address,
        Method::GET,
        "/v1/calls",
        Bytes::new(),
    )
    .await;
    serde_json::from_slice(&reply.expect("the store answers").1).expect("counts")
}

/// Returns the usage summed over all daemons.
async fn total_usage(cluster: &Cluster) -> Usage {
    let mut sum = Usage::default();
    for (settings, process) in &cluster.daemons {
        let id = process.child.id();
        sum.cpu_s += cpu_seconds(id);
        sum.rss_mb += rss_mb(id);
        sum.control_bytes += control_bytes(settings).await;
    }
    sum
}

fn cpu_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("it runs");
    let after_name = stat.rsplit(')').next().expect("a name in brackets");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<f64>().expect("a number");
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

fn rss_mb(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    kilobytes
        .expect("it has memory")
        .parse::<f64>()
        .expect("a number")
        / 1_000.0
}

async fn control_bytes(settings: &Settings) -> f64 {
    let address: SocketAddr = settings.operator_address;
    let reply = once(address, Method::GET, "/metrics", Bytes::new()).await;
    let text = String::from_utf8_lossy(&reply.expect("it answers").1).into_owned();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("briarquay_control_bytes_total "));
    line.expect("the metric").parse().expect("a number")
}

/// Takes a domain out or brings it back and returns the seconds until the change is in
/// force everywhere, as `briarquay` reports them.
fn propagation_seconds(cluster: &Cluster, round: usize) -> f64 {
    let direction = if round.is_multiple_of(2) {
        "out"
    } else {
        "back"
    };
    let daemon = cluster.daemons[0].0.operator_address.to_string();
    let (code, text) = run_tool(&[
        "domain",
        direction,
        "zacapa-uno",
        "--reason",
        "measure",
        "--daemon",
        &daemon,
        "--output",
        "json",
    ]);
    assert_eq!(code, 0, "{text}");
    let report: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    report["seconds"].as_f64().expect("seconds")
}
