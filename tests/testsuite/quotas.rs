//! Quotas of organisations, divided between two allocators of a fleet.
//!
//! The fleet is simulated in steps of a hundredth of a second. Each host takes requests from the
//! hosts that it reaches, as its own view of the fleet tells.

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    briarquay::{
        collections::{Map, Name},
        policy::quota::{
            self, PartFacts, Refusal, Reply, SETTLE_TIME, ask_order, choose_granters, is_asked,
        },
        state::{
            organisations::{Quota, QuotaRule},
            quota_allocator::{HostPlace, QuotaAllocator, Role},
            quota_bucket::{QuotaBucket, Refill, Taken},
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(10);
const RULE: QuotaRule = QuotaRule {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

/// Time in which a change of the fleet reaches all hosts that are in touch, and time for which
/// the entry of a host stays that is not.
const PROPAGATION: Duration = Duration::from_millis(2_500);
const ENTRY_TTL: Duration = Duration::from_secs(20);

/// Quota of the organisation that always asks for more, while hosts end and join.
const BUSY: Quota = Quota {
    rate: 12.0,
    burst: 10.0,
};

/// Random bytes of one simulated run.
const CHOICE_BYTES: u64 = 256;

struct SimHost {
    place: HostPlace,
    allocator: QuotaAllocator,
    is_alive: bool,
    /// Since when the store has not answered it; `None` while it does.
    cut_at: Option<Instant>,
    /// Hosts with the same number reach each other.
    side: u8,
    /// Quotas in force at this host.
    quota_factor: f64,
}

struct Fleet {
    hosts: Vec<SimHost>,
    quotas: Map<Name, Quota>,
    start: Instant,
    now: Instant,
    /// Requests that were granted, by organisation.
    sent: Map<Name, Vec<Instant>>,
    random: StdRng,
}

impl Fleet {
    fn new(hosts: usize, quotas: impl Iterator<Item = (Name, Quota)>) -> Self {
        let start = Instant::now() + Duration::from_mins(1);
        let mut fleet = Self {
            hosts: (0..hosts).map(SimHost::new).collect(),
            quotas: quotas.collect(),
            start,
            now: start,
            sent: Map::default(),
            random: StdRng::seed_from_u64(7),
        };
        for host in 0..hosts {
            fleet.learn(host);
        }
        fleet.now += Duration::from_secs(14);
        fleet
    }

    /// A fleet with one organisation.
    fn of_one(hosts: usize, rate: f64, burst: f64) -> (Self, Name) {
        let name: Name = "desk".into();
        let quota = Quota { rate, burst };
        (
            Self::new(hosts, std::iter::once((name.clone(), quota))),
            name,
        )
    }

    /// Hosts in the registry.
    fn entries(&self) -> Vec<HostPlace> {
        let has_entry = |host: &&SimHost| host.cut_at.is_none_or(|at| self.now < at + ENTRY_TTL);
        let hosts = self.hosts.iter().filter(has_entry);
        hosts.map(|host| host.place.clone()).collect()
    }

    /// The registry's hosts become known to one host.
    fn learn(&mut self, host: usize) {
        let (entries, now) = (self.entries(), self.now);
        let host = &mut self.hosts[host];
        let own = host.place.id.clone();
        let role_of = |name: &str, hosts: &[HostPlace]| quota::role(name, &own, hosts);
        host.allocator.record_hosts(entries, role_of, now);
    }

    /// Starts a host anew, which forgets everything.
    fn restart(&mut self, host: usize) {
        self.hosts[host].allocator = QuotaAllocator::default();
        self.hosts[host].is_alive = true;
        self.learn(host);
    }

    fn allocators(&self, name: &str) -> Vec<usize> {
        let entries = self.entries();
        let granters = choose_granters(name, &entries);
        let place = |id: &Name| self.hosts.iter().position(|host| host.place.id == *id);
        let ids = granters.iter().filter_map(|(id, _)| place(id));
        ids.collect()
    }

    fn grant(&mut self, host: usize, name: &Name) -> Option<Taken> {
        let (now, start) = (self.now, self.start);
        let host = &mut self.hosts[host];
        let own = host.place.id.clone();
        let role_of = |hosts: &[HostPlace]| quota::role(name, &own, hosts);
        let tenure = host.allocator.tenure(role_of, SETTLE_TIME, now)?;
        let copy_age = host.cut_at.map_or(Duration::from_secs(2), |at| now - at);
        assert!(tenure.since >= start);
        let quota = self.quotas[name];
        let part = quota::part(&PartFacts {
            quota: Quota {
                rate: quota.rate * host.quota_factor,
                burst: quota.burst * host.quota_factor,
            },
            rule: RULE,
            role: tenure.role,
            authority: quota::authority(tenure.is_settled, copy_age),
            hosts: host.allocator.hosts().len(),
        })?;
        let wait = Duration::ZERO;
        Some(host.allocator.take(name, tenure, part, 1, wait, now))
    }

    /// A request of the organisation at one host; returns why it is refused, if it is.
    fn request(&mut self, host: usize, name: &Name) -> Option<Refusal> {
        let known = self.hosts[host].allocator.hosts().to_vec();
        let granters = choose_granters(name, &known);
        let own = self.hosts[host].place.id.clone();
        let mut replies = Vec::new();
        for (id, role) in ask_order(&granters, &own, |_| false, self.random.random()) {
            if !is_asked(role, &replies, known.len()) {
                break;
            }
            let asked = self.hosts.iter().position(|other| other.place.id == *id);
            let side = self.hosts[host].side;
            let asked = asked.filter(|other| {
                let other = &self.hosts[*other];
                other.is_alive && other.side == side
            });
            let reply = match asked.and_then(|asked| self.grant(asked, name)) {
                Some(taken) if taken.tokens > 0 => {
                    self.sent.entry(name.clone()).or_default().push(self.now);
                    return None;
                }
                Some(taken) => Reply::Denied(taken.wait),
                None => Reply::Unanswered,
            };
            replies.push(reply);
        }
        Some(quota::refusal(&replies))
    }

    /// Sends requests at each host of `hosts` for `time`, `rate` a second in all.
    fn load(&mut self, name: &Name, rate: f64, time: Duration, hosts: std::ops::Range<usize>) {
        let until = self.now + time;
        while self.now < until {
            if self.random.random::<f64>() < rate * STEP.as_secs_f64() {
                let host = self.random.random_range(hosts.clone());
                self.request(host, name);
            }
            self.now += STEP;
        }
    }

    /// Returns the most requests that were sent in a window that begins at or after `from`.
    fn busiest_window(&self, name: &Name, from: Instant) -> usize {
        let sent = self.sent.get(name).map_or(&[][..], |sent| sent);
        let busiest = sent.iter().enumerate().filter(|(_, at)| **at >= from);
        let counts = busiest.map(|(place, first)| {
            let end = *first + RULE.window;
            sent[place..].iter().take_while(|at| **at < end).count()
        });
        counts.max().unwrap_or(0)
    }
}

impl SimHost {
    fn new(place: usize) -> Self {
        Self {
            place: HostPlace {
                domain: format!("zone-{}", place % 3).into(),
                id: format!("entry-{place}").into(),
            },
            allocator: QuotaAllocator::default(),
            is_alive: true,
            cut_at: None,
            side: 0,
            quota_factor: 1.0,
        }
    }
}

#[expect(
    clippy::cast_sign_loss,
    clippy::cast_possible_truncation,
    reason = "small"
)]
fn allowed(quota: Quota) -> usize {
    let in_window = quota.rate * RULE.window.as_secs_f64() + quota.burst;
    (in_window * (1.0 + RULE.overage) + RULE.slack) as usize
}

/// Organisations of which a few are large, with quotas of 1.6 times their usual rate.
fn organisations() -> Vec<(Name, f64)> {
    let rate = |place: u32| {
        if place < 6 {
            6.0
        } else {
            0.2 + f64::from(place) / 60.0
        }
    };
    let all = (0..73).map(|place| (format!("org-{place}").into(), rate(place)));
    all.collect()
}

fn quota_for(usual: f64) -> Quota {
    Quota {
        rate: usual * 1.6,
        burst: usual * 2.0,
    }
}

/// Plays all organisations for a minute, `factor` times as much of the first; returns how many
/// requests each had that were within its quota, and how many of these were refused.
fn play_all(fleet: &mut Fleet, factor: f64) -> Vec<(u32, u32)> {
    let all = organisations();
    let mut ideal: Vec<QuotaBucket> = all
        .iter()
        .map(|_| QuotaBucket::new(0.0, fleet.now))
        .collect();
    let mut counts = vec![(0, 0); all.len()];
    let until = fleet.now + Duration::from_mins(1);
    while fleet.now < until {
        for (place, (name, usual)) in all.iter().enumerate() {
            let usual_rate = if place == 0 { usual * factor } else { *usual };
            if fleet.random.random::<f64>() >= usual_rate * STEP.as_secs_f64() {
                continue;
            }
            let quota = quota_for(*usual);
            let refill = Refill {
                rate: quota.rate,
                depth: quota.burst.max(1.0),
            };
            let is_within = ideal[place]
                .take(refill, 1, Duration::ZERO, fleet.now)
                .tokens
                > 0;
            let host = fleet.random.random_range(0..fleet.hosts.len());
            let is_refused = fleet.request(host, name).is_some();
            counts[place].0 += u32::from(is_within);
            counts[place].1 += u32::from(is_within && is_refused);
        }
        fleet.now += STEP;
    }
    counts
}

fn whole_fleet() -> Fleet {
    let quotas = organisations().into_iter();
    Fleet::new(61, quotas.map(|(name, usual)| (name, quota_for(usual))))
}

#[test]
fn calm_traffic_within_the_quotas_is_served_at_many_hosts() {
    let mut fleet = whole_fleet();

    let counts = play_all(&mut fleet, 1.0);

    let (within, refused) = counts
        .iter()
        .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    assert!(within > 2_000, "{within} requests");
    assert!(refused * 200 < within, "{refused} of {within} refused");
}

#[test]
fn hot_organisation_gets_its_quota_and_others_are_not_touched() {
    let mut fleet = whole_fleet();
    let hot = organisations()[0].clone();

    let counts = play_all(&mut fleet, 7.5);

    let others = counts[1..].iter();
    let (within, refused) = others.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    assert!(refused * 200 < within, "{refused} of {within} refused");
    let (quota, sent) = (quota_for(hot.1), fleet.sent[&hot.0].len());
    let in_a_minute = quota.rate * 60.0;
    #[expect(clippy::cast_precision_loss, reason = "small")]
    let sent = sent as f64;
    assert!(
        (in_a_minute * 0.95..in_a_minute * 1.15).contains(&sent),
        "{sent} of {in_a_minute}"
    );
    assert!(fleet.busiest_window(&hot.0, fleet.start) <= allowed(quota));
}

#[test]
fn lower_quota_binds_one_window_after_it_is_in_force() {
    let (mut fleet, name) = Fleet::of_one(61, 20.0, 40.0);
    fleet.load(&name, 60.0, Duration::from_secs(10), 0..61);
    for host in &mut fleet.hosts {
        host.quota_factor = 0.02;
    }
    let from = fleet.now;

    fleet.load(&name, 60.0, Duration::from_secs(20), 0..61);

    let lower = Quota {
        rate: 0.4,
        burst: 0.8,
    };
    assert!(fleet.busiest_window(&name, from) <= allowed(lower));
}

#[test]
fn organisation_whose_allocator_ended_keeps_half_of_its_quota() {
    let (mut fleet, name) = Fleet::of_one(61, 8.0, 4.0);
    let first = fleet.allocators(&name)[0];
    fleet.load(&name, 30.0, Duration::from_secs(5), 0..61);
    fleet.hosts[first].is_alive = false;
    let before = fleet.sent[&name].len();

    fleet.load(&name, 30.0, Duration::from_secs(10), 0..61);

    assert!(fleet.sent[&name].len() - before >= 38);
    fleet.restart(first);
    let from = fleet.now;
    fleet.load(&name, 30.0, Duration::from_secs(5), 0..61);
    let granted = fleet.sent[&name].iter().filter(|at| **at >= from);
    assert!(
        granted.count() >= 36,
        "it grants at once: it was allocator before"
    );
}

#[test]
fn reserve_grants_little_while_both_allocators_are_gone() {
    let (mut fleet, name) = Fleet::of_one(9, 8.0, 4.0);
    for gone in fleet.allocators(&name).into_iter().take(2) {
        fleet.hosts[gone].is_alive = false;
    }

    fleet.load(&name, 30.0, Duration::from_secs(10), 0..9);

    assert!((1..=4).contains(&fleet.busiest_window(&name, fleet.start)));
}

#[test]
fn host_asks_itself_first_and_silent_hosts_last() {
    let names: [Name; 3] = ["one", "two", "three"].map(Name::from);
    let roles = [Role::Allocator, Role::Allocator, Role::Reserve];
    let granters: Vec<(&Name, Role)> = names.iter().zip(roles).collect();
    let order = |own: &str, silent: &[&str], prefers_second: bool| {
        let is_silent = |id: &str| silent.contains(&id);
        let order = ask_order(&granters, own, is_silent, prefers_second);
        order.iter().map(|(id, _)| &***id).collect::<Vec<_>>()
    };

    assert_eq!(order("four", &[], false), ["one", "two", "three"]);
    assert_eq!(order("four", &[], true), ["two", "one", "three"]);
    assert_eq!(order("one", &[], true), ["one", "two", "three"]);
    assert_eq!(order("four", &["one"], false), ["two", "three", "one"]);
    assert_eq!(order("four", &["one", "two"], false)[0], "three");
}

#[test]
fn reserve_is_not_asked_when_the_quota_is_used_up() {
    let used_up = [Reply::Denied(Duration::ZERO); 2];

    assert!(!is_asked(Role::Reserve, &used_up, 9));
    assert!(is_asked(Role::Reserve, &[used_up[0], Reply::Unanswered], 9));
    assert!(is_asked(Role::Allocator, &used_up[..1], 9));
}

#[test]
fn caller_that_comes_back_when_told_is_served_and_others_are_told_later_times() {
    let start = Instant::now();
    let refill = Refill {
        rate: 0.5,
        depth: 3.0,
    };
    let mut bucket = QuotaBucket::new(0.0, start);

    let waits: Vec<Duration> = (0..4)
        .map(|_| bucket.take(refill, 1, Duration::ZERO, start).wait)
        .collect();

    assert_eq!(waits, [2, 4, 6, 8].map(Duration::from_secs));
    for wait in waits {
        assert_eq!(
            bucket.take(refill, 1, Duration::ZERO, start + wait).tokens,
            1
        );
    }
}

#[test]
fn granters_are_in_different_domains_and_stay_when_another_host_leaves() {
    let hosts: Vec<HostPlace> = (0..61).map(|place| SimHost::new(place).place).collect();
    for (name, _) in organisations() {
        let granters = choose_granters(&name, &hosts);
        let domain = |id: &Name| {
            hosts
                .iter()
                .find(|host| host.id == *id)
                .map(|host| &host.domain)
        };
        assert_ne!(domain(granters[0].0), domain(granters[1].0));
        let is_granter = |id: &Name| granters.iter().any(|(granter, _)| *granter == id);
        let other = hosts
            .iter()
            .position(|host| !is_granter(&host.id))
            .expect("61 hosts");
        let mut fewer = hosts.clone();
        fewer.remove(other);
        assert_eq!(choose_granters(&name, &fewer), granters);
    }
}

/// Something that happens to the fleet.
fn happen(fleet: &mut Fleet, late: &mut Vec<(Instant, usize)>, unstructured: &mut Unstructured) {
    let (what, host) = (
        unstructured.arbitrary::<u8>(),
        unstructured.arbitrary::<u8>(),
    );
    let (what, host) = (what.unwrap_or(255), host.unwrap_or_default());
    // Mostly those that matter for the organisation.
    let granters = fleet.allocators("desk");
    let host = match granters.get(usize::from(host % 5)) {
        Some(granter) => *granter,
        None => usize::from(host) % fleet.hosts.len(),
    };
    match what % 7 {
        0 => fleet.hosts[host].is_alive = false,
        1 if fleet.hosts[host].cut_at.is_none() => fleet.restart(host),
        2 => {
            fleet.hosts.push(SimHost::new(fleet.hosts.len()));
            fleet.learn(fleet.hosts.len() - 1);
            let now = fleet.now;
            let delays = (0..fleet.hosts.len()).map(|host| {
                (
                    now + PROPAGATION.mul_f64(fleet.random.random::<f64>()),
                    host,
                )
            });
            late.extend(delays);
        }
        // Cut off from the store and from other hosts, alone or with some.
        3 => {
            let cut = fleet.random.random_range(1..4);
            for cut_off in (host..fleet.hosts.len()).take(cut) {
                fleet.hosts[cut_off].side = 1;
                fleet.hosts[cut_off].cut_at.get_or_insert(fleet.now);
            }
        }
        // Cut off from the store only.
        4 => drop(fleet.hosts[host].cut_at.get_or_insert(fleet.now)),
        _ => {}
    }
}

/// Plays one minute in which the organisation always asks for more than its quota.
fn play_events(unstructured: &mut Unstructured) -> usize {
    let (mut fleet, name) = Fleet::of_one(9, BUSY.rate, BUSY.burst);
    let mut late: Vec<(Instant, usize)> = Vec::new();
    let until = fleet.now + Duration::from_mins(1);
    let mut next = fleet.now + Duration::from_secs(2);
    while fleet.now < until {
        let count = fleet.hosts.len();
        fleet.load(&name, 60.0, Duration::from_millis(500), 0..count);
        if fleet.now >= next {
            happen(&mut fleet, &mut late, unstructured);
            next = fleet.now + Duration::from_secs(3);
        }
        // Entries that have ended become known as well.
        let is_late = |host| {
            late.iter()
                .any(|(at, other)| *other == host && fleet.now < *at)
        };
        let in_touch = |host: &usize| fleet.hosts[*host].cut_at.is_none() && !is_late(*host);
        let due: Vec<usize> = (0..fleet.hosts.len()).filter(in_touch).collect();
        for host in due {
            fleet.learn(host);
        }
    }
    fleet.busiest_window(&name, fleet.start)
}

#[test]
fn hosts_together_keep_to_the_quota_whatever_ends_joins_or_is_cut_off() {
    for seed in 1..=60_u64 {
        let property = |unstructured: &mut Unstructured| {
            let busiest = play_events(unstructured);
            assert!(busiest <= allowed(BUSY), "{busiest} of {}", allowed(BUSY));
            Ok(())
        };
        arbtest(property).seed(seed << 32 | CHOICE_BYTES).run();
    }
}
