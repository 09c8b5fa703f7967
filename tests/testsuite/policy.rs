//! Decisions of an entry host: each test replays the load that the decision answers.

use briarquay::{
    policy::hedge::{self, Sends},
    state::routes::Repeats,
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
