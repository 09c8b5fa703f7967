//! Decisions of an entry host: each test replays the load that the decision answers.

use {
    briarquay::{
        policy::{
            hedge::{self, Sends},
            wait::{self, Progress, Wait},
        },
        state::routes::Repeats,
    },
    std::time::Duration,
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
