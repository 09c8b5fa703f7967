//! What the driver of a rollout knows from the reports of all hosts.

use {
    super::rollouts::{Phase, RouteCounts, RouteReplies, ServiceReport},
    crate::{
        clock::Millis,
        collections::{Map, Name},
    },
    std::{collections::VecDeque, time::Duration},
};

/// Span of the replies that count as recent, and of the present rate.
const RECENT_TIME: Duration = Duration::from_secs(4);

/// Time between two snapshots of the counts.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a report after which a host counts as out of touch.
const SILENCE_TIME: Duration = Duration::from_secs(2);

/// Reports without a request at the former version after which a host has left it: one that
/// chose its leaf before may have been sent since the first.
const IDLE_REPORTS: u32 = 2;

#[derive(Debug)]
struct HostReports {
    /// Number of the host's process.
    process: u64,
    routes: Map<Name, RouteCounts>,
    phase: Option<Phase>,
    /// Reports in a row without a request at the former version.
    idle_reports: u32,
    at: Millis,
}

#[derive(Debug)]
struct Snapshot {
    at: Millis,
    all: u64,
    routes: Map<Name, RouteCounts>,
}

/// Reports about one order.
#[derive(Debug, Default)]
pub struct RolloutReports {
    hosts: Map<Name, HostReports>,
    /// Counts of processes that have ended.
    ended: Map<Name, RouteCounts>,
    snapshots: VecDeque<Snapshot>,
}

fn add_routes(sum: &mut Map<Name, RouteCounts>, routes: &Map<Name, RouteCounts>) {
    for (route, counts) in routes {
        let total = sum.entry(route.clone()).or_default();
        total.target.add(counts.target);
        total.former.add(counts.former);
    }
}

impl RolloutReports {
    /// Records the report of a host's `process`, which holds all its counts.
    pub fn record(&mut self, host: &Name, process: u64, report: ServiceReport, now: Millis) {
        let routes: Map<Name, RouteCounts> = report.routes.into_iter().collect();
        let before = self.hosts.remove(host);
        let mut idle_reports = 0;
        if let Some(before) = before {
            if before.process == process {
                idle_reports = before.idle_reports;
            } else {
                add_routes(&mut self.ended, &before.routes);
            }
        }
        let is_idle = report.phase >= Some(Phase::Full) && report.former_in_flight == 0;
        let reports = HostReports {
            process,
            routes,
            phase: report.phase,
            idle_reports: if is_idle { idle_reports + 1 } else { 0 },
            at: now,
        };
        self.hosts.insert(host.clone(), reports);
        self.take_snapshot(now);
    }

    /// Returns the counts of all hosts by route.
    #[must_use]
    pub fn totals(&self) -> Map<Name, RouteCounts> {
        let mut sum = self.ended.clone();
        for host in self.hosts.values() {
            add_routes(&mut sum, &host.routes);
        }
        sum
    }

    /// Returns the requests to the service, and those of them to the new version.
    #[must_use]
    pub fn sent(&self) -> (u64, u64) {
        let totals = self.totals();
        let target: u64 = totals.values().map(|counts| counts.target.sent).sum();
        let former: u64 = totals.values().map(|counts| counts.former.sent).sum();
        (target + former, target)
    }

    /// Returns the replies by route.
    #[must_use]
    pub fn replies(&self) -> Vec<RouteReplies> {
        let nothing = Map::default();
        let before = self.snapshots.front();
        let before = before.map_or(&nothing, |snapshot| &snapshot.routes);
        let totals = self.totals().into_iter();
        let replies = totals.map(|(route, counts)| {
            let earlier = before.get(&route).copied().unwrap_or_default();
            RouteReplies {
                target: counts.target,
                former: counts.former,
                recent_target: counts.target.since(&earlier.target),
                recent_former: counts.former.since(&earlier.former),
            }
        });
        replies.collect()
    }

    /// Returns the requests per second to the service.
    #[must_use]
    pub fn rate(&self, now: Millis) -> f64 {
        let Some(first) = self.snapshots.front() else {
            return 0.0;
        };
        let span = now.since(first.at).max(SNAPSHOT_INTERVAL);
        let count = u32::try_from(self.sent().0.saturating_sub(first.all)).unwrap_or(u32::MAX);
        f64::from(count) / span.as_secs_f64()
    }

    /// Returns whether no host in touch has, or sends, a request to the former version. `fleet`
    /// are the hosts that should report; one that never did has until `silent_until`.
    #[must_use]
    pub fn is_moved<'a>(
        &self,
        fleet: impl Iterator<Item = &'a Name>,
        silent_until: Millis,
        now: Millis,
    ) -> bool {
        let is_silent = |host: &HostReports| now.since(host.at) >= SILENCE_TIME;
        let mut hosts = self.hosts.values();
        let is_idle = |host: &HostReports| is_silent(host) || host.idle_reports >= IDLE_REPORTS;
        let has_reported = |host: &Name| {
            let known = self.hosts.get(host);
            known.is_some_and(|known| !is_silent(known))
        };
        let mut fleet = fleet;
        hosts.all(is_idle) && (now >= silent_until || fleet.all(has_reported))
    }

    /// Returns how many hosts follow at least `phase`, and how many have reported.
    #[must_use]
    pub fn hosts_at(&self, phase: Phase) -> (usize, usize) {
        let at = |host: &&HostReports| host.phase >= Some(phase);
        (self.hosts.values().filter(at).count(), self.hosts.len())
    }

    fn take_snapshot(&mut self, now: Millis) {
        let last = self.snapshots.back();
        if last.is_some_and(|last| now.since(last.at) < SNAPSHOT_INTERVAL) {
            return;
        }
        let snapshot = Snapshot {
            at: now,
            all: self.sent().0,
            routes: self.totals(),
        };
        self.snapshots.push_back(snapshot);
        while self.snapshots.len() > 1 && now.since(self.snapshots[1].at) >= RECENT_TIME {
            self.snapshots.pop_front();
        }
    }
}
