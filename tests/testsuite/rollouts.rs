//! Rollouts of a service's versions over a fleet of hosts, without a network: bad versions stay
//! within their exposure, good ones complete, also when the driver ends between two writes.

use {
    briarquay::{
        clock::Millis,
        collections::{Map, Name, Set},
        gateway::{
            RolloutRule,
            rollouts::driving::{Claim, Driving, Round},
        },
        state::rollouts::{
            Driver, Order, Phase, RolloutChange, Rollouts, Sample, SampleEnd, Selection, Stage,
        },
        transport::{fleet::RolloutReport, registry::ConditionalWrite},
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64,
    std::time::Duration,
};

const HOSTS: usize = 68;
const SEEDS: u64 = 20;
const TIME: Duration = Duration::from_secs(20);
const STEP: u64 = 50;
const ORDERED_AT: u64 = 10_000;
const USUAL_MS: f64 = 60.0;
/// Longest time from a change of the registry until a host knows of it.
const NOTICE_MS: u64 = 1_200;
/// Time after which another host takes over from a driver that has ended.
const TAKEOVER_MS: u64 = 3_000;
const RULE: RolloutRule = RolloutRule {
    exposure_ratio: 0.1,
    exposure_extra: 50.0,
    rollback_time: Duration::from_secs(5),
};

/// How the new version behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Version {
    Good,
    /// This part of its replies fails.
    Fails(f64),
    /// This part takes four times as long.
    Slow(f64),
    /// Half of its replies fail from this time after the order on.
    FailsAfter(u64),
    /// Half of its replies fail once it gets this many requests in a second.
    FailsUnderLoad(usize),
    /// Half of its replies on one of the two routes fail.
    FailsOnOneRoute,
}

/// When the driver ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DriverEnds {
    Never,
    /// Before it writes this stage.
    Before(Phase),
    /// After that, before it tells anyone.
    After(Phase),
}

struct Request {
    host: usize,
    sample: Sample,
    sent_at: u64,
    ends_at: u64,
    end: SampleEnd,
}

struct Host {
    rollouts: Rollouts,
    is_alive: bool,
    report_due: u64,
    /// What the registry has told, with the time at which it arrives.
    inbox: Vec<(u64, RolloutChange)>,
}

struct World {
    random: Pcg64,
    version: Version,
    ends: DriverEnds,
    now: u64,
    hosts: Vec<Host>,
    driver: Option<usize>,
    driving: Driving,
    claims: u64,
    vacant_until: u64,
    stored: Option<(Stage, u64)>,
    revision: u64,
    requests: Vec<Request>,
    /// When requests were sent to the new version.
    exposed: Vec<u64>,
    all: usize,
    bad_at: Vec<u64>,
    written: Vec<(Phase, u64)>,
    /// Requests at the former version when the registry had it that it was given up.
    abandoned: usize,
}

fn name(text: &str) -> Name {
    Name::from(text)
}

fn order() -> Order {
    Order {
        service: name("desk"),
        target: name("v2"),
        time: TIME,
    }
}

impl World {
    fn new(version: Version, ends: DriverEnds, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let hosts = (0..HOSTS).map(|_| {
            let mut rollouts = Rollouts::default();
            let leaves = |versions: &[&str]| -> Map<Name, Set<Name>> {
                let versions = versions.iter().map(|version| name(version)).collect();
                Map::from_iter([(name("desk"), versions)])
            };
            rollouts.record_leaves(leaves(&["v1"]), Millis(1));
            rollouts.record_leaves(leaves(&["v1", "v2"]), Millis(ORDERED_AT));
            let notice = ORDERED_AT + random.random_range(0..NOTICE_MS);
            Host {
                rollouts,
                is_alive: true,
                report_due: notice + random.random_range(0..500),
                inbox: vec![(notice, RolloutChange::Ordered(order()))],
            }
        });
        Self {
            hosts: hosts.collect(),
            random,
            version,
            ends,
            now: ORDERED_AT,
            driver: None,
            driving: Driving::default(),
            claims: 0,
            vacant_until: ORDERED_AT + NOTICE_MS,
            stored: None,
            revision: 100,
            requests: Vec::new(),
            exposed: Vec::new(),
            all: 0,
            bad_at: Vec::new(),
            written: Vec::new(),
            abandoned: 0,
        }
    }

