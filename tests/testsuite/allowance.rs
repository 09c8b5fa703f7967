//! The fleet retry budget, which hosts share without messages between them, and the rate
//! limit of cold leaves.

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    briarquay::{
        clock::Millis,
        state::{
            fleet_budget::{BudgetShare, FleetBudget, HostBudget},
            host_count::{HOST_COUNT_TTL, HostCount, OwnCount},
            warmup::Warmup,
        },
    },
    std::time::{Duration, Instant},
};

const FLEET: FleetBudget = FleetBudget {
    ratio: 0.2,
    extra: 58.0,
    window: Duration::from_secs(10),
};

/// Requests and retries of one host in each tenth of a second.
struct HostTraffic {
    requests: Vec<u32>,
    retries: Vec<u32>,
}

/// Simulates a host that retries whenever its budget allows it. `load` gives its requests
/// in each tenth of a second, `restarts` the tenths at which its process starts again.
fn simulate_host(share: BudgetShare, load: &[u32], restarts: &[usize]) -> HostTraffic {
    let start = Instant::now();
    let mut budget = HostBudget::new(start);
    let mut retries = Vec::new();
    for (step, requests) in load.iter().enumerate() {
        let now = start + Duration::from_millis(100) * u32::try_from(step).expect("few steps");
        if restarts.contains(&step) {
            budget = HostBudget::new(now);
        }
        for _ in 0..*requests {
            budget.earn(&FLEET, share, now);
        }
        let mut sent = 0;
        while budget.spend(&FLEET, share, 0, now) {
            sent += 1;
        }
        retries.push(sent);
    }
    HostTraffic {
        requests: load.to_vec(),
        retries,
    }
}

#[test]
fn hosts_together_stay_within_the_fleet_retry_budget_in_every_window() {
    arbtest(|random: &mut Unstructured<'_>| {
        let hosts = random.int_in_range(1..=12)?;
        // The first `sharers` hosts divide `extra`; the others get only the ratio.
        let sharers = random.int_in_range(1..=hosts)?;
        let mut traffic = Vec::new();
        for host in 0..hosts {
            let share = if host < sharers {
                BudgetShare::DividedAmong(sharers)
            } else {
                BudgetShare::OtherHosts
            };
            let mut load = Vec::new();
            for _ in 0..300 {
                load.push(random.int_in_range(0..=4)?);
            }
            let restarts = [random.int_in_range(0..=299)?, random.int_in_range(0..=299)?];
            traffic.push(simulate_host(share, &load, &restarts));
        }
        for first in 0..=200 {
            let sum = |steps: fn(&HostTraffic) -> &Vec<u32>| -> u32 {
                traffic
                    .iter()
                    .flat_map(|host| &steps(host)[first..first + 100])
                    .sum()
            };
            let requests = f64::from(sum(|host| &host.requests));
            let retries = f64::from(sum(|host| &host.retries));
            assert!(
                retries <= requests * FLEET.ratio + FLEET.extra,
                "{retries} retries of {requests} requests"
            );
        }
        Ok(())
    })
    .seed(0x00B8_7A40_0001_0000)
    .run();
}

#[test]
fn a_starting_host_has_no_retry_budget() {
    let now = Instant::now();
    let mut budget = HostBudget::new(now);
    assert!(!budget.spend(&FLEET, BudgetShare::DividedAmong(9), 0, now));
}

/// A resharding adds 270 services at once, whose leaves 25 hosts query for a fleet of 295.
/// New services with empty budgets would get no retries at first.
#[test]
fn a_service_added_while_the_host_runs_starts_with_a_full_budget() {
    let fleet = FleetBudget {
        extra: 630.0,
        ..FLEET
    };
    let now = Instant::now();
    let share = BudgetShare::DividedAmong(25);
    let mut budget = HostBudget::full(&fleet, share, now);
    let sent = (0..100)
        .filter(|_| budget.spend(&fleet, share, 0, now))
        .count();
    assert!((10..=13).contains(&sent), "half of 630 among 25: {sent}");

    let mut other = HostBudget::full(&fleet, BudgetShare::OtherHosts, now);
    assert!(!other.spend(
        &fleet,
        BudgetShare::OtherHosts,
        0,
        now + Duration::from_mins(1)
    ));
}

#[test]
fn a_host_with_few_requests_may_retry_after_some_seconds() {
    let start = Instant::now();
    let mut budget = HostBudget::new(start);
    budget.earn(&FLEET, BudgetShare::DividedAmong(9), start);
    assert!(budget.spend(
        &FLEET,
        BudgetShare::DividedAmong(9),
        0,
        start + Duration::from_secs(5)
    ));
}

