//! Decisions on which callers are dropped when all of them hold too much.

use {
    briarquay::policy::caller_memory::{
        Budget, CallerFacts, Phase, free_bytes, free_connections, max_connections,
    },
    std::time::Duration,
};

fn caller(phase: Phase, bytes: usize, silence_ms: u64) -> CallerFacts {
    CallerFacts {
        phase,
        bytes,
        silence: Duration::from_millis(silence_ms),
    }
}

#[test]
fn stalled_large_body_makes_room_for_one_that_makes_progress() {
    let stalled = caller(Phase::Receiving, 200_000, 1_000);
    let active = caller(Phase::Receiving, 200_000, 0);

    let dropped = free_bytes(&[active, stalled, active], 10_000, 1_000_000);

    assert_eq!(dropped, [1]);
}

#[test]
fn answer_that_is_not_read_makes_room() {
    let unread = caller(Phase::Sending, 1_000_000, 300);
    let small = caller(Phase::Receiving, 10_000, 300);

    assert_eq!(free_bytes(&[small, unread], 10_000, 1_000_000), [1]);
}

#[test]
fn request_that_may_run_is_never_dropped() {
    let callers = [caller(Phase::Running, 1_000_000, 60_000); 3];

    assert!(free_bytes(&callers, 10_000, 1_000_000).is_empty());
    assert!(free_connections(&callers, 3).is_empty());
}

#[test]
fn caller_without_counted_bytes_keeps_its_connection_when_bytes_are_missing() {
    let callers = [caller(Phase::Receiving, 0, 60_000); 3];

    assert!(free_bytes(&callers, 10_000, 1_000_000).is_empty());
}

#[test]
fn connection_that_is_silent_for_longest_makes_room_for_another() {
    let idle = |silence| caller(Phase::Receiving, 0, silence);

    let dropped = free_connections(&[idle(5), idle(9_000), idle(70)], 3);

    assert_eq!(dropped, [1]);
}

#[test]
fn budget_leaves_memory_and_descriptors_for_the_rest_of_the_process() {
    let budget = Budget::of(Some(64 << 20), Some(800));

    assert_eq!(budget.bytes, 16 << 20);
    assert_eq!(budget.connections, 450);
    assert!(max_connections(budget.connections) < 600);
}
