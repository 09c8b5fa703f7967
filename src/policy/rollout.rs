//! How far a rollout may go, judged from the replies of the version that it brings.
//!
//! Handles a version whose replies fail or come several times slower: at once, after a while,
//! under load, or on one route only. While it is on trial, its leaves get a share of the
//! service's requests that keeps all hosts together within half of what a bad version may get.
//! Its replies are compared with those of the former version on the same route and in the same
//! time. All requests move to it only near the end of the rollout's time, so that a version that
//! turns bad later is still found on trial, and the other half of the limit is left for the time
//! in which all requests reach it.

use {
    crate::state::rollouts::{RouteReplies, Tally},
    std::time::Duration,
};

/// Most of a service's requests that go to a version on trial, as a share: the replies of the
/// former version remain for comparison.
const MAX_SHARE: f64 = 0.5;

/// Part of the exposure limit that the trial may use.
const TRIAL_PART: f64 = 0.5;

/// Most requests that a trial takes; more say no more about the version.
const TRIAL_SAMPLES: f64 = 120.0;

/// Time from an order until hosts know of it, and for the last write.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// Share of a rollout's time that is kept free at its end, and its most.
const SPARE_RATIO: f64 = 0.03;
const MAX_SPARE: Duration = Duration::from_secs(3);

/// Time for which all requests go to the new version before the former one is given up, as a
/// share of the rollout's time, and its least. Another host can take over in it.
const FULL_RATIO: f64 = 0.18;
const MIN_FULL_TIME: Duration = Duration::from_secs(3);

/// Time for which the new version has all requests at least.
const MIN_FULL_CHECK: Duration = Duration::from_millis(1_500);

/// Time after the end of the rollout's time in which it may still complete.
const OVERTIME: Duration = Duration::from_secs(5);

/// Rate of failed replies, and of failed or slow ones, that says nothing against a version.
const FAILURE_FLOOR: f64 = 0.01;
const BAD_FLOOR: f64 = 0.02;

/// Replies that the former version is assumed to have besides those that are known.
const PRIOR_REPLIES: f64 = 20.0;

/// For replies that are judged again and again.
const REPEATED: Strictness = Strictness {
    deviations: 3.0,
    failures: 2.0,
    bad: 3.0,
};

/// For replies that are judged once.
const ONCE: Strictness = Strictness {
    deviations: 2.5,
    failures: 1.0,
    bad: 1.5,
};

/// What the decision about a rollout rests on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutFacts {
    /// Share of a service's requests that a bad version may get.
    pub exposure_ratio: f64,
    /// Requests that it may get besides.
    pub exposure_extra: f64,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time that the order gives.
    pub time: Duration,
    /// Requests to the service since the order, from all hosts.
    pub all: u64,
    /// Those of them that were sent to the new version.
    pub sent: u64,
    /// Requests to the service per second now.
    pub rate: f64,
    /// Replies by route.
    pub routes: Vec<RouteReplies>,
    /// Whether the new version has a usable leaf.
    pub has_target: bool,
    /// Whether another version serves the service.
    pub has_former: bool,
    /// Time since all requests were moved to the new version; `None` on trial.
    pub full_for: Option<Duration>,
    /// Whether no host in touch sends, or has a request, to the former version.
    pub is_moved: bool,
}

/// Why a version is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its replies fail more often than those of the former version.
    Failures,
    /// They fail or are slow more often.
    Slowness,
    /// It had no leaf, or no reply, when the time of the rollout ended.
    Missing,
    /// Hosts did not all move to it in time.
    Unmoved,
}

impl Fault {
    /// Returns the name that logs use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Failures => "replies fail",
            Self::Slowness => "replies are slow",
            Self::Missing => "no leaf or no reply in time",
            Self::Unmoved => "hosts did not move in time",
        }
    }
}

/// The next step of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// The new version gets this share of the requests.
    Trial(f64),
    /// It gets all.
    Full,
    /// The former version is given up.
    Complete,
    /// The new version gets no requests any more.
    RollBack(Fault),
}

/// Decides the next step.
#[must_use]
pub fn decide(facts: &RolloutFacts) -> Step {
    if let Some(fault) = find_fault(&facts.routes) {
        return Step::RollBack(fault);
    }
    let usable = usable_time(facts.time);
    match facts.full_for {
        Some(full_for) => decide_full(facts, full_for),
        None if !facts.has_former && facts.has_target => Step::Full,
        None if facts.elapsed < full_start(usable) => Step::Trial(trial_share(facts, usable)),
        None => end_trial(facts, usable),
    }
}