    fn announce(&mut self, change: &RolloutChange) {
        for host in &mut self.hosts {
            let at = self.now + self.random.random_range(0..NOTICE_MS);
            // Changes arrive in their order.
            let at = host.inbox.last().map_or(at, |(last, _)| at.max(*last));
            host.inbox.push((at, change.clone()));
        }
    }

    fn run(&mut self, rate: f64) {
        let end = ORDERED_AT + 26_000;
        while self.now < end {
            self.now += STEP;
            let now = Millis(self.now);
            for host in &mut self.hosts {
                while host.inbox.first().is_some_and(|(at, _)| *at <= now.0) {
                    let (_, change) = host.inbox.remove(0);
                    host.rollouts.apply_changes(vec![change], false, now);
                }
            }
            self.end_requests();
            self.send_requests(rate);
            self.drive();
            self.report();
        }
    }

    fn end_requests(&mut self) {
        let now = self.now;
        for request in self
            .requests
            .extract_if(.., |request| request.ends_at <= now)
        {
            let took = Duration::from_millis(request.ends_at - request.sent_at);
            let is_late = took >= Duration::from_millis(200);
            if request.sample.is_target() && (request.end == SampleEnd::Failed || is_late) {
                self.bad_at.push(now);
            }
            let rollouts = &mut self.hosts[request.host].rollouts;
            rollouts.end_sample(&request.sample, request.end, took);
        }
    }

    fn send_requests(&mut self, rate: f64) {
        #[expect(clippy::cast_precision_loss, reason = "a step is short")]
        let expected = rate * STEP as f64 / 1_000.0;
        let mut left = expected + self.random.random::<f64>();
        while left >= 1.0 {
            left -= 1.0;
            self.send_request();
        }
    }

    fn send_request(&mut self) {
        let index = self.random.random_range(0..HOSTS);
        if !self.hosts[index].is_alive {
            return;
        }
        let is_first_route = self.random.random_bool(0.6);
        let route = name(if is_first_route { "a" } else { "b" });
        let now = Millis(self.now);
        let rollouts = &mut self.hosts[index].rollouts;
        let selection = rollouts.select("desk", now, Duration::ZERO, Duration::from_secs(3));
        let draw: f64 = self.random.random();
        let version = match &selection {
            Some(selection) => match selection.trial_version(draw) {
                Some(version) => version.clone(),
                None if selection.permits(&name("v1"), true) => name("v1"),
                None => name("v2"),
            },
            None => name("v1"),
        };
        let usual = Duration::from_secs_f64(USUAL_MS / 1_000.0);
        self.all += 1;
        let is_target = &*version == "v2";
        if is_target {
            self.exposed.push(self.now);
        }
        let Some(sample) = rollouts.start_sample(&name("desk"), &version, &route, usual) else {
            return;
        };
        let (end, took) = self.draw_reply(is_target, is_first_route);
        self.requests.push(Request {
            host: index,
            sample,
            sent_at: self.now,
            ends_at: self.now + took,
            end,
        });
    }

