//! Unit tests: ramp, placement, leases, polls, choice of a snapshot, claims, packed
//! records, budgets, quarantine and rejections.

use {
    arbtest::arbtest,
    briarquay::{
        Declaration, Verdict,
        clock::Millis,
        collections::Set,
        coordination::{
            claims::{ClaimError, ClaimSet, KeyHash},
            lease::Holder,
            members::{Candidate, Change, MemberList},
            placement::Placement,
            rollout::{PackedRecord, push_children},
        },
        coordinator::store_sync::poll_interval,
        protocol::{answer::Refusal, verdict::Cause},
        state::{
            budget::Budget,
            catalog::Catalog,
            quarantine::{Quarantine, RequestSafety},
            ramp::Ramp,
            versions::{VersionRange, newest_common_version},
        },
    },
    std::time::Duration,
};

fn catalog() -> Catalog {
    let text = include_str!("../../examples/quetzaltenango.yaml");
    Catalog::new(1, &Declaration::parse(text).expect("the example is valid"))
}

fn members(count: u16) -> MemberList {
    (0..count).fold(MemberList::default(), |list, number| {
        let candidate = Candidate {
            id: format!("entry-{number}").into(),
            address: ([127, 0, 0, 1], 9_000 + number).into(),
            domain: format!("domain-{}", number % 3).into(),
        };
        list.after(&Change::Join(candidate))
            .expect("the member is new")
    })
}

#[test]
fn ramp_starts_at_the_limit_of_a_cold_target_and_rises_with_replies() {
    let declaration =
        Declaration::parse(&crate::fixtures::small(2)).expect("the declaration is valid");
    let service = &declaration.services[0];
    let mut ramp = Ramp::default();
    let quick = Duration::from_millis(2);
    assert_eq!(ramp.limit(service), 1);
    for _ in 0..service.cold.warm_after {
        ramp.record_reply(service, &"a".into(), quick);
    }
    assert_eq!(ramp.limit(service), 2);
    ramp.record_reply(service, &"a".into(), quick * 20);
    assert_eq!(ramp.limit(service), 1, "one slow reply lowers the limit");
    ramp.record_reply(service, &"a".into(), quick);
    assert_eq!(ramp.limit(service), 2);
    ramp.record_reply(service, &"b".into(), quick);
    assert_eq!(ramp.limit(service), 1, "another incarnation is cold");
}

#[test]
fn placement_is_even_separates_replicas_and_moves_few_leaves() {
    // Arrange
    let (catalog, nobody) = (catalog(), Set::default());
    let list = members(9);

    // Act
    let before = Placement::new(&list, &catalog);
    let gone = list.members[3].key.clone();
    let smaller = list
        .after(&Change::Remove(vec![gone]))
        .expect("it was a member");
    let after = Placement::new(&smaller, &catalog);

    // Assert
    for member in &list.members {
        assert!(
            before.owned(&member.key.id, &nobody).len() <= 16,
            "a quarter over 12.8"
        );
    }
    let moved = catalog
        .leaves
        .keys()
        .filter(|leaf| before.owner(**leaf, &nobody) != after.owner(**leaf, &nobody));
    assert!(
        moved.count() * 3 < catalog.leaves.len(),
        "a third at the most"
    );
    for service in catalog.services.values() {
        for replicas in service.shards.iter().filter(|one| one.len() == 2) {
            let owners = replicas.iter().map(|leaf| before.owner(leaf.id, &nobody));
            let owners: Set<_> = owners.collect();
            assert_eq!(owners.len(), 2, "replicas have different owners");
        }
    }
}

#[test]
fn a_leaf_of_an_active_owner_has_no_other_owner_under_more_exclusions() {
    let (catalog, list) = (catalog(), members(9));
    let placement = Placement::new(&list, &catalog);
    for seed in 1..200_u64 {
        arbtest(|u| {
            let mut known = Set::default();
            for member in &list.members {
                if u.ratio(1, 4)? {
                    known.insert(member.key.id.clone());
                }
            }
            let mut more = known.clone();
            more.insert(u.choose(&list.members)?.key.id.clone());
            for leaf in catalog.leaves.keys() {
                let (one, other) = (
                    placement.owner(*leaf, &known),
                    placement.owner(*leaf, &more),
                );
                let is_active = one.is_some_and(|id| !more.contains(id));
                assert!(!is_active || one == other);
            }
            Ok(())
        })
        .seed(seed << 32 | 64)
        .run();
    }
}

#[test]
fn witnesses_of_a_member_survive_the_loss_of_any_one_domain() {
    let list = members(9);
    for member in list.members.iter().skip(5) {
        assert_eq!(member.witnesses.len(), 5);
        for domain in 0..3 {
            let domain = format!("domain-{domain}");
            let remaining = member.witnesses.iter().filter(|witness| {
                let home = list.by_id(&witness.id).expect("a member");
                *home.domain != *domain
            });
            assert!(remaining.count() >= 3, "{member:?} without {domain}");
        }
    }
}

