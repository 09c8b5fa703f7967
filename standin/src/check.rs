//! Checkers: each one reports the violations of one guarantee in an event history.

use {
    crate::history::{CallerGot, Event, RowSeen, Started, Timed},
    rustc_hash::{FxHashMap, FxHashSet},
    std::time::Duration,
};

/// A violated guarantee with its evidence.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Violation {
    /// Name of the checker that reports it.
    pub check: &'static str,
    /// Time of the evidence, microseconds since the Unix epoch.
    pub at_us: u64,
    /// Description of the events that violate the guarantee.
    pub seen: String,
}

/// Time within which an operator's change or a target's announcement must be in force
/// everywhere. Users are promised "a few seconds".
pub const IN_FORCE: Duration = Duration::from_secs(5);

/// Runs every checker whose guarantee applies to all runs.
#[must_use]
pub fn all(events: &[Timed]) -> Vec<Violation> {
    [
        one_snapshot(events),
        true_coverage(events),
        own_answer(events),
        slots(events),
        connections(events),
        cold_bound(events),
        domain_out(events),
        leaving(events),
        not_run(events),
        at_most_once(events),
        revisions(events),
    ]
    .concat()
}

fn responses(events: &[Timed]) -> impl Iterator<Item = (u64, &CallerGot)> {
    events.iter().filter_map(|timed| match &timed.event {
        Event::CallerGot(got) => Some((timed.at_us, got)),
        _ => None,
    })
}

fn work_starts(events: &[Timed]) -> impl Iterator<Item = (u64, &Started)> {
    events.iter().filter_map(|timed| match &timed.event {
        Event::Started(started) => Some((timed.at_us, started)),
        _ => None,
    })
}

/// Checks that every row of a response has the version that the response names.
#[must_use]
pub fn one_snapshot(events: &[Timed]) -> Vec<Violation> {
    responses(events)
        .filter_map(|(at_us, got)| {
            let row = got.rows.iter().find(|row| row.version != got.snapshot)?;
            Some(Violation {
                check: "one_snapshot",
                at_us,
                seen: format!(
                    "{}: response names snapshot {}, but has {row:?}",
                    got.request, got.snapshot
                ),
            })
        })
        .collect()
}

/// Checks that the coverage of a response is the number of distinct shards among its
/// rows, and that its missing shards are all the others.
#[must_use]
pub fn true_coverage(events: &[Timed]) -> Vec<Violation> {
    responses(events)
        .filter(|(_, got)| got.status == 200)
        .filter_map(|(at_us, got)| {
            let shards: FxHashSet<u32> = got.rows.iter().map(|row| row.shard).collect();
            let missing: FxHashSet<u32> = got.missing.iter().map(|(shard, _)| *shard).collect();
            let is_true = shards.len() == got.answered as usize
                && shards.is_disjoint(&missing)
                && shards.len() + missing.len() == got.total as usize
                && got.total > 0;
            (!is_true).then(|| Violation {
                check: "true_coverage",
                at_us,
                seen: format!(
                    "{}: response states {}/{} shards, has rows of {}, {} missing",
                    got.request,
                    got.answered,
                    got.total,
                    shards.len(),
                    missing.len()
                ),
            })
        })
        .collect()
}

/// Checks that every response has all rows of each shard that it counts, each row once,
/// and no row of another caller's request.
#[must_use]
pub fn own_answer(events: &[Timed]) -> Vec<Violation> {
    responses(events)
        .filter(|(_, got)| got.status == 200)
        .filter_map(|(at_us, got)| {
            foreign_or_partial_rows(got).map(|seen| Violation {
                check: "own_answer",
                at_us,
                seen,
            })
        })
        .collect()
}

fn foreign_or_partial_rows(got: &CallerGot) -> Option<String> {
    if got.echoed != got.request {
        return Some(format!(
            "{} got the response to {}",
            got.request, got.echoed
        ));
    }
    if let Some(row) = got.rows.iter().find(|row| row.echo != got.request) {
        return Some(format!("{} got a row of {}", got.request, row.echo));
    }
    let mut by_shard: FxHashMap<u32, Vec<&RowSeen>> = FxHashMap::default();
    for row in &got.rows {
        by_shard.entry(row.shard).or_default().push(row);
    }
    by_shard.into_iter().find_map(|(shard, rows)| {
        let positions: FxHashSet<u32> = rows.iter().map(|row| row.n).collect();
        let is_whole = rows.len() == rows[0].of as usize && positions.len() == rows.len();
        (!is_whole).then(|| format!("{}: shard {shard} has {} rows", got.request, rows.len()))
    })
}