#[test]
fn a_host_sends_a_cold_leaf_its_share_of_the_rate() {
    let start = Instant::now();
    let rate = Some(8.0);
    let mut warmup = Warmup::default();
    warmup.record_warmup(Duration::from_secs(3), start);
    let sent = |warmup: &mut Warmup, now| {
        let is_allowed = warmup.may_send(rate, now);
        if is_allowed {
            warmup.record_request(rate, 4, now);
        }
        u32::from(is_allowed)
    };
    let steps = (0..3_000).step_by(10).map(Duration::from_millis);
    let cold: u32 = steps.map(|step| sent(&mut warmup, start + step)).sum();
    assert_eq!(cold, 6, "a quarter of 8 a second, for 3 seconds");

    let warm = start + Duration::from_secs(4);
    assert_eq!((0..50).map(|_| sent(&mut warmup, warm)).sum::<u32>(), 50);
}

#[test]
fn a_repeated_report_does_not_extend_the_warmup() {
    let start = Instant::now();
    let mut warmup = Warmup::default();
    warmup.record_warmup(Duration::from_secs(3), start);
    warmup.record_warmup(Duration::from_secs(3), start + Duration::from_secs(2));
    assert!(!warmup.is_cold(start + Duration::from_millis(3_500)));
    warmup.record_warmup(Duration::from_millis(2_900), start + Duration::from_secs(4));
    assert!(warmup.is_cold(start + Duration::from_secs(5)));
}

/// The count of 9 was recorded an hour ago and has held since. If its age counted from the
/// recording, entries that expire together would raise the share of each remaining host in
/// the fleet's limits immediately.
#[test]
fn the_host_count_falls_only_after_its_ttl() {
    let mut host_count = HostCount::default();
    assert_eq!(host_count.record_count(9, Millis(1_000)), 9);
    let expired = Millis(3_600_000);
    assert_eq!(host_count.record_count(1, expired), 9);
    assert_eq!(
        host_count.record_count(1, expired.plus(HOST_COUNT_TTL / 2)),
        9
    );
    let later = expired.plus(HOST_COUNT_TTL * 2);
    assert_eq!(
        host_count.record_count(1, later),
        1,
        "the old count has expired"
    );
}

/// The registry ends the leases of some hosts, which serve on and can't tell. Guards against
/// others that divide the whole budget while these still use their shares.
#[test]
fn a_host_gives_up_its_share_before_the_others_stop_counting_it() {
    let mut seen_by_others = HostCount::default();
    let mut own = OwnCount::default();
    let renewed = Millis(100_000);
    own.record_renewal(renewed);
    seen_by_others.record_count(9, renewed);
    for second in 0..200 {
        let now = renewed.plus(Duration::from_secs(second));
        let count = seen_by_others.record_count(3, now);
        assert!(!own.is_counted(now) || count == 9, "after {second} s");
    }
}

/// Leaves that froze read, when they run again, all that was sent to them meanwhile. Guards
/// against a budget that counts attempts only when they are sent.
#[test]
fn attempts_that_may_still_arrive_count_as_attempts_of_the_next_window() {
    let share = BudgetShare::DividedAmong(9);
    let start = Instant::now();
    let mut budget = HostBudget::new(start);
    let mut unanswered = 0;
    for second in 0..60 {
        let now = start + Duration::from_secs(second);
        while budget.spend(&FLEET, share, unanswered, now) {
            unanswered += 1;
        }
    }
    // The leaves run again, and the host retries as much as it may.
    let woken = start + Duration::from_mins(1);
    let mut arrivals = unanswered;
    for tenth in 0..100 {
        let now = woken + Duration::from_millis(100) * tenth;
        while budget.spend(&FLEET, share, 0, now) {
            arrivals += 1;
        }
    }
    assert!(arrivals * 9 <= 58, "{arrivals} of one of nine hosts");
}

#[test]
fn a_host_has_no_share_before_it_is_registered() {
    let mut own = OwnCount::default();
    let start = Millis(50_000);
    assert!(!own.is_counted(start));
    own.record_renewal(start);
    assert!(own.is_counted(start));
}

#[test]
fn an_unknown_host_count_is_taken_to_be_large() {
    assert!(HostCount::default().record_count(0, Millis(0)) > 9);
}