#[test]
fn a_proposal_whose_reply_was_lost_leaves_no_unsettled_round() {
    // Arrange
    let list = members(5);
    let member = &list.members[1];
    let mut holder = Holder::new(member.key.id.clone(), Duration::from_secs(2));
    holder.apply_list(list.epoch, member.round, &member.witnesses);

    // Act: the reply to the first write is lost, and the same change is written again.
    let next = list.epoch + 1;
    holder.add_proposed_round(next, &member.witnesses, Millis(10));
    assert!(
        !holder.has_old_round(),
        "a proposal alone is no second round"
    );
    holder.add_proposed_round(next, &member.witnesses, Millis(20));
    holder.apply_list(next, next, &member.witnesses);
    holder.drop_old_rounds(next);

    // Assert
    assert!(!holder.has_old_round(), "another round may be proposed");
    assert_eq!(holder.renewals().len(), member.witnesses.len() - 1);
}

#[test]
fn a_push_reaches_every_member() {
    for count in [1_u16, 2, 7, 30, 100] {
        let ids: Vec<_> = members(count)
            .members
            .into_iter()
            .map(|one| one.key.id)
            .collect();
        let mut reached = vec![ids[usize::from(count) / 2].clone()];
        let mut next = 0;
        while next < reached.len() {
            for child in push_children(&ids, &reached[next], 77, next == 0) {
                if !reached.contains(&child) {
                    reached.push(child);
                }
            }
            next += 1;
        }
        assert_eq!(reached.len(), usize::from(count));
    }
}

#[test]
fn polls_of_the_store_do_not_grow_with_the_fleet() {
    assert_eq!(poll_interval(9), Duration::from_secs(30));
    for members in [30_u32, 300, 4_900] {
        let polls = f64::from(members) / poll_interval(members as usize).as_secs_f64();
        assert!(polls <= 1.0, "{members}: {polls} a second");
    }
}

#[test]
fn snapshot_is_the_newest_that_most_leaves_can_serve() {
    let range = |oldest, newest| VersionRange { oldest, newest };
    assert_eq!(newest_common_version(&[]), None);
    assert_eq!(
        newest_common_version(&[(range(1, 2), 5), (range(2, 3), 5)]),
        Some(2)
    );
    assert_eq!(
        newest_common_version(&[(range(1, 1), 1), (range(2, 3), 9)]),
        Some(3)
    );
    assert_eq!(
        newest_common_version(&[(range(1, 3), 2), (range(3, 3), 2)]),
        Some(3)
    );
}

#[test]
fn a_key_is_claimed_once_and_expires_only_after_its_lifetime() {
    let key = KeyHash::of("charge", "k");
    let mut set = ClaimSet::default();
    assert!(set.claim(&[key], 1_000).is_empty());
    assert_eq!(set.claim(&[key], 1_000)[&key], ClaimError::Used);
    let day = 24 * 60 * 60;
    assert_eq!(set.claim(&[key], 1_000 + day)[&key], ClaimError::Used);
    assert!(set.claim(&[key], 1_001 + day).is_empty());
}

#[test]
fn a_full_claim_set_denies_new_keys_and_keeps_the_old_ones() {
    let keys: Vec<KeyHash> = (0..20_001).map(KeyHash).collect();
    let mut set = ClaimSet::default();
    let denied = set.claim(&keys, 1_000);
    assert_eq!(denied.len(), 1);
    assert_eq!(denied[&keys[20_000]], ClaimError::Full);
    assert!(set.to_value().len() < 1 << 20, "it fits into the store");
}

#[test]
fn a_packed_record_decodes_only_with_its_base() {
    let former = include_str!("../../examples/laundry.yaml").as_bytes();
    let next = [former, b"# one more line"].concat();
    let whole = PackedRecord::new(2, &next, None).expect("the record packs");
    let difference = PackedRecord::new(2, &next, Some((1, former))).expect("the record packs");
    assert!(difference.bytes.len() < whole.bytes.len() / 4);
    assert_eq!(whole.open(b"").expect("the record decodes"), next);
    assert_eq!(difference.open(former).expect("the record decodes"), next);
    let other = vec![b'x'; former.len()];
    assert!(difference.open(&other).map_or(true, |value| value != next));
}

#[test]
fn a_budget_never_exceeds_its_percentage() {
    let budget = Budget::new(5);
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.earn(10);
        while budget.spend() {
            spent += 1;
        }
    }
    assert!((500..=520).contains(&spent), "{spent}");
}

#[test]
fn two_crashes_on_distinct_targets_quarantine_a_request() {
    let quarantine = Quarantine::default();
    assert!(quarantine.record_crash(7, &"a".into()).is_some());
    assert!(
        quarantine.record_crash(7, &"a".into()).is_none(),
        "already recorded"
    );
    assert_eq!(
        quarantine.safety(7),
        RequestSafety::Unknown(vec!["a".into()])
    );
    quarantine.record_crash(7, &"b".into());
    assert_eq!(quarantine.safety(7), RequestSafety::Quarantined);
}

#[test]
fn a_rejection_states_that_an_earlier_attempt_may_have_run() {
    let refusal = Refusal::new(&"q".into(), Verdict::NotRun, Cause::Overloaded);
    assert_eq!(
        refusal.clone().at_least(Verdict::NotRun).verdict,
        Verdict::NotRun
    );
    assert_eq!(
        refusal.at_least(Verdict::MayHaveRun).verdict,
        Verdict::MayHaveRun
    );
}