/// Checks that no leaf has more requests in flight than it has slots.
#[must_use]
pub fn slots(events: &[Timed]) -> Vec<Violation> {
    violations_over_limit(events, "slots", |started| {
        (started.in_flight > started.slots).then_some((started.in_flight, started.slots))
    })
}

/// Checks that no leaf has more open connections than it allows.
#[must_use]
pub fn connections(events: &[Timed]) -> Vec<Violation> {
    violations_over_limit(events, "connections", |started| {
        (started.connections > started.connection_limit)
            .then_some((started.connections, started.connection_limit))
    })
}

fn violations_over_limit(
    events: &[Timed],
    check: &'static str,
    excess: impl Fn(&Started) -> Option<(u32, u32)>,
) -> Vec<Violation> {
    work_starts(events)
        .filter_map(|(at_us, started)| {
            let (seen, limit) = excess(started)?;
            Some(Violation {
                check,
                at_us,
                seen: format!(
                    "{}/{}: {seen} exceeds limit {limit} at {}",
                    started.target, started.shard, started.request
                ),
            })
        })
        .collect()
}

/// Checks that no cold leaf gets more concurrent requests than it can take.
///
/// When a target turns cold without a restart, entry hosts can detect it only by the
/// first reply to a request that the target started afterwards, or by how long a cancelled
/// request ran. Until then requests over the bound are no violation.
#[must_use]
pub fn cold_bound(events: &[Timed]) -> Vec<Violation> {
    let mut targets: FxHashMap<&str, ColdTarget> = FxHashMap::default();
    let mut found = Vec::new();
    for timed in events {
        match &timed.event {
            Event::Crashed { target, .. } => {
                targets.entry(target).or_default().crashed = true;
            }
            Event::Cold { target } => targets.entry(target).or_default().record_cold(),
            Event::Ended {
                target,
                shard,
                request,
                ..
            } => {
                let work = (*shard, request.as_str());
                targets.entry(target).or_default().record_end(work);
            }
            Event::Started(started) => {
                let target = targets.entry(&started.target).or_default();
                let is_over_bound =
                    started.cold_bears > 0 && started.in_flight > started.cold_bears;
                if is_over_bound && target.is_cold_detectable(started.shard) {
                    found.push(Violation {
                        check: "cold_bound",
                        at_us: timed.at_us,
                        seen: format!(
                            "{}/{}: {} concurrent requests, cold limit {}",
                            started.target, started.shard, started.in_flight, started.cold_bears
                        ),
                    });
                }
                target.in_flight.insert((started.shard, &started.request));
            }
            _ => {}
        }
    }
    found
}

/// What callers can have detected of one target by a point in the history.
#[derive(Default)]
struct ColdTarget<'a> {
    has_started: bool,
    crashed: bool,
    /// True when the target last turned cold without a restart.
    unannounced: bool,
    /// Shard and request id of the work started since the target last turned cold.
    in_flight: FxHashSet<(u32, &'a str)>,
    /// Shards with work that both started and ended since the target last turned cold.
    detectable: FxHashSet<u32>,
}

impl<'a> ColdTarget<'a> {
    fn record_cold(&mut self) {
        self.unannounced = self.has_started && !self.crashed;
        self.has_started = true;
        self.crashed = false;
        self.in_flight.clear();
        self.detectable.clear();
    }

