//! Targets get no more requests than their slots and their cold limit allow, and no new ones
//! while they are leaving or their domain is out.

use {
    crate::fixtures::{
        assert_clean, changed, deploy, plan, search, set_domain, set_leaving, spawn_load,
    },
    briarquay::{declaration::DomainState, deployment::Plan, settings::Routing},
    standin::{
        check,
        client::{Ask, Caller},
        store::Host,
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Time after which an accepted change of the declaration must be in force, with a margin.
const IN_FORCE_WAIT: Duration = Duration::from_millis(6_500);

/// Deadline that the slow targets don't meet.
const SHORT_DEADLINE: Duration = Duration::from_millis(40);

/// Time within which an owner's digest that lists a slow leaf has reached all daemons.
const GOSSIP_WAIT: Duration = Duration::from_secs(1);

/// Runs a load on a fleet of cold targets while targets crash, an owner dies and a daemon joins.
async fn run_load_on_cold_targets(routing: Routing) -> Vec<standin::history::Timed> {
    let mut deployment = deploy(Plan {
        routing,
        warm: false,
        ..plan(6, 9)
    })
    .await;
    let load = spawn_load(&deployment, 700, 120.0);
    for round in 0..5 {
        sleep(Duration::from_millis(700)).await;
        for target in deployment.fleet.targets().iter().skip(round).step_by(5) {
            target.crash();
        }
        if round == 2 {
            // The leaves of this daemon change owners while some of them are cold.
            drop(deployment.daemons.remove(4));
        }
        if round == 3 {
            // A new daemon does not know which leaves are cold.
            deployment.add_daemon().await.expect("it starts");
        }
    }
    load.await.expect("the load ends");
    deployment.history.events()
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_target_gets_no_more_requests_than_its_limit() {
    let events = run_load_on_cold_targets(Routing::Owners).await;
    assert_clean(&events);
}

#[tokio::test(flavor = "multi_thread")]
async fn nine_daemons_that_send_directly_exceed_cold_limits_or_slots() {
    let events = run_load_on_cold_targets(Routing::Direct).await;
    let broken = check::cold_bound(&events).len() + check::slots(&events).len();
    assert!(broken > 0, "without owners, the limits are exceeded");
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_notice_deadlines_late_get_no_more_requests_than_slots() {
    // Arrange
    let mut plan = plan(6, 3);
    plan.behaviour.late_ms = 60;
    let deployment = deploy(plan).await;
    for target in deployment.fleet.targets().iter().step_by(4) {
        target.change(|behaviour| behaviour.slow_factor = 100);
    }

    // Act: send requests that don't end before their deadline at the slow targets.
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..9 {
        let entry = deployment.entries()[number % 3];
        let caller = Caller::new(entry, deployment.history.clone());
        callers.spawn(async move {
            for turn in 0..20 {
                let ask = Ask::query("search", &format!("late-{number}-{turn}"), SHORT_DEADLINE);
                caller.ask(&ask).await;
            }
        });
    }
    callers.join_all().await;

    // Assert
    assert_clean(&deployment.history.events());
}

#[tokio::test(flavor = "multi_thread")]
async fn target_that_turns_cold_without_a_restart_gets_its_cold_limit_once_replies_slow_down() {
    // Arrange
    let mut plan = plan(6, 5);
    // Cold replies take longer than any warm one.
    plan.behaviour.cold_factor = 12;
    let deployment = deploy(plan).await;
    let load = spawn_load(&deployment, 400, 150.0);

    // Act
    for target in deployment.fleet.of_service("search").step_by(3) {
        sleep(Duration::from_millis(400)).await;
        target.turn_cold();
    }
    load.await.expect("the load ends");

    // Assert
    assert_clean(&deployment.history.events());
}

#[tokio::test(flavor = "multi_thread")]
async fn domain_that_is_out_gets_no_new_requests_and_is_used_again_afterwards() {
    // Arrange
    let deployment = deploy(plan(6, 5)).await;
    let load = spawn_load(&deployment, 1_500, 120.0);
    sleep(Duration::from_millis(500)).await;

    // Act
    let out = changed(deployment.fleet.document(), |declaration| {
        set_domain(declaration, "north", DomainState::Out);
    });
    let revision = deployment.apply(1, out, "district power cut").await;
    deployment.history.mark("domain-out north");
    deployment.store.set_fault(standin::store::Fault {
        down: true,
        ..Default::default()
    });
    sleep(IN_FORCE_WAIT).await;
    deployment.store.set_fault(standin::store::Fault::default());
    for target in deployment.fleet.targets() {
        if target.spec().domain == "north" {
            target.crash();
        }
    }
    sleep(Duration::from_secs(1)).await;
    deployment.history.mark("domain-back north");
    let back = deployment.fleet.document().to_owned();
    let revision = revision.expect("the domain is taken out");
    deployment
        .apply(revision, back, "power is back")
        .await
        .expect("the domain is brought back");
    let got = load.await.expect("the load ends");

    // Assert
    let events = deployment.history.events();
    assert_clean(&events);
    let last = &got[1_400..];
    assert!(last.iter().all(|got| got.answered == got.total));
}

/// The only source that reports a target as leaving; the others report it as serving.
#[derive(Clone, Copy, Debug)]
enum LeavingSource {
    ReplyHeader,
    HostList,
    Declaration,
}

/// Checks that a target gets no new requests once `source` reports it as leaving.
async fn check_leaving_target(source: LeavingSource) {
    let deployment = deploy(plan(4, 3)).await;
    let load = spawn_load(&deployment, 800, 100.0);
    sleep(Duration::from_millis(300)).await;
    let name = "search-2";
    let target = deployment.fleet.target(name).expect("it runs");
    target.change(|behaviour| {
        behaviour.leaving = true;
        behaviour.lies = !matches!(source, LeavingSource::ReplyHeader);
    });
    match source {
        LeavingSource::ReplyHeader => {}
        LeavingSource::HostList => deployment.store.set_hosts(vec![Host {
            host: name.to_owned(),
            state: "leaving".to_owned(),
        }]),
        LeavingSource::Declaration => {
            let document = changed(deployment.fleet.document(), |declaration| {
                set_leaving(declaration, name);
            });
            deployment
                .apply(1, document, "host is replaced")
                .await
                .expect("the declaration changes");
        }
    }
    load.await.expect("the load ends");
    let events = deployment.history.events();
    assert_clean(&events);
    let got = search(&deployment, deployment.entries()[0], "after").await;
    assert_eq!(got.answered, 4, "{source:?}: the other replica answers");
}

#[tokio::test(flavor = "multi_thread")]
async fn target_that_its_replies_report_as_leaving_gets_no_new_requests() {
    check_leaving_target(LeavingSource::ReplyHeader).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn target_that_the_host_list_reports_as_leaving_gets_no_new_requests() {
    check_leaving_target(LeavingSource::HostList).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn target_that_the_declaration_reports_as_leaving_gets_no_new_requests() {
    check_leaving_target(LeavingSource::Declaration).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_leaf_found_by_one_entry_host_delays_no_request_of_the_others() {
    // Arrange
    let mut plan = plan(6, 3);
    plan.document = changed(&plan.document, |declaration| {
        declaration.services[0].hedge.percentile = 0;
        declaration.services[0].canary = false;
    });
    let deployment = deploy(plan).await;
    deployment.fleet.targets()[0].change(|behaviour| behaviour.slow_factor = 2_000);
    let [first, others @ ..] = &deployment.entries()[..] else {
        panic!("three entry hosts");
    };
    for number in 0..12 {
        search(&deployment, *first, &format!("first-{number}")).await;
    }
    sleep(GOSSIP_WAIT).await;

    // Act
    let mut got = Vec::new();
    for (number, entry) in others.iter().cycle().take(12).enumerate() {
        got.push(search(&deployment, *entry, &format!("other-{number}")).await);
    }

    // Assert
    let late = got.iter().filter(|got| got.answered < got.total);
    let late: Vec<_> = late.collect();
    assert!(late.is_empty(), "{late:#?}");
    assert_clean(&deployment.history.events());
}
