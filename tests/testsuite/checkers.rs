//! Tests of the checkers: each one reports a constructed violation, and none reports
//! anything in a run without violations.

use standin::{
    check::{self, Violation},
    history::{CallerGot, Event, RowSeen, Started, Timed},
    register::{Outcome, Register},
};

/// Time in microseconds far beyond [`check::IN_FORCE`], the time within which a change must
/// be in force.
const LATE_US: u64 = 60_000_000;

type Check<'a> = &'a dyn Fn(&[Timed]) -> Vec<Violation>;

fn timed(events: Vec<(u64, Event)>) -> Vec<Timed> {
    let timed = events.into_iter();
    timed.map(|(at_us, event)| Timed { at_us, event }).collect()
}

fn row(shard: u32, echo: &str, version: u64) -> RowSeen {
    RowSeen {
        shard,
        echo: echo.to_owned(),
        version,
        n: 0,
        of: 1,
    }
}

fn response(rows: Vec<RowSeen>) -> CallerGot {
    CallerGot {
        request: "q".to_owned(),
        echoed: "q".to_owned(),
        status: 200,
        run: "ran".to_owned(),
        snapshot: 3,
        answered: u32::try_from(rows.len()).expect("few"),
        total: 2,
        rows,
        ..CallerGot::default()
    }
}

fn started_work() -> Started {
    Started {
        target: "t".to_owned(),
        domain: "north".to_owned(),
        service: "search".to_owned(),
        request: "q".to_owned(),
        in_flight: 1,
        slots: 2,
        connections: 1,
        connection_limit: 2,
        ..Started::default()
    }
}

fn work_started(change: impl FnOnce(&mut Started)) -> Event {
    let mut event = started_work();
    change(&mut event);
    Event::Started(event)
}

fn mark(what: &str) -> Event {
    Event::Mark {
        what: what.to_owned(),
    }
}

fn target_cold() -> Event {
    Event::Cold {
        target: "t".to_owned(),
    }
}

fn applied(revision: u64) -> Event {
    Event::Applied {
        daemon: "d".to_owned(),
        term: 1,
        revision,
    }
}

fn crashed(target: &str) -> Event {
    Event::Crashed {
        target: target.to_owned(),
        request: "poison".to_owned(),
    }
}

fn failed_response(run: &str) -> Event {
    Event::CallerGot(CallerGot {
        request: "q".to_owned(),
        run: run.to_owned(),
        ..CallerGot::default()
    })
}

fn caller_got(response: CallerGot) -> Event {
    Event::CallerGot(response)
}

#[test]
fn each_checker_reports_a_constructed_violation() {
    let leaving = Event::Leaving {
        target: "t".to_owned(),
    };
    let work_with_key = || work_started(|work| work.key = Some("k".to_owned()));
    let two_crashes = |events: &[Timed]| check::poison_bound(events, 1);
    let cases: Vec<(Check<'_>, Vec<(u64, Event)>)> = vec![
        (
            &check::one_snapshot,
            vec![(
                1,
                caller_got(response(vec![row(0, "q", 3), row(1, "q", 4)])),
            )],
        ),
        (
            &check::true_coverage,
            vec![(
                1,
                caller_got(response(vec![row(0, "q", 3), row(0, "q", 3)])),
            )],
        ),
        (
            &check::true_coverage,
            vec![(1, caller_got(response(vec![row(0, "q", 3)])))],
        ),
        (
            &check::own_answer,
            vec![(
                1,
                caller_got(response(vec![row(0, "other", 3), row(1, "q", 3)])),
            )],
        ),
        (
            &check::own_answer,
            vec![(
                1,
                caller_got(response(vec![
                    RowSeen {
                        of: 2,
                        ..row(0, "q", 3)
                    },
                    row(1, "q", 3),
                ])),
            )],
        ),
        (
            &check::slots,
            vec![(1, work_started(|work| work.in_flight = 3))],
        ),
        (
            &check::connections,
            vec![(1, work_started(|work| work.connections = 3))],
        ),
        (
            &check::cold_bound,
            vec![
                (1, target_cold()),
                (
                    2,
                    work_started(|work| (work.cold_bears, work.in_flight) = (1, 2)),
                ),
            ],
        ),
        (
            &check::domain_out,
            vec![
                (1, mark("domain-out north")),
                (LATE_US, work_started(|_| ())),
            ],
        ),
        (
            &check::leaving,
            vec![
                (1, leaving),
                (LATE_US, work_started(|work| work.leaving = true)),
            ],
        ),
        (
            &check::not_run,
            vec![(1, work_started(|_| ())), (2, failed_response("not_run"))],
        ),
        (
            &check::at_most_once,
            vec![(1, work_with_key()), (2, work_with_key())],
        ),
        (&check::revisions, vec![(1, applied(3)), (2, applied(2))]),
        (
            &check::nothing_lost,
            vec![(1, failed_response("may_have_run"))],
        ),
        (&two_crashes, vec![(1, crashed("a")), (2, crashed("b"))]),
    ];
    for (index, (check, events)) in cases.into_iter().enumerate() {
        assert_eq!(check(&timed(events)).len(), 1, "case {index}");
    }
}

#[test]
fn checkers_report_nothing_in_a_run_without_violations() {
    let events = timed(vec![
        (1, applied(1)),
        (2, target_cold()),
        (3, work_started(|work| work.cold_bears = 1)),
        (4, mark("domain-out north")),
        (5, work_started(|_| ())),
        (
            6,
            caller_got(response(vec![row(0, "q", 3), row(1, "q", 3)])),
        ),
        (7, mark("domain-back north")),
        (LATE_US, work_started(|_| ())),
        (LATE_US, failed_response("may_have_run")),
        (LATE_US, applied(2)),
    ]);
    assert_eq!(check::all(&events), []);
}

#[test]
fn the_register_rejects_outcomes_that_no_sequential_order_explains() {
    let is_linearizable = |steps: &[(usize, &str, u64, Option<Outcome>)]| {
        let register = Register::default();
        for (operator, change, base, outcome) in steps {
            match outcome {
                None => register.called(*operator, change, *base),
                Some(outcome) => register.returned(*operator, change, *base, *outcome),
            }
        }
        register.is_linearizable()
    };
    let (second, third) = (Outcome::Accepted(2), Outcome::Accepted(3));
    let linearizable = is_linearizable(&[
        (0, "a", 1, None),
        (1, "b", 1, None),
        (1, "b", 1, Some(Outcome::Conflict(2))),
        (0, "a", 1, Some(second)),
        (1, "a", 1, None),
        (1, "a", 1, Some(second)),
    ]);
    let both_accepted = is_linearizable(&[
        (0, "a", 1, None),
        (1, "b", 1, None),
        (0, "a", 1, Some(second)),
        (1, "b", 1, Some(second)),
    ]);
    let conflict_too_early = is_linearizable(&[
        (1, "b", 1, None),
        (1, "b", 1, Some(Outcome::Conflict(2))),
        (0, "a", 1, None),
        (0, "a", 1, Some(second)),
    ]);
    let applied_twice = is_linearizable(&[
        (0, "a", 1, None),
        (0, "a", 1, Some(second)),
        (0, "a", 2, None),
        (0, "a", 2, Some(third)),
    ]);
    assert!(linearizable);
    assert!(!both_accepted && !conflict_too_early && !applied_twice);
}
