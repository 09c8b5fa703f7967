//! Keys of organisations: which callers may send requests, and how recently a host's copy of the
//! registry is proven current.

use {
    briarquay::{
        clock::BootTime,
        policy::{
            authorization::{self, CallerFacts, CallerKey, Malformed, Verdict},
            proof_renewal::{self, Prover, Role},
        },
        state::{
            copy_proof::{CopyProofs, Proof},
            organisations::{KeyDigest, Organisation, Organisations},
            revision::Revision,
        },
    },
    std::{sync::Arc, time::Duration},
};

const LIFETIME: Duration = Duration::from_secs(5);

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.into(),
        priority: None,
        quota: None,
    }
}

fn facts(key: CallerKey) -> CallerFacts {
    CallerFacts {
        has_organisations: true,
        is_public: false,
        key,
        copy_age: Some(Duration::from_secs(1)),
        revocation_time: Some(LIFETIME),
        apply_timeout: LIFETIME,
        can_hand_over: true,
    }
}

fn known() -> (Arc<Organisation>, CallerKey) {
    let acme = Arc::new(organisation("acme"));
    (Arc::clone(&acme), CallerKey::Known(acme))
}

#[test]
fn without_organisations_nobody_is_checked() {
    let (_, key) = known();
    for key in [
        CallerKey::Missing,
        CallerKey::Malformed,
        CallerKey::Unknown,
        key,
    ] {
        let verdict = authorization::judge(CallerFacts {
            has_organisations: false,
            copy_age: None,
            ..facts(key)
        });
        assert_eq!(verdict, Verdict::Unchecked);
    }
}

#[test]
fn a_known_key_passes_only_while_the_copy_is_proven_current_in_time() {
    let (acme, key) = known();
    let judge = |copy_age, revocation_time| {
        authorization::judge(CallerFacts {
            copy_age,
            revocation_time,
            ..facts(key.clone())
        })
    };
    let allowed = Verdict::Allowed(Some(acme));

    assert_eq!(judge(Some(LIFETIME.mul_f64(0.98)), Some(LIFETIME)), allowed);
    for age in [Some(LIFETIME), Some(LIFETIME * 9), None] {
        assert_eq!(judge(age, Some(LIFETIME)), Verdict::HandOver, "{age:?}");
        assert_eq!(judge(age, None), allowed, "{age:?}");
    }
}

#[test]
fn a_key_that_the_copy_lacks_is_refused_only_if_no_newer_copy_can_have_it() {
    for key in [CallerKey::Missing, CallerKey::Malformed, CallerKey::Unknown] {
        let judge = |copy_age, can_hand_over| {
            authorization::judge(CallerFacts {
                copy_age,
                can_hand_over,
                ..facts(key.clone())
            })
        };
        let behind = Some(LIFETIME * 2);
        assert_eq!(judge(Some(LIFETIME / 2), true), Verdict::Unauthorized);
        assert_eq!(judge(behind, true), Verdict::HandOver);
        assert_eq!(judge(behind, false), Verdict::Declined);
        assert_eq!(judge(None, false), Verdict::Declined);
    }
}

#[test]
fn a_public_route_needs_no_key_and_names_the_organisation_of_a_known_one() {
    let (acme, key) = known();
    let judge = |key, copy_age| {
        authorization::judge(CallerFacts {
            is_public: true,
            copy_age,
            ..facts(key)
        })
    };
    for age in [Some(Duration::ZERO), None] {
        assert_eq!(judge(CallerKey::Unknown, age), Verdict::Allowed(None));
        assert_eq!(judge(CallerKey::Missing, age), Verdict::Allowed(None));
        let verdict = judge(key.clone(), age);
        assert_eq!(verdict, Verdict::Allowed(Some(Arc::clone(&acme))));
    }
}

