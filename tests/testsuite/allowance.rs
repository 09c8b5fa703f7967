//! The fleet's allowance, shared out with no word between hosts.

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    briarquay::{
        clock::Millis,
        state::{
            allowance::{Allowance, FleetAllowance, Share},
            headcount::{HOST_COUNT_TTL, Headcount},
            warmup::Warmup,
        },
    },
    std::time::{Duration, Instant},
};

const FLEET: FleetAllowance = FleetAllowance {
    ratio: 0.2,
    extra: 58.0,
    window: Duration::from_secs(10),
};

/// Requests and sends of one host, by the tenth of a second.
struct Played {
    requests: Vec<u32>,
    sends: Vec<u32>,
}

/// Plays a host for 30 s that sends again whenever it may; `load` gives its requests in
/// each tenth of a second, `restarts` when it starts anew.
fn play(share: Share, load: &[u32], restarts: &[usize]) -> Played {
    let start = Instant::now();
    let mut allowance = Allowance::new(start);
    let mut sends = Vec::new();
    for (step, requests) in load.iter().enumerate() {
        let now = start + Duration::from_millis(100) * u32::try_from(step).expect("few steps");
        if restarts.contains(&step) {
            allowance = Allowance::new(now);
        }
        for _ in 0..*requests {
            allowance.earn(&FLEET, share, now);
        }
        let mut sent = 0;
        while allowance.spend(&FLEET, share, now) {
            sent += 1;
        }
        sends.push(sent);
    }
    Played {
        requests: load.to_vec(),
        sends,
    }
}

#[test]
fn no_window_of_the_fleet_holds_more_than_the_allowance() {
    arbtest(|random: &mut Unstructured<'_>| {
        let hosts = random.int_in_range(1..=12)?;
        // Either all share, or some do and the others only earn.
        let askers = random.int_in_range(1..=hosts)?;
        let mut played = Vec::new();
        for host in 0..hosts {
            let share = if host < askers {
                Share::Among(askers)
            } else {
                Share::Others
            };
            let mut load = Vec::new();
            for _ in 0..300 {
                load.push(random.int_in_range(0..=4)?);
            }
            let restarts = [random.int_in_range(0..=299)?, random.int_in_range(0..=299)?];
            played.push(play(share, &load, &restarts));
        }
        for first in 0..=200 {
            let sum = |steps: fn(&Played) -> &Vec<u32>| -> u32 {
                played
                    .iter()
                    .flat_map(|host| &steps(host)[first..first + 100])
                    .sum()
            };
            let requests = f64::from(sum(|host| &host.requests));
            let sends = f64::from(sum(|host| &host.sends));
            assert!(
                sends <= requests * FLEET.ratio + FLEET.extra,
                "{sends} of {requests}"
            );
        }
        Ok(())
    })
    .seed(0x00B8_7A40_0001_0000)
    .run();
}

#[test]
fn a_starting_host_has_nothing_saved() {
    let now = Instant::now();
    let mut allowance = Allowance::new(now);
    assert!(!allowance.spend(&FLEET, Share::Among(9), now));
}

/// A reshard: 270 new services at once, whose leaves few hosts ask for a fleet of 295.
#[test]
fn a_service_that_came_up_meanwhile_begins_with_what_could_be_saved() {
    let fleet = FleetAllowance {
        extra: 630.0,
        ..FLEET
    };
    let now = Instant::now();
    let share = Share::Among(25);
    let mut allowance = Allowance::saved(&fleet, share, now);
    let sent = (0..100)
        .filter(|_| allowance.spend(&fleet, share, now))
        .count();
    assert!((10..=13).contains(&sent), "half of 630 among 25: {sent}");

    let mut other = Allowance::saved(&fleet, Share::Others, now);
    assert!(!other.spend(&fleet, Share::Others, now + Duration::from_mins(1)));
}

#[test]
fn a_quiet_host_may_still_send_again_now_and_then() {
    let start = Instant::now();
    let mut allowance = Allowance::new(start);
    allowance.earn(&FLEET, Share::Among(9), start);
    assert!(allowance.spend(&FLEET, Share::Among(9), start + Duration::from_secs(5)));
}

#[test]
fn a_cold_leaf_gets_this_hosts_share_in_any_second() {
    let start = Instant::now();
    let rate = Some(8.0);
    let mut warmup = Warmup::default();
    warmup.note(Duration::from_secs(3), start);
    let sent = |warmup: &mut Warmup, now| {
        let is_allowed = warmup.is_allowed(rate, now);
        if is_allowed {
            warmup.sent(rate, 4, now);
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
fn the_same_word_on_a_cold_leaf_is_not_told_twice() {
    let start = Instant::now();
    let mut warmup = Warmup::default();
    warmup.note(Duration::from_secs(3), start);
    warmup.note(Duration::from_secs(3), start + Duration::from_secs(2));
    assert!(!warmup.is_cold(start + Duration::from_millis(3_500)));
    warmup.note(Duration::from_millis(2_900), start + Duration::from_secs(4));
    assert!(warmup.is_cold(start + Duration::from_secs(5)));
}

#[test]
fn entries_that_lapse_together_after_a_calm_hour_do_not_raise_any_share_at_once() {
    let mut headcount = Headcount::default();
    assert_eq!(headcount.note(9, Millis(1_000)), 9);
    let lapsed = Millis(3_600_000);
    assert_eq!(headcount.note(1, lapsed), 9);
    assert_eq!(headcount.note(1, lapsed.plus(HOST_COUNT_TTL / 2)), 9);
    let later = lapsed.plus(HOST_COUNT_TTL * 2);
    assert_eq!(headcount.note(1, later), 1, "they are gone for good");
}

#[test]
fn an_unknown_number_of_hosts_counts_as_many() {
    assert!(Headcount::default().note(0, Millis(0)) > 9);
}
