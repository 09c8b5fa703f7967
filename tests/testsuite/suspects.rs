//! Requests under which leaves ended: suspicion, holds, reports, and their limits.

use {
    briarquay::{
        collections::Name,
        protocol::fingerprint::Fingerprint,
        state::suspects::{Admission, Crash, CrashChange, CrashId, Reports, Suspects},
    },
    std::time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_hours(1);

fn request(path: &str) -> Fingerprint {
    Fingerprint::of_parts(&[path.as_bytes()])
}

fn crash(fingerprint: Fingerprint, start: u64, is_repeat: bool) -> Crash {
    Crash {
        id: CrashId { fingerprint, start },
        leaf: Name::from(format!("leaf-{start}")),
        is_repeat,
    }
}

fn desk() -> Name {
    Name::from("desk")
}

/// Records the end of a first leaf and of `repeats` more, one after the other.
fn suspects_after(fingerprint: Fingerprint, repeats: u64, now: Instant) -> Suspects {
    let mut suspects = Suspects::default();
    for start in 0..=repeats {
        suspects.record_crash(crash(fingerprint, start, start > 0), now);
    }
    suspects
}

/// Reports all that is due and returns it.
fn report(suspects: &mut Suspects, now: Instant) -> Reports {
    let reports = suspects.due_reports(now);
    suspects.record_reports(&reports);
    reports
}

#[test]
fn fingerprint_depends_on_each_part_and_on_where_it_ends() {
    let parts: [&[&[u8]]; 5] = [
        &[b"GET", b"desk", b"/one"],
        &[b"GET", b"desk", b"/on", b"e"],
        &[b"GET", b"desk/", b"one"],
        &[b"POST", b"desk", b"/one"],
        &[b"GET", b"desk", b"/one", b""],
    ];
    let fingerprints = parts.map(Fingerprint::of_parts);
    for (place, one) in fingerprints.iter().enumerate() {
        assert!(!fingerprints[place + 1..].contains(one));
        assert_eq!(one.to_string().parse(), Ok(*one));
    }
}

#[test]
fn a_suspect_is_at_one_leaf_at_a_time_and_other_requests_are_free() {
    let now = Instant::now();
    let (one, other) = (request("/one"), request("/other"));
    let mut suspects = suspects_after(one, 0, now);
    suspects.record_crash(crash(other, 9, false), now);

    assert_eq!(suspects.admit(one, &desk(), now), Admission::Alone);
    assert_eq!(
        suspects.admit(one, &Name::from("till"), now),
        Admission::Wait
    );
    assert_eq!(suspects.admit(other, &desk(), now), Admission::Wait);
    assert_eq!(suspects.admit(request("/x"), &desk(), now), Admission::Free);
    suspects.release(one, &desk());
    assert_eq!(suspects.admit(other, &desk(), now), Admission::Alone);
}

#[test]
fn leaves_that_end_together_under_a_first_attempt_hold_nothing() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    for start in 0..30 {
        let suspicion = suspects.record_crash(crash(request("/all"), start, false), now);
        assert_eq!(suspicion.map(|it| it.hold), Some(Duration::ZERO));
    }
    assert_eq!(
        suspects.admit(request("/all"), &desk(), now),
        Admission::Alone
    );
}

#[test]
fn the_same_end_counts_once() {
    let now = Instant::now();
    let mut suspects = suspects_after(request("/one"), 0, now);
    let again = crash(request("/one"), 0, true);

    assert_eq!(suspects.record_crash(again.clone(), now), None);
    assert_eq!(
        suspects.apply_change(CrashChange::Reported(again), now),
        None
    );
}

#[test]
fn holds_grow_with_the_leaves_that_end_under_a_suspect() {
    let now = Instant::now();
    let one = request("/one");
    let held = |repeats| suspects_after(one, repeats, now).held_for(one, now);

    let short = held(1).expect("it is held");
    assert!(short >= 4 * SECOND && short <= 8 * SECOND, "{short:?}");
    let long = [held(2), held(3), held(4), held(5), held(9)];
    assert_eq!(long, [4, 8, 16, 32, 32].map(|hours| Some(hours * HOUR)));
    let suspects = suspects_after(one, 1, now);
    assert_eq!(suspects.held_for(one, now + 8 * SECOND), None);
    assert_eq!(suspects.held_count(now), 1);
}

/// The rule allows three arrivals a day after the third end.
#[test]
fn a_request_that_goes_on_crashing_leaves_gets_to_at_most_three_more_in_a_day() {
    let one = request("/one");
    let start = Instant::now();
    let mut suspects = suspects_after(one, 2, start);
    let mut ended = 3;
    for minute in 0..24 * 60 {
        let now = start + minute * 60 * SECOND;
        if suspects.admit(one, &desk(), now) == Admission::Alone {
            suspects.record_crash(crash(one, ended, true), now);
            suspects.release(one, &desk());
            ended += 1;
        }
    }
    assert!(ended - 3 <= 3, "{ended} ended");
}