#[test]
fn only_one_key_in_the_form_of_a_bearer_is_read() {
    let read = |values: &[&[u8]]| {
        let key = authorization::read_key(values.iter().copied());
        key.map(|key| key.map(<[u8]>::to_vec))
    };
    let long = [b"Bearer ".as_slice(), &[b'k'; 1_025]].concat();

    assert_eq!(read(&[]), Ok(None));
    assert_eq!(read(&[b"Bearer k-1"]), Ok(Some(b"k-1".to_vec())));
    assert_eq!(read(&[b"bearer  k-1 "]), Ok(Some(b"k-1".to_vec())));
    let malformed: [&[&[u8]]; 9] = [
        &[b""],
        &[b"k-1"],
        &[b"Bearer"],
        &[b"Bearer "],
        &[b"Basic k-1"],
        &[b"Bearer k-1 k-2"],
        &[b"Bearer k\xff"],
        &[b"Bearer k-1", b"Bearer k-1"],
        &[&long],
    ];
    for values in malformed {
        assert_eq!(read(values), Err(Malformed), "{values:?}");
    }
}

#[test]
fn a_key_or_a_name_belongs_to_one_organisation() {
    let key = |text: &str| KeyDigest::of(text.as_bytes());
    let mut all = Organisations::default();

    assert!(all.add(organisation("acme"), &[key("k-1"), key("k-2")]));
    assert!(!all.add(organisation("other"), &[key("k-3"), key("k-2")]));
    assert!(!all.add(organisation("acme"), &[key("k-3")]));

    let name = |text: &str| {
        all.find(text.as_bytes())
            .map(|found| found.name.to_string())
    };
    assert_eq!(name("k-2").as_deref(), Some("acme"));
    assert_eq!(name("k-3"), None);
}

fn at(ms: u64) -> BootTime {
    BootTime(Duration::from_hours(1) + Duration::from_millis(ms))
}

fn revision(era: u64, number: u64) -> Revision {
    Revision { era, number }
}

fn proof(sent_ms: u64, revision: Revision) -> Proof {
    Proof {
        sent_at: at(sent_ms),
        revision,
    }
}

/// Returns the proofs of a host whose copy is at revision 10 and whose routes are of revision 4.
fn at_ten() -> CopyProofs {
    let mut proofs = CopyProofs::default();
    proofs.record_copy(revision(0, 10), revision(0, 4));
    proofs
}

fn age_ms(proofs: &CopyProofs, now: u64) -> Option<u128> {
    proofs.age(at(now)).map(|age| age.as_millis())
}

#[test]
fn the_age_of_a_proof_counts_from_the_call_however_late_the_answer_comes() {
    let mut proofs = at_ten();
    assert_eq!(age_ms(&proofs, 9_000), None);

    // The answers to both calls come at 8,000 ms, the later call's first; the clock goes on while
    // the machine is suspended.
    proofs.record_proof(proof(5_000, revision(0, 10)));
    proofs.record_proof(proof(1_000, revision(0, 10)));

    assert_eq!(age_ms(&proofs, 8_000), Some(3_000));
    assert_eq!(age_ms(&proofs, 68_000), Some(63_000));
}

#[test]
fn a_proof_of_changes_counts_once_the_copy_has_them() {
    let mut proofs = at_ten();
    proofs.record_proof(proof(0, revision(0, 10)));

    proofs.record_proof(proof(1_000, revision(0, 12)));
    proofs.record_proof(proof(2_000, revision(0, 13)));
    assert_eq!(age_ms(&proofs, 3_000), Some(3_000));
    proofs.record_copy(revision(0, 12), revision(0, 12));
    assert_eq!(age_ms(&proofs, 3_000), Some(2_000));
    proofs.record_copy(revision(0, 20), revision(0, 12));
    assert_eq!(age_ms(&proofs, 3_000), Some(1_000));
}

