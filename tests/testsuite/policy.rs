//! Decisions of an entry host: each test replays the load that the decision answers.

use {
    briarquay::{
        policy::{
            hedge::{self, Sends},
            place::{self, Candidate},
            wait::{self, Progress, Wait},
        },
        state::{
            pace::{Median, Pace, SLOW, Usual},
            refusals::Refusals,
            routes::Repeats,
        },
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64,
    std::time::{Duration, Instant},
};

fn sends() -> Sends {
    Sends {
        repeats: Repeats::Safe,
        pending: 1,
        hedged: false,
    }
}

#[test]
fn a_request_that_waits_for_a_connection_is_not_hedged() {
    let waiting = Sends {
        pending: 0,
        ..sends()
    };
    assert!(hedge::is_wanted(sends()));
    assert!(!hedge::is_wanted(waiting), "two first sends, one unpaid");
}

#[test]
fn only_idempotent_requests_are_hedged_and_only_once() {
    let unsafe_one = Sends {
        repeats: Repeats::Never,
        ..sends()
    };
    let hedged = Sends {
        hedged: true,
        ..sends()
    };
    assert!(!hedge::is_wanted(unsafe_one));
    assert!(!hedge::is_wanted(hedged));
}

/// Replies of a query of 90 shards, 13 of them eight times slower than the others, on a
/// host that handles one reply in 0.1 ms: the time of each reply, sorted.
fn replies_with_slow_shards() -> Vec<Duration> {
    let mut random = Pcg64::seed_from_u64(11);
    let mut replies: Vec<Duration> = (0..90_u32)
        .map(|shard| {
            let work = Duration::from_millis(5).mul_f64(random.random_range(0.8..1.4));
            let slow = if shard < 13 { 8 } else { 1 };
            work * slow + Duration::from_micros(100) * shard
        })
        .collect();
    replies.sort_unstable();
    replies
}

#[test]
fn shards_late_beside_their_siblings_are_asked_again_in_time_for_the_aim() {
    // Arrange
    let aim = Duration::from_millis(50);
    let cut = Duration::from_millis(35);
    let usual = Duration::from_millis(15);
    let second = Duration::from_millis(14);
    let replies = replies_with_slow_shards();

    // Act
    let delay = hedge::delay(Some(usual), aim);
    let telling = hedge::telling_replies(replies.len()).expect("enough shards");
    let sooner = hedge::sibling_delay(replies[telling - 1], delay);
    let in_time = |delay: Duration| {
        let at = |reply: &&Duration| (**reply).min(delay + second) <= cut;
        replies.iter().filter(at).count()
    };
    let needless = replies[..77].iter().filter(|reply| **reply > sooner);

    // Assert
    assert_eq!(in_time(delay), 77, "by the usual time alone");
    assert_eq!(in_time(sooner), 90);
    assert!(needless.count() <= 4, "calm shards are not asked twice");
}

#[test]
fn siblings_never_lengthen_the_wait_and_few_of_them_tell_nothing() {
    let delay = Duration::from_millis(30);
    let late = Duration::from_millis(200);
    assert_eq!(hedge::sibling_delay(late, delay), delay);
    assert!(hedge::sibling_delay(Duration::ZERO, delay) > Duration::ZERO);
    assert_eq!(hedge::telling_replies(1), None);
    assert_eq!(hedge::telling_replies(20), Some(15));
}

/// A query of 20 shards, most of them in.
fn progress(done: usize, failed: usize, age_ms: u64) -> Progress {
    Progress {
        total: 20,
        done,
        failed,
        least: 15,
        age: Duration::from_millis(age_ms),
        aim: Duration::from_millis(60),
        limit: Duration::from_millis(600),
    }
}

#[test]
fn an_answer_leaves_in_time_for_a_caller_3_ms_away_with_a_new_connection() {
    let way = Duration::from_millis(3);
    let Wait::Until(cut) = wait::decide(&progress(18, 0, 10)) else {
        panic!("there is time left");
    };
    assert!(cut + way * 4 < Duration::from_millis(60), "{cut:?}");
    assert_eq!(wait::decide(&progress(18, 0, 46)), Wait::Answer);
}

#[test]
fn late_shards_are_waited_for_while_too_few_are_in() {
    let limit = Duration::from_millis(600);
    assert_eq!(wait::decide(&progress(14, 0, 100)), Wait::Until(limit));
    assert_eq!(wait::decide(&progress(15, 0, 100)), Wait::Answer);
    assert_eq!(wait::decide(&progress(14, 0, 600)), Wait::Fail);
}

#[test]
fn a_query_that_cannot_be_answered_any_more_fails_at_once() {
    assert_eq!(wait::decide(&progress(3, 6, 5)), Wait::Fail);
    assert!(matches!(wait::decide(&progress(3, 5, 5)), Wait::Until(_)));
}

const USUAL: Duration = Duration::from_millis(12);

fn candidate(pace: &Pace, now: Instant) -> Candidate {
    Candidate {
        slowness: pace.slowness(now),
        overdue: 0.0,
        in_flight: 0,
        load: None,
        slots: 2,
        is_near: true,
        is_connected: true,
        is_full: false,
        refusals: 0.0,
    }
}

/// Returns the part of many requests that the first of two leaves gets.
fn part_of_first(first: Candidate, second: Candidate) -> f64 {
    let mut random = Pcg64::seed_from_u64(13);
    let candidates = [first, second];
    let chosen = (0..10_000).filter(|_| place::choose(&candidates, random.random()) == Some(0));
    f64::from(u32::try_from(chosen.count()).expect("few")) / 10_000.0
}

#[test]
fn bytes_stay_in_the_domain_while_its_leaf_is_about_as_quick() {
    let now = Instant::now();
    let near = candidate(&Pace::default(), now);
    let far = Candidate {
        is_near: false,
        ..near
    };
    let busy = Candidate {
        in_flight: 1,
        ..near
    };
    let slow = Candidate {
        slowness: 8.0,
        ..near
    };
    assert!(part_of_first(near, far) > 0.98, "as quick");
    assert!(part_of_first(busy, far) > 0.9, "one request more to run");
    assert!(part_of_first(slow, far) < 0.05, "eight times slower");
}

/// Sends 400 requests, one each 80 ms, to two replicas, the first of which does as
/// `first` says; returns how many it got after the first 40.
fn sent_to_first(mut first: impl FnMut(&mut Pace, Instant, f64)) -> usize {
    let mut random = Pcg64::seed_from_u64(7);
    let mut paces = [Pace::default(), Pace::default()];
    let start = Instant::now();
    let mut sent = 0;
    for number in 0..400 {
        let now = start + Duration::from_millis(80 * number);
        let candidates = paces.each_ref().map(|pace| candidate(pace, now));
        let chosen = place::choose(&candidates, random.random()).expect("there are two");
        if chosen == 0 {
            first(&mut paces[0], now, random.random());
            sent += usize::from(number >= 40);
        } else {
            paces[1].note(USUAL, USUAL, now);
        }
    }
    sent
}

#[test]
fn a_leaf_that_loses_two_in_five_answers_gets_few_requests() {
    let sent = sent_to_first(|pace, now, draw| {
        if draw < 0.4 {
            pace.note_failure(now);
        } else {
            pace.note(USUAL, USUAL, now);
        }
    });
    assert!(sent < 18, "{sent} of 360");
}

#[test]
fn a_leaf_ten_times_slower_gets_few_requests_and_is_still_tried() {
    let sent = sent_to_first(|pace, now, _| pace.note(USUAL * 10, USUAL, now));
    assert!((1..36).contains(&sent), "{sent} of 360");
}

#[test]
fn a_leaf_as_good_as_its_replica_gets_its_share() {
    let sent = sent_to_first(|pace, now, _| pace.note(USUAL, USUAL, now));
    assert!((120..240).contains(&sent), "{sent} of 360");
}

#[test]
fn a_single_stall_is_forgotten_within_a_second() {
    let start = Instant::now();
    let mut pace = Pace::default();
    pace.note(USUAL, USUAL, start);
    pace.note(USUAL * 10, USUAL, start);
    assert!(pace.slowness(start) > 2.5);
    assert!(pace.slowness(start + Duration::from_secs(1)) < 1.5);
}

/// A leaf that takes 99 ms where others take 11, asked by a host that reads all replies of
/// one request 30 ms late.
#[test]
fn a_busy_host_tells_slow_leaves_from_its_own_backlog() {
    // Arrange
    let now = Instant::now();
    let backlog = Duration::from_millis(30);
    let [well, slow] = [11, 99].map(Duration::from_millis);
    let usual = Usual::new(well);
    let mut paces = [Pace::default(), Pace::default()];

    // Act
    usual.note(well + backlog);
    for (pace, took) in paces.iter_mut().zip([well, slow]) {
        pace.note(took + backlog, usual.get(), now);
        pace.note(took + backlog, usual.get(), now);
    }

    // Assert
    let [well, slow] = paces.map(|pace| pace.slowness(now));
    assert!(well < 1.2, "{well}");
    assert!(slow >= SLOW * 0.8, "{slow}");
}

#[test]
fn one_backlogged_request_moves_what_is_usual_by_one_step() {
    let mut usual = Median::default();
    let calm = Duration::from_millis(11);
    for _ in 0..50 {
        usual.note(calm);
    }
    // The replies of a request are noted as one, by the one in the middle.
    usual.note(Duration::from_millis(400));
    let moved = usual.get().expect("it is known");
    assert!(moved < calm.mul_f64(1.1), "{moved:?}");
}

/// A shard whose near leaf takes ten times as long for 6 s, asked five times a second by a
/// host that reads all replies late; the leaf elsewhere has no connection yet.
#[test]
fn a_near_leaf_that_is_slow_for_seconds_gets_few_requests() {
    // Arrange
    let start = Instant::now();
    let mut random = Pcg64::seed_from_u64(5);
    let usual = Duration::from_millis(11);
    let calm = Candidate {
        slowness: 1.0,
        overdue: 0.0,
        in_flight: 0,
        load: None,
        slots: 3,
        is_near: false,
        is_connected: false,
        is_full: false,
        refusals: 0.0,
    };
    let mut pace = Pace::default();

    // Act
    let mut tries = 0;
    for number in 0..30_u32 {
        let now = start + Duration::from_millis(200) * number;
        let near = Candidate {
            slowness: pace.slowness(now),
            is_near: true,
            is_connected: true,
            ..calm
        };
        if place::choose(&[near, calm, calm], random.random()) == Some(0) {
            tries += 1;
            let backlog = Duration::from_millis(18);
            pace.note(usual * 10 + backlog, usual + backlog, now + usual * 10);
        }
    }
    let later = start + Duration::from_secs(16);

    // Assert
    assert!((2..=6).contains(&tries), "{tries} of 30 requests");
    assert!(pace.slowness(later) < SLOW, "it is tried again");
}

/// A shard of two leaves, the first of which turns away two in five requests at random for
/// 9 s, asked ten times a second; then it is well.
#[test]
fn a_leaf_that_turns_requests_away_at_random_is_left_for_its_sound_replica() {
    // Arrange
    let start = Instant::now();
    let mut random = Pcg64::seed_from_u64(3);
    let mut leaves = [Refusals::default(), Refusals::default()];
    let leaf = |refusals: f64| Candidate {
        refusals,
        ..candidate(&Pace::default(), start)
    };

    // Act
    let mut refused = [0; 2];
    let mut well = 0;
    for number in 0..250_u32 {
        let now = start + Duration::from_millis(100) * number;
        let candidates = leaves.map(|refusals| leaf(refusals.part(now)));
        let chosen = place::choose(&candidates, random.random()).expect("there are two");
        let is_ill = chosen == 0 && number < 90;
        let is_refused = is_ill && random.random::<f64>() < 0.4;
        leaves[chosen].note(is_refused, now);
        refused[usize::from(number >= 20)] += u32::from(is_refused);
        well += u32::from(chosen == 0 && number >= 150);
    }

    // Assert
    assert!(refused[1] <= 7, "{} of 70 after 2 s", refused[1]);
    assert!((30..=70).contains(&well), "{well} of 100 once it is well");
}
