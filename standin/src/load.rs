//! An open-loop load generator: a late response does not delay the next request.

use {
    crate::{
        client::{Ask, Caller},
        history::{CallerGot, History},
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::Instant},
};

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Service that the requests go to.
    pub service: String,
    /// Total number of requests.
    pub count: u32,
    /// Mean requests per second; arrivals are a Poisson process.
    pub rate: f64,
    /// Deadline of each request, from its sending.
    pub deadline: Duration,
    /// Rows that each shard returns.
    pub rows: u32,
    /// Seed of the arrival times and of the choice of entry host.
    pub seed: u64,
}

/// Sends the load to `entries` and returns the responses in the order of sending.
pub async fn run(load: &Load, entries: &[SocketAddr], history: &History) -> Vec<CallerGot> {
    let callers: Vec<Arc<Caller>> = entries
        .iter()
        .map(|entry| Arc::new(Caller::new(*entry, history.clone())))
        .collect();
    let mut random = Pcg64Mcg::seed_from_u64(load.seed);
    let mut tasks = JoinSet::new();
    let mut send_at = Instant::now();
    for number in 0..load.count {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        send_at += Duration::from_secs_f64(-uniform.ln() / load.rate);
        tokio::time::sleep_until(send_at).await;
        let caller = Arc::clone(&callers[random.random_range(0..callers.len())]);
        let request = format!("{}-{}-{number}", load.service, load.seed);
        let mut ask = Ask::query(&load.service, &request, load.deadline);
        ask.work.rows = load.rows;
        tasks.spawn(async move { (number, caller.ask(&ask).await) });
    }
    let mut got = tasks.join_all().await;
    got.sort_by_key(|(number, _)| *number);
    got.into_iter().map(|(_, got)| got).collect()
}
