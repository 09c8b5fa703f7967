//! Latency, coverage and load of one run.

use {
    crate::history::{CallerGot, Event, Timed},
    hdrhistogram::Histogram,
    serde::Serialize,
};

/// Upper bound of the recorded latencies; longer ones count as this one.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Results of the callers of one service, and the load that they put on the targets.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Service name.
    pub service: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with status 200.
    pub answered: u64,
    /// Requests rejected with `not_run`.
    pub not_run: u64,
    /// Requests that failed or may have run.
    pub uncertain: u64,
    /// Median latency of responses with status 200, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that latency, milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of that latency, milliseconds.
    pub p999_ms: f64,
    /// Mean share of the shards that a response covers.
    pub coverage_mean: f64,
    /// Smallest share of the shards that a response covers.
    pub coverage_worst: f64,
    /// Ratio of requests that targets started to the shards of all answered queries.
    pub load_ratio: f64,
}

impl Report {
    /// Returns the report on `service` from its responses `got` and the complete history.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are constant and in order.
    #[must_use]
    pub fn new(service: &str, got: &[CallerGot], events: &[Timed]) -> Self {
        let mut latency = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3)
            .expect("the bounds are in the right order");
        let responses: Vec<&CallerGot> = got.iter().filter(|got| got.status == 200).collect();
        for response in &responses {
            latency.saturating_record(response.took_us);
        }
        let shares: Vec<f64> = responses
            .iter()
            .map(|got| f64::from(got.answered) / f64::from(got.total.max(1)))
            .collect();
        let needed: u64 = responses.iter().map(|got| u64::from(got.total)).sum();
        let started = events
            .iter()
            .filter(|timed| matches!(&timed.event, Event::Started(one) if one.service == service))
            .count() as u64;
        let not_run = got.iter().filter(|got| got.run == "not_run").count() as u64;
        let answered = responses.len() as u64;
        Self {
            service: service.to_owned(),
            sent: got.len() as u64,
            answered,
            not_run,
            uncertain: got.len() as u64 - answered - not_run,
            p50_ms: millis(latency.value_at_quantile(0.5)),
            p99_ms: millis(latency.value_at_quantile(0.99)),
            p999_ms: millis(latency.value_at_quantile(0.999)),
            coverage_mean: shares.iter().sum::<f64>() / float(shares.len().max(1) as u64),
            coverage_worst: shares.iter().copied().fold(1.0, f64::min),
            load_ratio: float(started) / float(needed.max(1)),
        }
    }

    /// Returns the header line of a table with the columns of [`Report::row`].
    #[must_use]
    pub fn head() -> String {
        format!(
            "{:<14} {:>6} {:>8} {:>7} {:>9} {:>8} {:>8} {:>8} {:>9} {:>9} {:>6}",
            "service",
            "sent",
            "answered",
            "not run",
            "uncertain",
            "p50 ms",
            "p99 ms",
            "p99.9",
            "cov mean",
            "cov worst",
            "load"
        )
    }

    /// Returns the report as one row of a table.
    #[must_use]
    pub fn row(&self) -> String {
        format!(
            "{:<14} {:>6} {:>8} {:>7} {:>9} {:>8.2} {:>8.2} {:>8.2} {:>9.4} {:>9.4} {:>6.3}",
            self.service,
            self.sent,
            self.answered,
            self.not_run,
            self.uncertain,
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            self.coverage_mean,
            self.coverage_worst,
            self.load_ratio
        )
    }
}

fn millis(micros: u64) -> f64 {
    float(micros) / 1_000.0
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of one run stay far below 2^52"
)]
fn float(count: u64) -> f64 {
    count as f64
}

/// Results of callers in one second of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Timeline {
    /// Second of the run, from 0.
    pub second: u64,
    /// Requests that ended.
    pub ended: u64,
    /// Requests answered with status 200.
    pub answered: u64,
    /// Mean share of the shards that a response covers.
    pub coverage_mean: f64,
    /// 99th percentile of the latency of responses with status 200, milliseconds.
    pub p99_ms: f64,
}

impl Timeline {
    /// Returns one entry per second of a run, with the requests that ended in it.
    #[must_use]
    pub fn by_second(events: &[Timed]) -> Vec<Self> {
        let started = events.first().map_or(0, |timed| timed.at_us);
        let mut seconds: Vec<Vec<&CallerGot>> = Vec::new();
        for timed in events {
            let Event::CallerGot(got) = &timed.event else {
                continue;
            };
            let second = usize::try_from((timed.at_us - started) / 1_000_000).unwrap_or(0);
            seconds.resize(seconds.len().max(second + 1), Vec::new());
            seconds[second].push(got);
        }
        (0..)
            .zip(&seconds)
            .map(|(second, got)| Self::from_responses(second, got))
            .collect()
    }

    fn from_responses(second: u64, got: &[&CallerGot]) -> Self {
        let responses: Vec<_> = got.iter().filter(|got| got.status == 200).collect();
        let mut latencies_us: Vec<u64> = responses.iter().map(|got| got.took_us).collect();
        latencies_us.sort_unstable();
        let last = latencies_us.len().saturating_sub(1);
        let shares = responses
            .iter()
            .map(|got| f64::from(got.answered) / f64::from(got.total.max(1)));
        Self {
            second,
            ended: got.len() as u64,
            answered: responses.len() as u64,
            coverage_mean: shares.sum::<f64>() / float(responses.len().max(1) as u64),
            p99_ms: latencies_us
                .get(last * 99 / 100)
                .map_or(0.0, |latency_us| millis(*latency_us)),
        }
    }

    /// Returns the second as one line.
    #[must_use]
    pub fn row(&self) -> String {
        format!(
            "second {:>3}: {:>5} ended {:>5} answered, coverage {:.4}, p99 {:.2} ms",
            self.second, self.ended, self.answered, self.coverage_mean, self.p99_ms
        )
    }
}