    fn record_end(&mut self, work: (u32, &'a str)) {
        if self.in_flight.remove(&work) {
            self.detectable.insert(work.0);
        }
    }

    fn is_cold_detectable(&self, shard: u32) -> bool {
        !self.unannounced || self.detectable.contains(&shard)
    }
}

/// Checks that a domain that was taken out gets no new work after [`IN_FORCE`]. The time
/// counts from the mark `domain-out NAME`, recorded when the change is accepted, and ends
/// at the mark `domain-back NAME`.
#[must_use]
pub fn domain_out(events: &[Timed]) -> Vec<Violation> {
    let mut out: FxHashMap<&str, u64> = FxHashMap::default();
    let mut found = Vec::new();
    for timed in events {
        match &timed.event {
            Event::Mark { what } => {
                if let Some(domain) = what.strip_prefix("domain-out ") {
                    out.insert(domain, timed.at_us);
                } else if let Some(domain) = what.strip_prefix("domain-back ") {
                    out.remove(domain);
                }
            }
            Event::Started(started) => {
                let since = out.get(started.domain.as_str());
                if since.is_some_and(|since| timed.at_us > since + micros(IN_FORCE)) {
                    found.push(late_work_violation("domain_out", timed.at_us, started));
                }
            }
            _ => {}
        }
    }
    found
}

/// Checks that a leaving target gets no new work after [`IN_FORCE`].
#[must_use]
pub fn leaving(events: &[Timed]) -> Vec<Violation> {
    let mut since: FxHashMap<&str, u64> = FxHashMap::default();
    let mut found = Vec::new();
    for timed in events {
        match &timed.event {
            Event::Leaving { target } => {
                since.entry(target).or_insert(timed.at_us);
            }
            Event::Started(started) => {
                let leaving_at = since.get(started.target.as_str());
                let is_late = leaving_at.is_some_and(|at| timed.at_us > at + micros(IN_FORCE));
                if started.leaving && is_late {
                    found.push(late_work_violation("leaving", timed.at_us, started));
                }
            }
            _ => {}
        }
    }
    found
}

fn late_work_violation(check: &'static str, at_us: u64, started: &Started) -> Violation {
    Violation {
        check,
        at_us,
        seen: format!(
            "{} in domain {} started {}",
            started.target, started.domain, started.request
        ),
    }
}

/// Checks that no target started a request that was rejected with `not_run`.
#[must_use]
pub fn not_run(events: &[Timed]) -> Vec<Violation> {
    let started: FxHashSet<&str> = work_starts(events)
        .map(|(_, started)| started.request.as_str())
        .collect();
    responses(events)
        .filter(|(_, got)| got.run == "not_run" && started.contains(got.request.as_str()))
        .map(|(at_us, got)| Violation {
            check: "not_run",
            at_us,
            seen: format!("{}: rejected with not_run, but started", got.request),
        })
        .collect()
}

/// Checks that no two started requests have the same idempotency key.
#[must_use]
pub fn at_most_once(events: &[Timed]) -> Vec<Violation> {
    let mut seen: FxHashMap<&str, &Started> = FxHashMap::default();
    let mut found = Vec::new();
    for (at_us, started) in work_starts(events) {
        let Some(key) = started.key.as_deref() else {
            continue;
        };
        if let Some(first) = seen.insert(key, started) {
            found.push(Violation {
                check: "at_most_once",
                at_us,
                seen: format!(
                    "key {key} started at {} and {}",
                    first.target, started.target
                ),
            });
        }
    }
    found
}

/// Checks that no daemon returns to a lower revision within its term.
#[must_use]
pub fn revisions(events: &[Timed]) -> Vec<Violation> {
    let mut last: FxHashMap<(&str, u64), u64> = FxHashMap::default();
    let mut found = Vec::new();
    for timed in events {
        let Event::Applied {
            daemon,
            term,
            revision,
        } = &timed.event
        else {
            continue;
        };
        let before = last.insert((daemon, *term), *revision).unwrap_or(0);
        if before > *revision {
            found.push(Violation {
                check: "revisions",
                at_us: timed.at_us,
                seen: format!("{daemon} returned from revision {before} to {revision}"),
            });
        }
    }
    found
}

/// Checks that every request got a response with status 200 that covers all shards.
/// Applies only to runs whose only disturbances are planned stops.
#[must_use]
pub fn nothing_lost(events: &[Timed]) -> Vec<Violation> {
    responses(events)
        .filter(|(_, got)| got.status != 200 || got.answered < got.total)
        .map(|(at_us, got)| Violation {
            check: "nothing_lost",
            at_us,
            seen: format!(
                "{}: status {} after {} us, {}/{} {:?}",
                got.request, got.status, got.took_us, got.answered, got.total, got.missing
            ),
        })
        .collect()
}

/// Checks that at most `bound` targets crashed on the same query. Requests whose ids
/// have the same part before `#` count as one query.
#[must_use]
pub fn poison_bound(events: &[Timed], bound: usize) -> Vec<Violation> {
    let mut crashes: FxHashMap<&str, (usize, u64)> = FxHashMap::default();
    for timed in events {
        if let Event::Crashed { request, .. } = &timed.event
            && !request.is_empty()
        {
            let query = request.split('#').next().unwrap_or(request);
            let entry = crashes.entry(query).or_default();
            *entry = (entry.0 + 1, timed.at_us);
        }
    }
    crashes
        .into_iter()
        .filter(|(_, (count, _))| *count > bound)
        .map(|(query, (count, at_us))| Violation {
            check: "poison_bound",
            at_us,
            seen: format!("{query} crashed {count} targets, bound {bound}"),
        })
        .collect()
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