#[test]
fn a_reply_clears_the_request_and_withdraws_what_was_reported() {
    let now = Instant::now();
    let one = request("/one");
    let mut suspects = suspects_after(one, 1, now);
    let later = now + SECOND;
    assert_eq!(report(&mut suspects, later).added.len(), 2);

    assert_eq!(suspects.clear(one), 2);

    assert_eq!(suspects.admit(one, &desk(), later), Admission::Free);
    assert_eq!(report(&mut suspects, later).withdrawn.len(), 2);
    assert!(report(&mut suspects, later).is_empty());
}

#[test]
fn a_suspect_that_is_cleared_at_once_is_never_reported() {
    let now = Instant::now();
    let mut suspects = suspects_after(request("/one"), 0, now);
    assert!(suspects.due_reports(now).is_empty());

    suspects.clear(request("/one"));

    assert!(suspects.due_reports(now + SECOND).is_empty());
}

#[test]
fn a_request_that_is_cleared_while_its_report_is_on_its_way_is_withdrawn() {
    let now = Instant::now();
    let mut suspects = suspects_after(request("/one"), 0, now);
    let reports = suspects.due_reports(now + SECOND);

    suspects.clear(request("/one"));
    suspects.record_reports(&reports);

    assert_eq!(report(&mut suspects, now + SECOND).withdrawn.len(), 1);
}

#[test]
fn reports_of_other_hosts_hold_a_request_until_they_are_withdrawn() {
    let now = Instant::now();
    let one = request("/one");
    let mut suspects = Suspects::default();
    let crashes = [0, 1, 2].map(|start| crash(one, start, start > 0));
    for crash in crashes.clone() {
        suspects.apply_change(CrashChange::Reported(crash), now);
    }
    assert_eq!(suspects.held_for(one, now), Some(4 * HOUR));
    assert!(suspects.due_reports(now + HOUR).is_empty());

    for crash in &crashes {
        suspects.apply_change(CrashChange::Withdrawn(crash.id), now);
    }

    assert!(suspects.is_empty());
}

#[test]
fn a_copy_without_a_report_withdraws_it_unless_the_registry_was_restored() {
    let now = Instant::now();
    let one = request("/one");
    let reported = || {
        let mut suspects = suspects_after(one, 2, now);
        report(&mut suspects, now + SECOND);
        suspects
    };

    let mut current = reported();
    current.apply_copy(&[], None, now + SECOND);
    let mut restored = reported();
    restored.apply_copy(&[], Some(SECOND), now + SECOND);

    assert!(current.is_empty());
    assert!(restored.held_for(one, now + SECOND).is_some());
    assert!(restored.due_reports(now + SECOND).is_empty());
    assert_eq!(restored.due_reports(now + 2 * SECOND).added.len(), 3);
}

#[test]
fn an_end_that_is_not_reported_yet_survives_a_copy_without_it() {
    let now = Instant::now();
    let mut suspects = suspects_after(request("/one"), 0, now);

    suspects.apply_copy(&[], None, now);

    assert_eq!(suspects.due_reports(now + SECOND).added.len(), 1);
}

#[test]
fn an_end_that_was_none_is_withdrawn_and_ends_the_hold() {
    let now = Instant::now();
    let one = request("/one");
    let mut suspects = suspects_after(one, 1, now);
    report(&mut suspects, now + SECOND);
    assert!(suspects.take_due_checks(now + SECOND).is_empty());
    let due = suspects.take_due_checks(now + 7 * SECOND);
    assert_eq!(due.len(), 2);

    suspects.withdraw(due[0].id);

    assert_eq!(suspects.held_for(one, now + SECOND), None);
    assert_eq!(report(&mut suspects, now + SECOND).withdrawn, [due[0].id]);
}

#[test]
fn a_request_is_forgotten_a_day_after_its_hold() {
    let now = Instant::now();
    let one = request("/one");
    let mut suspects = suspects_after(one, 2, now);
    report(&mut suspects, now + SECOND);

    suspects.expire(now + 27 * HOUR);
    assert!(suspects.is_suspect(one));
    suspects.expire(now + 28 * HOUR);

    assert!(suspects.is_empty());
    assert_eq!(report(&mut suspects, now + 28 * HOUR).withdrawn.len(), 3);
}

/// A caller who makes requests suspect on purpose must not displace those that are held.
#[test]
fn a_flood_of_suspects_is_bounded_and_displaces_no_held_request() {
    let now = Instant::now();
    let one = request("/one");
    let mut suspects = suspects_after(one, 2, now);
    for number in 0..5_000 {
        let path = format!("/flood/{number}");
        suspects.record_crash(crash(request(&path), 100 + number, false), now + SECOND);
    }

    assert!(suspects.held_for(one, now + SECOND).is_some());
    let mut reported = 0;
    loop {
        let reports = report(&mut suspects, now + 2 * SECOND);
        assert!(reports.added.len() + reports.withdrawn.len() <= 32);
        if reports.is_empty() {
            break;
        }
        reported += reports.added.len();
    }
    assert!(reported <= 1_024, "{reported}");
}