    /// Returns how a reply ends, and after how many milliseconds.
    fn draw_reply(&mut self, is_target: bool, is_first_route: bool) -> (SampleEnd, u64) {
        // The product of three draws spreads like work that varies by a half.
        let spread: f64 = (0..3)
            .map(|_| self.random.random_range(0.75..1.35))
            .product();
        let mut took = USUAL_MS * spread;
        let since = self.now - ORDERED_AT;
        let recent = self.exposed.iter().rev();
        let load = recent.take_while(|at| self.now - **at < 1_000).count();
        let (fails, slow) = match self.version {
            _ if !is_target => (0.0, 0.0),
            Version::Good => (0.0, 0.0),
            Version::Fails(part) => (part, 0.0),
            Version::Slow(part) => (0.0, part),
            Version::FailsAfter(from) => (if since >= from { 0.5 } else { 0.0 }, 0.0),
            Version::FailsUnderLoad(limit) => (if load > limit { 0.5 } else { 0.0 }, 0.0),
            Version::FailsOnOneRoute => (if is_first_route { 0.0 } else { 0.5 }, 0.0),
        };
        if self.random.random_bool(slow) {
            took *= 4.0;
        }
        let end = if self.random.random_bool(fails) {
            SampleEnd::Failed
        } else {
            SampleEnd::Replied
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a reply takes some milliseconds"
        )]
        let took = took as u64;
        (end, took)
    }

    fn drive(&mut self) {
        let now = Millis(self.now);
        if self.driver.is_none() && self.now >= self.vacant_until {
            let index = (0..HOSTS).find(|index| self.hosts[*index].is_alive);
            self.driver = index;
            self.claims += 1;
            let host = name(&format!("host-{}", index.expect("one is alive")));
            let driver = Driver {
                host,
                lease: self.claims,
            };
            self.driving = Driving::default();
            self.announce(&RolloutChange::Driver(driver));
        }
        let Some(driver) = self.driver else { return };
        self.driving.set_claim(Claim {
            revision: self.claims,
            valid_until: Millis(self.now + 2_000),
        });
        let fleet: Vec<Name> = (0..HOSTS)
            .map(|host| name(&format!("host-{host}")))
            .collect();
        if self.now.is_multiple_of(250) {
            self.driving.decide(&Round {
                rollouts: &self.hosts[driver].rollouts,
                rule: &RULE,
                fleet: &fleet,
                now,
                unix_ms: 1_770_000_000_000 + self.now,
            });
        }
        while let Some(write) = self.driving.next_write(now) {
            let phase = write.stage.phase;
            if self.ends == DriverEnds::Before(phase) {
                return self.end_driver(driver);
            }
            let revision = self.stored.as_ref().map_or(0, |(_, revision)| *revision);
            let result = if revision == write.replaces {
                self.revision += 1;
                self.stored = Some((write.stage.clone(), self.revision));
                self.written.push((phase, self.now));
                if phase == Phase::Completed {
                    let former = self.requests.iter();
                    let former = former.filter(|request| !request.sample.is_target());
                    self.abandoned = former.count();
                }
                self.announce(&RolloutChange::Staged(write.stage.clone()));
                ConditionalWrite::Written {
                    revision: self.revision,
                    era: 0,
                }
            } else {
                let driver = Driver {
                    host: name("driver"),
                    lease: 1,
                };
                ConditionalWrite::Conflict {
                    driver: Some((driver, write.claim)),
                    stage: self.stored.clone(),
                }
            };
            if self.ends == DriverEnds::After(phase) {
                return self.end_driver(driver);
            }
            self.driving.record_write(&write, &result, now);
        }
    }

    fn end_driver(&mut self, driver: usize) {
        self.ends = DriverEnds::Never;
        self.hosts[driver].is_alive = false;
        self.requests.retain(|request| request.host != driver);
        self.driver = None;
        self.driving = Driving::default();
        self.vacant_until = self.now + TAKEOVER_MS;
        self.announce(&RolloutChange::DriverGone);
    }

    fn report(&mut self) {
        let now = Millis(self.now);
        for (index, host) in self.hosts.iter_mut().enumerate() {
            if !host.is_alive || self.now < host.report_due {
                continue;
            }
            let pause = if host.rollouts.is_moving() { 250 } else { 500 };
            host.report_due = self.now + pause;
            let knows_driver = host.rollouts.driver().is_some() && self.driver.is_some();
            let services = host.rollouts.reports();
            if services.is_empty() || !knows_driver {
                continue;
            }
            let report = RolloutReport {
                host: name(&format!("host-{index}")),
                process: 7,
                services,
            };
            if let Some(directives) = self.driving.record_report(report, now) {
                host.rollouts
                    .apply_directives(directives, now.plus(Duration::from_secs(2)));
            }
        }
    }

    fn final_phase(&self) -> Option<Phase> {
        let (stage, _) = self.stored.as_ref()?;
        stage.phase.is_final().then_some(stage.phase)
    }

    /// Returns the requests that reached the new version in the rollout's time, and the most that
    /// may have.
    fn exposure(&self, rate: f64) -> (usize, f64) {
        let until = ORDERED_AT + 20_000;
        let exposed = self.exposed.iter().filter(|at| **at < until).count();
        let limit = RULE.exposure_ratio * rate * TIME.as_secs_f64() + RULE.exposure_extra;
        (exposed, limit)
    }
}

