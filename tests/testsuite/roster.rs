//! Changes of the roster, with removals while the registry was unavailable.

use {
    briarquay::{
        clock::Millis,
        state::roster::{Leaf, Phase, Roster, RosterChange, SUSPECT_PERIOD},
    },
    std::time::Duration,
};

const START: Millis = Millis(10_000);

fn leaf(id: &str) -> Leaf {
    Leaf {
        id: id.into(),
        service: "lecturas".into(),
        address: ([10, 1, 64, 7], 8_080).into(),
        domain: "xela-centro".into(),
        slots: 2,
        phase: Phase::Serving,
        warmup_left: Duration::ZERO,
        started_ms: 1_770_000_000_000,
    }
}

fn roster(ids: &[&str]) -> Roster {
    let mut roster = Roster::default();
    for id in ids {
        roster.apply_change(RosterChange::Leaf(leaf(id)), START);
    }
    roster
}

fn usable(roster: &Roster) -> Vec<String> {
    let mut ids: Vec<String> = roster.usable().map(|leaf| leaf.id.to_string()).collect();
    ids.sort();
    ids
}

#[test]
fn a_removal_is_applied_immediately_outside_the_suspect_period() {
    let mut roster = roster(&["a", "b"]);
    let changed = roster.apply_change(RosterChange::LeafGone("a".into()), START);
    assert!(changed.leaves);
    assert_eq!(usable(&roster), ["b"]);
}

#[test]
fn removals_after_an_outage_are_deferred_until_the_entry_is_back_or_the_removal_is_due() {
    let mut roster = roster(&["a", "b"]);
    roster.record_outage(START);
    roster.apply_change(RosterChange::LeafGone("a".into()), START);
    roster.apply_change(RosterChange::LeafGone("b".into()), START);
    assert_eq!(usable(&roster), ["a", "b"]);

    roster.apply_change(
        RosterChange::Leaf(leaf("b")),
        START.plus(Duration::from_secs(1)),
    );
    let due_at = roster.next_due().expect("one removal is deferred");
    assert_eq!(due_at, START.plus(SUSPECT_PERIOD));
    assert!(roster.apply_due_removals(due_at).leaves);
    assert_eq!(usable(&roster), ["b"]);
    assert_eq!(roster.next_due(), None);
}

#[test]
fn a_deferred_removal_is_due_within_the_drain_time() {
    // A leaf that stops without announcing it may get requests for 3 s after its removal.
    assert!(SUSPECT_PERIOD < Duration::from_secs(3));
}

#[test]
fn the_removal_of_a_leaving_leaf_is_never_deferred() {
    let mut roster = roster(&["a"]);
    roster.record_outage(START);
    let leaving = Leaf {
        phase: Phase::Leaving,
        ..leaf("a")
    };
    roster.apply_change(RosterChange::Leaf(leaving), START);
    assert!(usable(&roster).is_empty());
    roster.apply_change(RosterChange::LeafGone("a".into()), START);
    assert_eq!(roster.next_due(), None);
}

#[test]
fn a_domain_out_of_service_has_no_usable_leaf_until_it_is_back() {
    let mut roster = roster(&["a"]);
    roster.apply_change(RosterChange::DomainOut("xela-centro".into()), START);
    assert!(usable(&roster).is_empty());
    roster.apply_change(RosterChange::DomainIn("xela-centro".into()), START);
    assert_eq!(usable(&roster), ["a"]);
}

#[test]
fn entries_that_a_complete_copy_lacks_are_removed() {
    let mut roster = roster(&["a", "b"]);
    roster.apply_change(RosterChange::DomainOut("zacapa-uno".into()), START);
    let changed = roster.apply_copy(vec![RosterChange::Leaf(leaf("b"))], START);
    assert!(changed.leaves);
    assert_eq!(usable(&roster), ["b"]);
    let again = roster.apply_copy(vec![RosterChange::Leaf(leaf("b"))], START);
    assert!(!again.leaves, "the same copy changes nothing");
}

#[test]
fn another_start_under_the_same_id_is_another_leaf() {
    let first = leaf("a");
    let second = Leaf {
        started_ms: first.started_ms + 1,
        ..first.clone()
    };
    assert!(first.is_same_start(&first.clone()));
    assert!(!first.is_same_start(&second));
}