#[test]
fn a_proof_of_another_era_counts_once_the_copy_is_of_that_era() {
    let mut proofs = at_ten();

    proofs.record_proof(proof(1_000, revision(1, 3)));
    assert_eq!(age_ms(&proofs, 2_000), None);
    proofs.record_copy(revision(0, 11), revision(0, 4));
    assert_eq!(age_ms(&proofs, 2_000), None);
    proofs.record_copy(revision(1, 3), revision(1, 3));
    assert_eq!(age_ms(&proofs, 2_000), Some(1_000));

    proofs.record_proof(proof(1_500, revision(0, 2)));
    assert_eq!(age_ms(&proofs, 2_000), Some(1_000));
}

#[test]
fn a_host_without_any_copy_has_no_proof() {
    let mut proofs = CopyProofs::default();
    proofs.record_proof(proof(1_000, revision(0, 0)));
    assert_eq!(age_ms(&proofs, 2_000), None);
    assert_eq!(proofs.proof(), None);
}

#[test]
fn a_proof_passes_to_hosts_whose_copy_has_the_same_routes_and_ages_are_added() {
    let mut source = at_ten();
    source.record_proof(proof(1_000, revision(0, 10)));
    let told = source.proof().expect("proven");
    assert_eq!(told.revision, revision(0, 4));

    // The follower asked at 2,500 of its own clock, which is another one; the source answered at
    // 2,000 of its clock, at which its proof was a second old.
    let told_age = source.age(at(2_000)).expect("proven");
    let received = Proof {
        sent_at: BootTime(at(2_500).0.saturating_sub(told_age)),
        ..told
    };
    let mut follower = CopyProofs::default();
    follower.record_copy(revision(0, 3), revision(0, 3));
    follower.record_proof(received);
    assert_eq!(age_ms(&follower, 4_000), None);
    follower.record_copy(revision(0, 4), revision(0, 4));
    assert_eq!(age_ms(&follower, 4_000), Some(2_500));
    assert_eq!(follower.proof().expect("proven").sent_at, received.sent_at);
}

#[test]
fn proofs_are_renewed_early_enough_to_last_while_a_host_is_cut_off() {
    // The lead's proof is as old as can be, so is that of the source that asks it, and a follower
    // of the source is cut off just before it would ask again.
    let renewed = proof_renewal::renewal_delay(Some(Duration::ZERO), LIFETIME, 0.0);
    let retried = proof_renewal::retry_delay(LIFETIME, 1.0);
    assert!((renewed + 2 * retried) < LIFETIME.mul_f64(0.4));
    let oldest = renewed + retried;
    assert!(proof_renewal::is_recent(Some(oldest), LIFETIME));
    assert!(!proof_renewal::is_recent(None, LIFETIME));
    assert!(!proof_renewal::is_recent(Some(LIFETIME / 2), LIFETIME));
    let due = Some(Duration::from_secs(1));
    assert!(proof_renewal::renewal_delay(due, LIFETIME, 1.0).is_zero());
    assert!(proof_renewal::renewal_delay(None, LIFETIME, 1.0).is_zero());
}

#[test]
fn one_host_asks_the_registry_and_the_others_ask_hosts_first() {
    use Prover::{Lead, OtherHosts, Registry, Source};
    let provers = proof_renewal::provers;
    assert_eq!(provers(Role::Lead, true), [Registry, OtherHosts]);
    assert_eq!(provers(Role::Lead, false), [OtherHosts]);
    assert_eq!(provers(Role::Direct, true), [Lead, Registry, OtherHosts]);
    assert_eq!(provers(Role::Direct, false), [Lead, OtherHosts]);
    let follower = [Source, OtherHosts, Registry];
    assert_eq!(provers(Role::Follower, true), follower);
    assert_eq!(provers(Role::Follower, false), &follower[..2]);
    assert!(proof_renewal::asks(Role::Follower, Registry, false));
    assert!(!proof_renewal::asks(Role::Follower, Registry, true));
    assert!(proof_renewal::asks(Role::Direct, Registry, true));
}
