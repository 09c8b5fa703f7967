//! Whether a host reaches leaves.

use {
    briarquay::state::leaf_contact::{LeafContact, Reach},
    std::time::{Duration, Instant},
};

const SILENCE: Duration = Duration::from_millis(400);

#[test]
fn leaves_are_asked_only_while_attempts_wait_in_silence() {
    let now = Instant::now();
    let mut contact = LeafContact::default();
    assert!(!contact.is_check_due(now + Duration::from_hours(1)));

    contact.record_start(now);
    contact.record_start(now + SILENCE / 2);

    assert!(!contact.is_check_due(now + SILENCE / 2));
    assert!(contact.is_check_due(now + SILENCE));
    contact.record_sign(now + SILENCE);
    assert!(!contact.is_check_due(now + SILENCE));
    contact.record_end(true);
    assert!(contact.is_check_due(now + 2 * SILENCE));
    contact.record_end(true);
    assert!(!contact.is_check_due(now + 2 * SILENCE));
}

#[test]
fn attempts_that_fail_at_once_count_as_silence() {
    let now = Instant::now();
    let mut contact = LeafContact::default();
    for tenth in 0..10 {
        contact.record_start(now + tenth * SILENCE / 10);
        contact.record_end(false);
    }

    assert!(contact.is_check_due(now + SILENCE));
    contact.record_sign(now + SILENCE);
    assert!(!contact.is_check_due(now + 3 * SILENCE));
}

/// A leaf accepts a connection, and the host is cut off while the leaf works.
#[test]
fn an_attempt_that_waits_after_the_last_sign_counts() {
    let now = Instant::now();
    let mut contact = LeafContact::default();
    contact.record_start(now);
    contact.record_sign(now);

    assert!(contact.is_check_due(now + SILENCE));
}

#[test]
fn a_host_is_cut_off_from_the_first_check_in_vain_to_the_next_sign() {
    let now = Instant::now();
    let mut contact = LeafContact::default();
    contact.record_start(now);

    assert!(contact.record_no_sign(now + SILENCE));
    assert!(!contact.record_no_sign(now + SILENCE * 2));
    contact.record_end(false);
    assert_eq!(contact.reach(), Reach::CutOff);
    assert!(contact.is_check_due(now + SILENCE));
    assert!(contact.record_sign(now + SILENCE));
    assert!(!contact.record_sign(now + SILENCE));
    assert_eq!(contact.reach(), Reach::Reached);
}

#[test]
fn a_sign_during_a_check_in_vain_counts_more() {
    let now = Instant::now();
    let mut contact = LeafContact::default();
    contact.record_start(now);
    let asked_at = now + SILENCE;

    contact.record_sign(asked_at + SILENCE / 10);

    assert!(!contact.record_no_sign(asked_at));
    assert_eq!(contact.reach(), Reach::Reached);
}
