//! Decisions of an entry host: each test simulates the case that the decision handles.

use {
    briarquay::{
        policy::{
            hedge::{self, AttemptState},
            leaf_selection::{self, Candidate},
            relaying::{self, HostReply, RelayFacts},
            response_timing::{self, Progress, Wait},
            shutdown::{LateRequest, StopSchedule},
        },
        state::{
            rejections::RejectionRate,
            relative_latency::{BaselineLatency, Median, RelativeLatency, SLOW_RATIO},
            routes::Repeats,
        },
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64,
    std::time::{Duration, Instant},
};

fn first_attempt() -> AttemptState {
    AttemptState {
        repeats: Repeats::Safe,
        in_flight: 1,
        hedged: false,
    }
}

#[test]
fn a_request_that_waits_for_a_connection_is_not_hedged() {
    let queued = AttemptState {
        in_flight: 0,
        ..first_attempt()
    };
    assert!(hedge::may_hedge(first_attempt()));
    assert!(
        !hedge::may_hedge(queued),
        "two first attempts, one outside the retry budget"
    );
}

#[test]
fn only_idempotent_requests_are_hedged_and_only_once() {
    let not_idempotent = AttemptState {
        repeats: Repeats::Never,
        ..first_attempt()
    };
    let hedged = AttemptState {
        hedged: true,
        ..first_attempt()
    };
    assert!(!hedge::may_hedge(not_idempotent));
    assert!(!hedge::may_hedge(hedged));
}

/// Returns the sorted latencies of the replies to a request of 90 shards, 13 of them eight
/// times slower than the others, on a host that processes one reply in 0.1 ms.
fn latencies_with_slow_shards() -> Vec<Duration> {
    let mut random = Pcg64::seed_from_u64(11);
    let mut latencies: Vec<Duration> = (0..90_u32)
        .map(|shard| {
            let work = Duration::from_millis(5).mul_f64(random.random_range(0.8..1.4));
            let slow = if shard < 13 { 8 } else { 1 };
            work * slow + Duration::from_micros(100) * shard
        })
        .collect();
    latencies.sort_unstable();
    latencies
}

#[test]
fn shards_later_than_most_are_hedged_in_time_for_the_latency_objective() {
    // Arrange
    let objective = Duration::from_millis(50);
    let soft_deadline = Duration::from_millis(35);
    let baseline = Duration::from_millis(15);
    let hedge_latency = Duration::from_millis(14);
    let latencies = latencies_with_slow_shards();

    // Act
    let delay = hedge::delay(Some(baseline), objective);
    let sample = hedge::sample_size(latencies.len()).expect("enough shards");
    let sibling_delay = hedge::sibling_delay(latencies[sample - 1], delay);
    let replies_in_time = |delay: Duration| {
        let is_in_time =
            |latency: &&Duration| (**latency).min(delay + hedge_latency) <= soft_deadline;
        latencies.iter().filter(is_in_time).count()
    };
    let needless = latencies[..77]
        .iter()
        .filter(|latency| **latency > sibling_delay);

    // Assert
    assert_eq!(replies_in_time(delay), 77, "from the baseline alone");
    assert_eq!(replies_in_time(sibling_delay), 90);
    assert!(needless.count() <= 4, "fast shards are not hedged");
}

#[test]
fn other_replies_never_lengthen_the_hedge_delay_and_few_give_no_estimate() {
    let delay = Duration::from_millis(30);
    let late = Duration::from_millis(200);
    assert_eq!(hedge::sibling_delay(late, delay), delay);
    assert!(hedge::sibling_delay(Duration::ZERO, delay) > Duration::ZERO);
    assert_eq!(hedge::sample_size(1), None);
    assert_eq!(hedge::sample_size(20), Some(15));
}

/// A request of 20 shards that needs 15 replies.
fn progress(done: usize, failed: usize, age_ms: u64) -> Progress {
    Progress {
        total: 20,
        done,
        failed,
        min_replies: 15,
        age: Duration::from_millis(age_ms),
        objective: Duration::from_millis(60),
        deadline: Duration::from_millis(600),
    }
}

#[test]
fn a_response_is_sent_in_time_for_a_caller_3_ms_away_with_a_new_connection() {
    let one_way = Duration::from_millis(3);
    let Wait::Until(soft_deadline) = response_timing::decide(&progress(18, 0, 10)) else {
        panic!("the soft deadline has not passed");
    };
    assert!(
        soft_deadline + one_way * 4 < Duration::from_millis(60),
        "{soft_deadline:?}"
    );
    assert_eq!(response_timing::decide(&progress(18, 0, 46)), Wait::Respond);
}

#[test]
fn a_response_waits_for_late_shards_until_it_has_the_minimum_replies() {
    let deadline = Duration::from_millis(600);
    assert_eq!(
        response_timing::decide(&progress(14, 0, 100)),
        Wait::Until(deadline)
    );
    assert_eq!(
        response_timing::decide(&progress(15, 0, 100)),
        Wait::Respond
    );
    assert_eq!(response_timing::decide(&progress(14, 0, 600)), Wait::Fail);
}

#[test]
fn a_request_that_cannot_get_the_minimum_replies_fails_at_once() {
    assert_eq!(response_timing::decide(&progress(3, 6, 5)), Wait::Fail);
    assert!(matches!(
        response_timing::decide(&progress(3, 5, 5)),
        Wait::Until(_)
    ));
}

const BASELINE: Duration = Duration::from_millis(12);

fn candidate(latency: &RelativeLatency, now: Instant) -> Candidate {
    Candidate {
        relative_latency: latency.current(now),
        overdue: 0.0,
        in_flight: 0,
        load: None,
        slots: 2,
        is_local: true,
        is_connected: true,
        is_full: false,
        rejection_ratio: 0.0,
        capacity: None,
    }
}

/// Returns the fraction of many requests that the first of two leaves gets.
fn share_of_first(first: Candidate, second: Candidate) -> f64 {
    let mut random = Pcg64::seed_from_u64(13);
    let candidates = [first, second];
    let chosen = (0..10_000)
        .filter(|_| leaf_selection::choose_leaf(&candidates, random.random()) == Some(0));
    f64::from(u32::try_from(chosen.count()).expect("at most 10 000")) / 10_000.0
}

#[test]
fn traffic_stays_in_the_domain_while_its_leaf_is_about_as_fast() {
    let now = Instant::now();
    let near = candidate(&RelativeLatency::default(), now);
    let far = Candidate {
        is_local: false,
        ..near
    };
    let busy = Candidate {
        in_flight: 1,
        ..near
    };
    let slow = Candidate {
        relative_latency: 8.0,
        ..near
    };
    assert!(share_of_first(near, far) > 0.98, "equally fast");
    assert!(
        share_of_first(busy, far) > 0.9,
        "one more request in flight"
    );
    assert!(share_of_first(slow, far) < 0.05, "eight times slower");
}

/// Sends 400 requests, one every 80 ms, to two replicas and returns how many the first one
/// got after the first 40 requests. `record_first` records the outcome of a request to it.
fn sent_to_first(mut record_first: impl FnMut(&mut RelativeLatency, Instant, f64)) -> usize {
    let mut random = Pcg64::seed_from_u64(7);
    let mut latencies = [RelativeLatency::default(), RelativeLatency::default()];
    let start = Instant::now();
    let mut sent = 0;
    for number in 0..400 {
        let now = start + Duration::from_millis(80 * number);
        let candidates = latencies.each_ref().map(|latency| candidate(latency, now));
        let chosen =
            leaf_selection::choose_leaf(&candidates, random.random()).expect("there are two");
        if chosen == 0 {
            record_first(&mut latencies[0], now, random.random());
            sent += usize::from(number >= 40);
        } else {
            latencies[1].record_latency(BASELINE, BASELINE, now);
        }
    }
    sent
}

#[test]
fn a_leaf_that_loses_two_in_five_replies_gets_few_requests() {
    let sent = sent_to_first(|latency, now, draw| {
        if draw < 0.4 {
            latency.record_failure(now);
        } else {
            latency.record_latency(BASELINE, BASELINE, now);
        }
    });
    assert!(sent < 18, "{sent} of 360");
}

#[test]
fn a_leaf_ten_times_slower_gets_few_requests_and_is_still_tried() {
    let sent =
        sent_to_first(|latency, now, _| latency.record_latency(BASELINE * 10, BASELINE, now));
    assert!((1..36).contains(&sent), "{sent} of 360");
}

#[test]
fn a_leaf_as_fast_as_its_replica_gets_its_share() {
    let sent = sent_to_first(|latency, now, _| latency.record_latency(BASELINE, BASELINE, now));
    assert!((120..240).contains(&sent), "{sent} of 360");
}

#[test]
fn a_single_stall_has_little_weight_after_a_second() {
    let start = Instant::now();
    let mut latency = RelativeLatency::default();
    latency.record_latency(BASELINE, BASELINE, start);
    latency.record_latency(BASELINE * 10, BASELINE, start);
    assert!(latency.current(start) > 2.5);
    assert!(latency.current(start + Duration::from_secs(1)) < 1.5);
}

/// One leaf takes 99 ms and the others 11 ms; the host reads all replies of a request late,
/// by 30 ms.
#[test]
fn a_busy_host_distinguishes_slow_leaves_from_its_own_backlog() {
    // Arrange
    let now = Instant::now();
    let backlog = Duration::from_millis(30);
    let [fast, slow] = [11, 99].map(Duration::from_millis);
    let baseline = BaselineLatency::new(fast);
    let mut latencies = [RelativeLatency::default(), RelativeLatency::default()];

    // Act
    baseline.record_latency(fast + backlog);
    for (latency, took) in latencies.iter_mut().zip([fast, slow]) {
        latency.record_latency(took + backlog, baseline.get(), now);
        latency.record_latency(took + backlog, baseline.get(), now);
    }

    // Assert
    let [fast, slow] = latencies.map(|latency| latency.current(now));
    assert!(fast < 1.2, "{fast}");
    assert!(slow >= SLOW_RATIO * 0.8, "{slow}");
}

#[test]
fn one_delayed_request_moves_the_baseline_by_one_step() {
    let mut baseline = Median::default();
    let typical = Duration::from_millis(11);
    for _ in 0..50 {
        baseline.record_sample(typical);
    }
    // The replies of a request count as one sample, the median one.
    baseline.record_sample(Duration::from_millis(400));
    let moved = baseline.get().expect("it has samples");
    assert!(moved < typical.mul_f64(1.1), "{moved:?}");
}

/// A shard's leaf in the own domain is ten times slower for 6 s. The host sends five
/// requests a second and reads all replies late; it has no connection yet to the
/// leaves in other domains.
#[test]
fn a_leaf_in_the_own_domain_that_is_slow_for_seconds_gets_few_requests() {
    // Arrange
    let start = Instant::now();
    let mut random = Pcg64::seed_from_u64(5);
    let baseline = Duration::from_millis(11);
    let far = Candidate {
        relative_latency: 1.0,
        overdue: 0.0,
        in_flight: 0,
        load: None,
        slots: 3,
        is_local: false,
        is_connected: false,
        is_full: false,
        rejection_ratio: 0.0,
        capacity: None,
    };
    let mut latency = RelativeLatency::default();

    // Act
    let mut attempts = 0;
    for number in 0..30_u32 {
        let now = start + Duration::from_millis(200) * number;
        let near = Candidate {
            relative_latency: latency.current(now),
            is_local: true,
            is_connected: true,
            ..far
        };
        if leaf_selection::choose_leaf(&[near, far, far], random.random()) == Some(0) {
            attempts += 1;
            let backlog = Duration::from_millis(18);
            latency.record_latency(
                baseline * 10 + backlog,
                baseline + backlog,
                now + baseline * 10,
            );
        }
    }
    let later = start + Duration::from_secs(16);

    // Assert
    assert!((2..=6).contains(&attempts), "{attempts} of 30 requests");
    assert!(
        latency.current(later) < SLOW_RATIO,
        "it gets requests again"
    );
}

/// The first of a shard's two leaves rejects two in five requests at random for 9 s, and
/// then none. The shard gets ten requests a second.
#[test]
fn a_leaf_that_rejects_requests_at_random_gets_few_until_it_recovers() {
    // Arrange
    let start = Instant::now();
    let mut random = Pcg64::seed_from_u64(3);
    let mut leaves = [RejectionRate::default(), RejectionRate::default()];
    let leaf = |rejection_ratio: f64| Candidate {
        rejection_ratio,
        ..candidate(&RelativeLatency::default(), start)
    };

    // Act
    let mut rejected = [0; 2];
    let mut recovered = 0;
    for number in 0..250_u32 {
        let now = start + Duration::from_millis(100) * number;
        let candidates = leaves.map(|rejections| leaf(rejections.ratio(now)));
        let chosen =
            leaf_selection::choose_leaf(&candidates, random.random()).expect("there are two");
        let is_rejecting = chosen == 0 && number < 90;
        let is_rejected = is_rejecting && random.random::<f64>() < 0.4;
        leaves[chosen].record_outcome(is_rejected, now);
        rejected[usize::from(number >= 20)] += u32::from(is_rejected);
        recovered += u32::from(chosen == 0 && number >= 150);
    }

    // Assert
    assert!(rejected[1] <= 7, "{} of 70 after 2 s", rejected[1]);
    assert!(
        (30..=70).contains(&recovered),
        "{recovered} of 100 after the recovery"
    );
}

/// A request whose deadline is `deadline` after the start of a stop.
fn late_request(start: Instant, deadline: Duration, repeats: Repeats) -> LateRequest {
    LateRequest {
        deadline: start + deadline,
        repeats,
        baseline: Some(Duration::from_millis(90)),
    }
}

/// Guards against requests that a stopping host sends to leaves and can't answer.
#[test]
fn a_stopping_host_admits_only_requests_that_are_expected_to_end_in_time() {
    let start = Instant::now();
    let schedule = StopSchedule::new(start, Duration::from_secs(6));
    let admits = |deadline_ms: u64, repeats, at_ms: u64| {
        let request = late_request(start, Duration::from_millis(deadline_ms), repeats);
        schedule.admits(&request, start + Duration::from_millis(at_ms))
    };
    for at in (0..6_000).step_by(100) {
        let fits = at + 1_000 <= 5_580;
        let deadline = at + 1_000;
        assert!(admits(deadline, Repeats::Never, at) || !fits, "{at} ms");
        let has_time = at + 4 * 90 <= 5_580;
        assert_eq!(admits(9_000, Repeats::Safe, at), has_time, "{at} ms");
        let has_reserve = at + 3_000 <= 5_580;
        assert_eq!(admits(9_000, Repeats::Never, at), has_reserve, "{at} ms");
    }
}

#[test]
fn a_stopping_host_rejects_requests_of_a_route_that_takes_longer_than_is_left() {
    let start = Instant::now();
    let schedule = StopSchedule::new(start, Duration::from_secs(6));
    let slow = LateRequest {
        baseline: Some(Duration::from_secs(2)),
        ..late_request(start, Duration::from_secs(9), Repeats::Safe)
    };
    assert!(!schedule.admits(&slow, start));
}

#[test]
fn a_request_is_relayed_once_and_only_if_no_leaf_may_have_got_it() {
    let unable = RelayFacts {
        is_unable: true,
        is_relayed: false,
        may_have_run: false,
    };
    assert!(relaying::should_relay(&unable));
    for facts in [
        RelayFacts {
            is_unable: false,
            ..unable
        },
        RelayFacts {
            is_relayed: true,
            ..unable
        },
        RelayFacts {
            may_have_run: true,
            ..unable
        },
    ] {
        assert!(!relaying::should_relay(&facts), "{facts:?}");
    }
}

#[test]
fn a_request_that_runs_once_goes_to_no_other_host_after_one_that_fell_silent() {
    use HostReply::{Declined, Silent};
    for repeats in [Repeats::Safe, Repeats::Never] {
        assert!(relaying::asks_another(&[], repeats));
        assert!(relaying::asks_another(&[Declined; 5], repeats));
        assert!(!relaying::asks_another(&[Declined; 6], repeats));
    }
    assert!(!relaying::asks_another(&[Silent], Repeats::Never));
    assert!(relaying::asks_another(&[Declined, Silent], Repeats::Safe));
    assert!(!relaying::asks_another(&[Silent, Silent], Repeats::Safe));
    assert_eq!(
        relaying::accept_timeout(Duration::from_secs(1), Repeats::Never),
        None
    );
}