fn play(version: Version, ends: DriverEnds, rate: f64, seed: u64) -> World {
    let mut world = World::new(version, ends, seed);
    world.run(rate);
    world
}

fn assert_rolled_back(version: Version, ends: DriverEnds, rate: f64) {
    for seed in 0..SEEDS {
        let world = play(version, ends, rate, seed);
        let case = format!(
            "{version:?} {ends:?} at {rate}/s, seed {seed}: {:?}",
            world.written
        );

        let (exposed, limit) = world.exposure(rate);
        assert!(
            f64::from(u32::try_from(exposed).expect("few")) <= limit,
            "{exposed} of {limit}: {case}"
        );
        assert_eq!(world.final_phase(), Some(Phase::RolledBack), "{case}");
        if let Some(fiftieth) = world.bad_at.get(49) {
            let last = world.exposed.last().expect("some were sent");
            assert!(*last <= fiftieth + 5_000, "{last} after {fiftieth}: {case}");
        }
    }
}

fn assert_completed(ends: DriverEnds, rate: f64, within: u64) {
    for seed in 0..SEEDS {
        let world = play(Version::Good, ends, rate, seed);
        let case = format!("{ends:?} at {rate}/s, seed {seed}: {:?}", world.written);

        assert_eq!(world.final_phase(), Some(Phase::Completed), "{case}");
        let (_, at) = world.written.last().expect("some are written");
        assert!(at - ORDERED_AT <= within, "{at}: {case}");
        assert_eq!(world.abandoned, 0, "requests at the former version: {case}");
    }
}

#[test]
fn version_that_is_bad_at_once_stays_within_its_exposure() {
    for rate in [8.0, 40.0, 200.0] {
        assert_rolled_back(Version::Fails(0.5), DriverEnds::Never, rate);
        assert_rolled_back(Version::Slow(0.6), DriverEnds::Never, rate);
    }
    assert_rolled_back(Version::Fails(0.25), DriverEnds::Never, 40.0);
}

#[test]
fn version_that_turns_bad_later_stays_within_its_exposure() {
    for from in [5_000, 10_000, 13_000] {
        assert_rolled_back(Version::FailsAfter(from), DriverEnds::Never, 40.0);
    }
}

#[test]
fn version_that_is_bad_under_load_stays_within_its_exposure() {
    assert_rolled_back(Version::FailsUnderLoad(15), DriverEnds::Never, 40.0);
}

#[test]
fn version_that_is_bad_on_one_route_stays_within_its_exposure() {
    assert_rolled_back(Version::FailsOnOneRoute, DriverEnds::Never, 40.0);
}

#[test]
fn good_version_completes_in_time_at_any_rate() {
    for rate in [0.0, 1.0, 8.0, 40.0, 200.0] {
        assert_completed(DriverEnds::Never, rate, 20_000);
    }
}

#[test]
fn rollout_goes_on_after_its_driver_has_ended_between_two_writes() {
    for phase in [Phase::Trial, Phase::Full, Phase::Completed] {
        for ends in [DriverEnds::Before(phase), DriverEnds::After(phase)] {
            // The end may be late by the time of a takeover, and of the checks after it.
            assert_completed(ends, 40.0, 24_000);
        }
    }
    for phase in [Phase::Trial, Phase::RolledBack] {
        for ends in [DriverEnds::Before(phase), DriverEnds::After(phase)] {
            assert_rolled_back(Version::Fails(0.5), ends, 40.0);
        }
    }
}

fn staged(phase: Phase) -> Rollouts {
    let mut rollouts = Rollouts::default();
    let stage = Stage {
        phase,
        ..rollouts.first_stage(&order(), 1)
    };
    let stage = Stage {
        former: vec![name("v1")],
        ..stage
    };
    let changes = vec![
        RolloutChange::Ordered(order()),
        RolloutChange::Staged(stage),
    ];
    rollouts.apply_changes(changes, true, Millis(1_000));
    rollouts
}

fn permits(rollouts: &Rollouts, version: &str, copy_age: Duration) -> bool {
    let max_age = Duration::from_secs(3);
    let selection = rollouts.select("desk", Millis(9_000), copy_age, max_age);
    selection.is_none_or(|selection: Selection| selection.permits(&name(version), true))
}

