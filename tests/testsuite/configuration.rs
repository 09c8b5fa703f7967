//! An accepted configuration is in force on all daemons within seconds and never reverts;
//! planned shutdowns lose no request and no coverage.

use {
    crate::fixtures::{assert_clean, changed, deploy, plan, search, search_load},
    briarquay::{
        Declaration, Settings,
        coordination::rollout::{ChangeRecord, Record, Submission},
        coordinator::{store_sync::Watched, submit::Submitted},
        deployment::Deployment,
        transport::store::{HttpStore, Store},
    },
    standin::{
        History, check,
        client::{Ask, Caller},
        history::CallerGot,
        register::{Outcome, Register},
        store::Fault,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

const STORE_DOWN: Fault = Fault {
    down: true,
    delay_ms: 0,
    lose_answers: 0,
};

fn submission(id: &str, base: u64, document: String) -> Submission {
    Submission {
        id: id.into(),
        base,
        who: id.to_owned(),
        why: format!("reason of {id}"),
        document,
    }
}

fn variant(deployment: &Deployment, slots: u32) -> String {
    changed(deployment.fleet.document(), |declaration| {
        declaration.services[0].limits.connections = 8 + slots;
    })
}

async fn in_force_everywhere(deployment: &Deployment, revision: u64) -> Duration {
    let started = Instant::now();
    loop {
        let states = deployment.daemons.iter().map(briarquay::Daemon::status);
        if states.into_iter().all(|state| state.revision >= revision) {
            return started.elapsed();
        }
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "not within 10 s"
        );
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_submissions_one_is_accepted_and_one_conflicts() {
    // Arrange
    let deployment = deploy(plan(4, 5)).await;
    let (ana, ben) = (variant(&deployment, 1), variant(&deployment, 2));

    for round in 0..5 {
        // Act
        let base = 1 + round;
        let first = submission(&format!("ana-{round}"), base, ana.clone());
        let second = submission(&format!("ben-{round}"), base, ben.clone());
        let (one, other) = tokio::join!(
            deployment.daemons[0].submit(&first),
            deployment.daemons[3].submit(&second)
        );

        // Assert
        let (accepted, conflict) = match (&one, &other) {
            (Submitted::Accepted(revision), Submitted::Conflict(conflict))
            | (Submitted::Conflict(conflict), Submitted::Accepted(revision)) => {
                (*revision, conflict)
            }
            both => panic!("{both:?}"),
        };
        assert_eq!(accepted, base + 1);
        let winner = conflict.lost_to.as_ref().expect("the winner is named");
        assert!(winner.why.starts_with("reason of "));
        in_force_everywhere(&deployment, accepted).await;
    }
    assert_clean(&deployment.history.events());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resubmission_after_a_lost_store_response_is_accepted_once() {
    // Arrange
    let deployment = deploy(plan(4, 3)).await;
    deployment.store.set_fault(Fault {
        lose_answers: 1,
        ..Fault::default()
    });

    // Act
    let change = submission("lost", 1, variant(&deployment, 1));
    let first = deployment.daemons[0].submit(&change).await;
    let again = deployment.daemons[1].submit(&change).await;

    // Assert
    assert!(matches!(first, Submitted::Accepted(2)), "{first:?}");
    assert!(matches!(again, Submitted::Accepted(2)), "{again:?}");
    in_force_everywhere(&deployment, 2).await;
    let trail = deployment.daemons[2].history(true).await.expect("a trail");
    assert_eq!(
        trail.iter().filter(|change| &*change.id == "lost").count(),
        1
    );
}

/// Submits a change to one daemon after the other until its outcome is known.
async fn submit_until_known(deployment: &Deployment, first: usize, change: &Submission) -> Outcome {
    let deadline = Instant::now() + Duration::from_mins(1);
    for attempt in 0.. {
        let daemon = &deployment.daemons[(first + attempt) % deployment.daemons.len()];
        match daemon.submit(change).await {
            Submitted::Accepted(revision) => return Outcome::Accepted(revision),
            Submitted::Conflict(conflict) => return Outcome::Conflict(conflict.revision),
            Submitted::Invalid(problems) => panic!("{problems}"),
            Submitted::Unavailable(_) | Submitted::Unknown => {
                assert!(Instant::now() < deadline, "{} stays unknown", change.id);
                sleep(Duration::from_millis(15)).await;
            }
        }
    }
    unreachable!("attempts never end")
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_submissions_are_linearizable_despite_outages_and_lost_responses() {
    // Arrange
    let deployment = Arc::new(deploy(plan(4, 4)).await);
    let register = Arc::new(Register::default());

    // Act
    let mut operators = tokio::task::JoinSet::new();
    for operator in 0..5 {
        let (deployment, register) = (Arc::clone(&deployment), Arc::clone(&register));
        operators.spawn(async move {
            for turn in 0..8_usize {
                let daemon = (operator + turn) % 4;
                let base = deployment.daemons[daemon].status().revision;
                let id = format!("change-{operator}-{turn}");
                let slots = u32::try_from(10 * operator + turn).expect("small");
                let change = submission(&id, base, variant(&deployment, slots));
                register.called(operator, &id, base);
                let outcome = submit_until_known(&deployment, daemon, &change).await;
                register.returned(operator, &id, base, outcome);
                sleep(Duration::from_millis(20)).await;
            }
        });
    }
    for round in 0..12 {
        sleep(Duration::from_millis(60)).await;
        deployment.store.set_fault(Fault {
            down: round % 4 == 3,
            delay_ms: 3,
            lose_answers: 2,
        });
    }
    deployment.store.set_fault(Fault::default());
    operators.join_all().await;

    // Assert
    assert!(register.is_linearizable(), "no order explains the outcomes");
    let newest = deployment.daemons[0].status().revision;
    assert!(newest > 5, "changes were accepted: {newest}");
    in_force_everywhere(&deployment, newest).await;
    assert_clean(&deployment.history.events());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_reaches_all_daemons_when_the_store_fails() {
    // Arrange
    let deployment = deploy(plan(4, 9)).await;

    // Act
    let change = submission("last", 1, variant(&deployment, 1));
    let accepted = deployment.daemons[8].submit(&change).await;
    deployment.store.set_fault(STORE_DOWN);

    // Assert
    assert!(matches!(accepted, Submitted::Accepted(2)), "{accepted:?}");
    in_force_everywhere(&deployment, 2).await;
    assert_clean(&deployment.history.events());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_daemon_serves_with_configuration_from_its_peers_while_the_store_is_down() {
    // Arrange
    let mut deployment = deploy(plan(4, 3)).await;
    deployment.store.set_fault(STORE_DOWN);

    // Act
    deployment.add_daemon().await.expect("it starts");
    in_force_everywhere(&deployment, 1).await;
    sleep(Duration::from_millis(500)).await;
    let got = search(&deployment, deployment.entries()[3], "fresh").await;

    // Assert
    assert_eq!((got.status, got.answered), (200, 4), "{got:?}");
    assert_clean(&deployment.history.events());
}

/// The store is restored from a copy without revision 3; a revision of that number would be
/// ignored by all daemons.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_after_the_store_lost_one_is_in_force_with_both_in_the_audit_trail() {
    // Arrange
    let deployment = deploy(plan(4, 5)).await;
    let copy = deployment.store.copy();
    let lost = submission("lost", 1, variant(&deployment, 1));
    assert!(matches!(
        deployment.daemons[0].submit(&lost).await,
        Submitted::Accepted(2)
    ));
    in_force_everywhere(&deployment, 2).await;
    deployment.store.restore(copy);

    // Act
    let next = submission("next", 2, variant(&deployment, 2));
    let submitted = deployment.daemons[3].submit(&next).await;

    // Assert
    assert!(matches!(submitted, Submitted::Accepted(3)), "{submitted:?}");
    in_force_everywhere(&deployment, 3).await;
    let trail = deployment.daemons[1].history(true).await.expect("a trail");
    let ids: Vec<&str> = trail.iter().map(|change| &*change.id).collect();
    assert_eq!(ids[ids.len() - 2..], ["lost", "next"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_the_store_lost_is_written_again() {
    // Arrange
    let deployment = deploy(plan(4, 5)).await;
    let copy = deployment.store.copy();
    let change = submission("lost", 1, variant(&deployment, 1));
    deployment.daemons[0].submit(&change).await;
    in_force_everywhere(&deployment, 2).await;

    // Act
    deployment.store.restore(copy);

    // Assert
    let key = Watched::Declaration.store_key(&Settings::default().cluster);
    let store = HttpStore::new(deployment.store.address);
    let until = Instant::now() + Duration::from_secs(30);
    loop {
        let entry = store.read(&key).await.expect("the store replies");
        let record = Record::parse(entry.expect("a record").value.as_bytes()).expect("a record");
        if record.revision == 2 {
            assert_eq!(record.changes.last().map(|last| &*last.id), Some("lost"));
            break;
        }
        assert!(Instant::now() < until, "revision {}", record.revision);
        sleep(Duration::from_millis(100)).await;
    }
}

/// A daemon that lacked the lost change accepted another one on the older copy.
#[test]
fn changes_accepted_on_an_older_copy_follow_the_lost_ones() {
    let change = |id: &str, revision| ChangeRecord {
        id: id.into(),
        revision,
        base: revision - 1,
        who: "ana".to_owned(),
        why: String::new(),
        at_ms: 0,
    };
    let record = |document: &str, changes: &[ChangeRecord]| Record {
        revision: changes.last().map_or(0, |last| last.revision),
        document: document.to_owned(),
        changes: changes.to_vec(),
        archives: 0,
    };
    let known = record("lost", &[change("a", 1), change("lost", 2)]);
    let store = record("later", &[change("a", 1), change("later", 2)]);

    assert!(store.has_lost(&known));
    let recovered = store.recover(&known);

    assert_eq!((recovered.revision, &*recovered.document), (3, "later"));
    let ids: Vec<&str> = recovered.changes.iter().map(|change| &*change.id).collect();
    assert_eq!(ids, ["a", "lost", "later"]);
    assert!(!recovered.has_lost(&known) && !recovered.has_lost(&store.recover(&known)));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_audit_trail_contains_every_change_including_archived_ones() {
    // Arrange
    let deployment = deploy(plan(2, 1)).await;

    // Act
    for base in 1..=230 {
        let document = variant(&deployment, u32::try_from(base % 5).expect("small"));
        let change = submission(&format!("change-{base}"), base, document);
        let submitted = deployment.daemons[0].submit(&change).await;
        assert!(matches!(submitted, Submitted::Accepted(_)), "{submitted:?}");
    }

    // Assert
    let trail = deployment.daemons[0].history(true).await.expect("a trail");
    let revisions: Vec<u64> = trail.iter().map(|change| change.revision).collect();
    assert_eq!(revisions, (1..=231).collect::<Vec<u64>>());
}

/// Addresses of the daemons that a load balancer considers ready.
type ReadyAddresses = Arc<Mutex<Vec<SocketAddr>>>;

/// Sends queries to ready daemons for 12 s.
async fn balanced_load(history: History, ready: ReadyAddresses) -> Vec<CallerGot> {
    let load = search_load(1_800, 150.0);
    let mut requests = tokio::task::JoinSet::new();
    let mut due = Instant::now();
    for number in 0..load.count {
        due += Duration::from_secs_f64(1.0 / load.rate);
        tokio::time::sleep_until(due).await;
        let entry = {
            let ready = ready.lock().expect("the lock");
            ready[number as usize % ready.len()]
        };
        let caller = Caller::new(entry, history.clone());
        let ask = Ask::query("search", &format!("r-{number}"), load.deadline);
        requests.spawn(async move { caller.ask(&ask).await });
    }
    requests.join_all().await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_interrupts_no_request_and_loses_no_coverage() {
    // Arrange
    let mut deployment = deploy(plan(6, 5)).await;
    let ready: ReadyAddresses = Arc::new(Mutex::new(deployment.entries()));
    let history = deployment.history.clone();

    // Act
    let callers = tokio::spawn(balanced_load(history.clone(), Arc::clone(&ready)));
    for _ in 0..5 {
        sleep(Duration::from_millis(300)).await;
        let daemon = deployment.daemons.remove(0);
        // The load balancer notices the failed readiness only after a delay.
        let address = daemon.caller_address();
        let stopping = tokio::spawn(daemon.stop());
        sleep(Duration::from_millis(60)).await;
        ready
            .lock()
            .expect("the lock")
            .retain(|one| *one != address);
        stopping.await.expect("the daemon stops");
        deployment.add_daemon().await.expect("a new daemon starts");
        let new_address = deployment
            .entries()
            .pop()
            .expect("the daemon has an address");
        deployment.settle().await.expect("the daemon joins");
        ready.lock().expect("the lock").push(new_address);
    }
    callers.await.expect("the load ends");

    // Assert
    let events = history.events();
    assert_clean(&events);
    assert_eq!(check::nothing_lost(&events), []);
}

#[test]
fn invalid_documents_are_rejected_with_the_place_of_each_problem() {
    let valid = crate::fixtures::small(2);
    let cases = [
        (
            "slots: 2",
            "slots: 0",
            "services.search.slots: 0 is not allowed; use 1 to 1024",
        ),
        ("slots: 2", "slots: 9999", "slots: 9999"),
        (
            "connections: 8",
            "connections: 1",
            "connections: 1 is not allowed; use 2",
        ),
        ("shards: 2", "shards: 3", "shard 2 has no replica"),
        ("shards: 2", "shards: 0", "shards: 0 is not allowed"),
        (
            "domain: south",
            "domain: west",
            "domain west is not declared",
        ),
        ("name: search-1\n", "name: search-0\n", "named twice"),
        ("name: search\n", "name: Se arch\n", "not a name"),
        (
            "127.0.0.1:20000",
            "127.0.0.1:20001",
            "already an address of",
        ),
        (
            "shards: 2",
            "shards: 2\n    colour: red",
            "unknown field `colour`",
        ),
        ("127.0.0.1:20000", "localhost:1", "invalid socket address"),
    ];
    for (from, to, expected) in cases {
        let invalid = valid.replacen(from, to, 1);
        assert_ne!(invalid, valid, "{from}");
        let problems = Declaration::parse(&invalid).expect_err(to).to_string();
        assert!(problems.contains(expected), "{to}: {problems}");
        assert!(problems.contains("line"), "{problems}");
    }
    let huge = format!("{valid}# {}", "x".repeat(1 << 20));
    let problems = Declaration::parse(&huge).expect_err("too long").to_string();
    assert!(problems.contains("too many"), "{problems}");
}