/// Returns the time after the order in which the rollout should be complete.
fn usable_time(time: Duration) -> Duration {
    let spare = time.mul_f64(SPARE_RATIO).min(MAX_SPARE);
    time.saturating_sub(NOTICE_TIME + spare)
}

/// Returns the time after the order at which all requests move.
fn full_start(usable: Duration) -> Duration {
    let full = usable.mul_f64(FULL_RATIO).max(MIN_FULL_TIME);
    usable.saturating_sub(full).max(usable.mul_f64(0.4))
}

fn decide_full(facts: &RolloutFacts, full_for: Duration) -> Step {
    if facts.is_moved && full_for >= MIN_FULL_CHECK && facts.has_target {
        let mut recent = facts.routes.iter().map(RouteReplies::recent);
        let fault = recent.find_map(|recent| find_late_fault(&recent));
        fault.map_or(Step::Complete, Step::RollBack)
    } else if facts.elapsed > facts.time + OVERTIME {
        Step::RollBack(Fault::Unmoved)
    } else {
        Step::Full
    }
}

/// Decides at the end of the trial's time.
fn end_trial(facts: &RolloutFacts, usable: Duration) -> Step {
    if let Some(fault) = facts.routes.iter().find_map(find_late_fault) {
        return Step::RollBack(fault);
    }
    let replies: u64 = facts.routes.iter().map(|route| route.target.replies).sum();
    if facts.has_target && (replies > 0 || facts.all == 0) {
        Step::Full
    } else if facts.elapsed >= facts.time {
        Step::RollBack(Fault::Missing)
    } else {
        Step::Trial(trial_share(facts, usable))
    }
}

/// Returns the share that spreads what the trial may take over its time.
fn trial_share(facts: &RolloutFacts, usable: Duration) -> f64 {
    let left = full_start(usable).saturating_sub(facts.elapsed);
    let coming = facts.rate * left.as_secs_f64().max(1.0);
    let limit = facts.exposure_ratio * (as_f64(facts.all) + coming) + facts.exposure_extra;
    // What is sent must be within the limit also if no request follows.
    let now = facts.exposure_ratio * as_f64(facts.all) + facts.exposure_extra;
    let budget = (TRIAL_PART * limit)
        .min(TRIAL_SAMPLES)
        .min(TRIAL_PART * now + facts.rate);
    let room = (budget - as_f64(facts.sent)).max(0.0);
    (room / coming.max(1.0)).min(MAX_SHARE)
}

/// Returns what is wrong with the new version, judged many times while replies arrive.
fn find_fault(routes: &[RouteReplies]) -> Option<Fault> {
    let mut total = RouteReplies::default();
    for route in routes {
        total.target.add(route.target);
        total.former.add(route.former);
        total.recent_target.add(route.recent_target);
        total.recent_former.add(route.recent_former);
    }
    routes.iter().chain([&total]).find_map(|route| {
        let usual = [route.former, route.former];
        let recent = [route.former, route.recent_former];
        judge(route.target, usual, REPEATED)
            .or_else(|| judge(route.recent_target, recent, REPEATED))
    })
}

/// How far bad replies must exceed what is expected of them.
#[derive(Clone, Copy)]
struct Strictness {
    deviations: f64,
    /// Failures, and bad replies, besides.
    failures: f64,
    bad: f64,
}

fn judge(target: Tally, former: [Tally; 2], strictness: Strictness) -> Option<Fault> {
    let expect = |bad: fn(&Tally) -> u64, prior: f64, floor: f64| {
        let rates = former.iter().map(|tally| {
            (as_f64(bad(tally)) + prior) / (as_f64(tally.replies) + PRIOR_REPLIES) + floor
        });
        rates.fold(0.0, f64::max) * as_f64(target.replies)
    };
    let exceeds = |bad: u64, expected: f64, least: f64| {
        as_f64(bad) > expected + strictness.deviations * expected.sqrt() + least
    };
    let failures = expect(|tally| tally.failed, 0.2, FAILURE_FLOOR);
    if exceeds(target.failed, failures, strictness.failures) {
        return Some(Fault::Failures);
    }
    let bad = expect(Tally::bad, 1.0, BAD_FLOOR);
    exceeds(target.bad(), bad, strictness.bad).then_some(Fault::Slowness)
}

/// Returns what is wrong with the new version on a route at the end of its trial, and before the
/// former one is given up: the replies are judged once, and few may have to do.
fn find_late_fault(route: &RouteReplies) -> Option<Fault> {
    judge(route.target, [route.former; 2], ONCE)
}

#[expect(clippy::cast_precision_loss, reason = "counts of a rollout are small")]
fn as_f64(count: u64) -> f64 {
    count as f64
}