#[test]
fn host_without_the_driver_sends_nothing_to_a_version_on_trial() {
    let rollouts = staged(Phase::Trial);

    assert!(!permits(&rollouts, "v2", Duration::ZERO));
    assert!(permits(&rollouts, "v1", Duration::ZERO));
}

#[test]
fn host_without_driver_and_registry_stays_with_the_last_stage() {
    let rollouts = staged(Phase::Full);

    let stale = Duration::from_mins(1);
    assert!(permits(&rollouts, "v2", stale));
    assert!(!permits(&rollouts, "v1", stale));
    assert!(
        permits(&rollouts, "v1", Duration::ZERO),
        "nobody sees its replies"
    );
}

#[test]
fn version_that_was_taken_back_gets_nothing_while_its_order_stands_or_is_gone() {
    let mut rollouts = staged(Phase::RolledBack);
    assert!(!permits(&rollouts, "v2", Duration::ZERO));

    rollouts.apply_changes(
        vec![RolloutChange::OrderGone(name("desk"))],
        false,
        Millis(2_000),
    );
    assert!(!permits(&rollouts, "v2", Duration::ZERO));
}

#[test]
fn new_order_replaces_the_former_one() {
    let mut rollouts = staged(Phase::Trial);
    let next = Order {
        target: name("v3"),
        ..order()
    };
    rollouts.apply_changes(
        vec![RolloutChange::Ordered(next.clone())],
        false,
        Millis(2_000),
    );

    assert!(!permits(&rollouts, "v2", Duration::ZERO));
    assert!(!permits(&rollouts, "v3", Duration::ZERO));
    assert_eq!(rollouts.first_stage(&next, 1).former, vec![name("v1")]);
    assert_eq!(rollouts.open_orders(), vec![next]);
}

#[test]
fn repeated_order_for_a_version_that_serves_moves_nothing() {
    let mut rollouts = staged(Phase::Completed);
    let again = Order {
        time: TIME * 2,
        ..order()
    };
    let changes = vec![RolloutChange::Ordered(again.clone())];
    rollouts.apply_changes(changes, false, Millis(2_000));

    let first = rollouts.first_stage(&again, 1);
    assert!(first.former.is_empty(), "the former version has ended");
    rollouts.merge_stage(first);
    assert!(permits(&rollouts, "v2", Duration::ZERO));
}

#[test]
fn stage_that_a_restored_registry_lacks_is_written_again() {
    let mut rollouts = staged(Phase::Completed);
    let driver = Driver {
        host: name("host-1"),
        lease: 1,
    };
    assert!(rollouts.open_orders().is_empty());
    let restored = vec![
        RolloutChange::Ordered(order()),
        RolloutChange::Driver(driver),
    ];
    rollouts.apply_changes(restored, true, Millis(5_000));

    let mut driving = Driving::default();
    driving.set_claim(Claim {
        revision: 9,
        valid_until: Millis(8_000),
    });
    driving.decide(&Round {
        rollouts: &rollouts,
        rule: &RULE,
        fleet: &[],
        now: Millis(6_000),
        unix_ms: 1,
    });

    let write = driving.next_write(Millis(6_000)).expect("a write");
    assert_eq!(write.stage.phase, Phase::Completed);
    assert!(permits(&rollouts, "v2", Duration::ZERO));
    assert!(!permits(&rollouts, "v1", Duration::ZERO));
}

#[test]
fn version_that_no_order_names_waits_beside_one_that_serves_and_replaces_it() {
    let mut rollouts = Rollouts::default();
    let leaves = |versions: &[&str]| -> Map<Name, Set<Name>> {
        let versions = versions.iter().map(|version| name(version)).collect();
        Map::from_iter([(name("desk"), versions)])
    };
    rollouts.record_leaves(leaves(&["v1", "v1b"]), Millis(1));
    assert!(
        permits(&rollouts, "v1b", Duration::ZERO),
        "both served from the start"
    );

    rollouts.record_leaves(leaves(&["v1", "v2"]), Millis(8_000));
    assert!(!permits(&rollouts, "v2", Duration::ZERO));

    rollouts.record_leaves(leaves(&["v2"]), Millis(8_500));
    assert!(permits(&rollouts, "v2", Duration::ZERO));
}
