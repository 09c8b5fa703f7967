//! Changes of the roster, with removals while the registry was unavailable.

use {
    briarquay::{
        clock::Millis,
        collections::Name,
        state::roster::{Leaf, Member, Phase, Roster, RosterChange, SUSPECT_PERIOD},
    },
    std::time::Duration,
};

const START: Millis = Millis(10_000);

fn leaf(id: &str) -> Leaf {
    Leaf {
        id: id.into(),
        service: "lecturas".into(),
        version: Name::default(),
        address: ([10, 1, 64, 7], 8_080).into(),
        domain: "xela-centro".into(),
        slots: 2,
        phase: Phase::Serving,
        warmup_left: Duration::ZERO,
        started_ms: 1_770_000_000_000,
        sequence: None,
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
    assert!(roster.apply_due_changes(due_at).leaves);
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

/// A leaf whose stop the restored registry has forgotten.
#[test]
fn leaving_leaf_stays_so_when_an_older_copy_has_it_ready() {
    let mut roster = roster(&["a", "b"]);
    let leaving = Leaf {
        phase: Phase::Leaving,
        ..leaf("a")
    };
    roster.apply_change(RosterChange::Leaf(leaving), START);
    roster.record_outage(START);

    let copy = vec![RosterChange::Leaf(leaf("a")), RosterChange::Leaf(leaf("b"))];
    roster.apply_copy(copy, START);

    assert_eq!(usable(&roster), ["b"]);
}

#[test]
fn entry_from_before_the_one_that_is_known_is_ignored() {
    let numbered = |sequence, slots| Leaf {
        sequence: Some(sequence),
        slots,
        ..leaf("a")
    };
    let mut roster = Roster::default();
    roster.apply_change(RosterChange::Leaf(numbered(7, 4)), START);

    let changed = roster.apply_change(RosterChange::Leaf(numbered(5, 2)), START);

    assert!(!changed.leaves);
    assert_eq!(roster.usable().next().expect("it is known").slots, 4);
    let restarted = Leaf {
        started_ms: leaf("a").started_ms + 1,
        ..numbered(1, 2)
    };
    assert!(
        roster
            .apply_change(RosterChange::Leaf(restarted), START)
            .leaves
    );
}

/// A leaf that ended is in the older copy; the registry removes it once it is silent.
#[test]
fn ended_leaf_in_an_older_copy_is_used_only_if_its_entry_stays() {
    let mut roster = roster(&["a", "b"]);
    roster.apply_change(RosterChange::LeafGone("a".into()), START);
    roster.apply_change(RosterChange::LeafGone("b".into()), START);
    roster.record_outage(START);
    let copy = vec![RosterChange::Leaf(leaf("a")), RosterChange::Leaf(leaf("b"))];
    roster.apply_copy(copy, START);
    assert!(usable(&roster).is_empty());

    let later = START.plus(Duration::from_secs(3));
    roster.apply_change(RosterChange::LeafGone("a".into()), later);
    roster.apply_due_changes(START.plus(Duration::from_secs(6)));

    assert_eq!(usable(&roster), ["b"]);
}

/// What the operator wrote since the copy is written again a moment later.
#[test]
fn domain_out_and_hosts_that_an_older_copy_lacks_stay_until_the_suspect_period_ends() {
    let mut roster = roster(&["a"]);
    let host = Member {
        id: "entry-1".into(),
        address: ([10, 1, 0, 1], 7_000).into(),
        domain: "xela-centro".into(),
        millicores: 250,
        lease: 3,
    };
    roster.apply_change(RosterChange::DomainOut("xela-centro".into()), START);
    roster.apply_change(RosterChange::Member(host.clone()), START);
    roster.record_outage(START);

    roster.apply_copy(vec![RosterChange::Leaf(leaf("a"))], START);

    assert!(usable(&roster).is_empty());
    assert_eq!(roster.members().count(), 1);
    roster.apply_change(RosterChange::Member(host), START);
    let due = roster.apply_due_changes(START.plus(SUSPECT_PERIOD));
    assert!(due.leaves && !due.members);
    assert_eq!(usable(&roster), ["a"]);
    assert_eq!(roster.members().count(), 1);
}

#[test]
fn domain_that_operators_bring_back_is_used_at_once_after_an_outage() {
    let mut roster = roster(&["a"]);
    roster.apply_change(RosterChange::DomainOut("xela-centro".into()), START);
    roster.record_outage(START);

    roster.apply_change(RosterChange::DomainIn("xela-centro".into()), START);

    assert_eq!(usable(&roster), ["a"]);
}
