//! Leaves of one service that differ in speed, slow down before they are full, pause, or
//! share their machine: hosts choose among them in a closed loop of choices and replies.

use {
    briarquay::{
        gateway::{CapacityLearning, LeafHandle, view::InFlight},
        policy::leaf_selection,
        protocol::dialect::Load,
        state::{
            leaf_capacity::{LeafCapacity, Sample},
            roster::{Leaf, Phase},
        },
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const BASELINE: Duration = Duration::from_millis(20);
const SLOTS: u32 = 6;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// How a leaf behaves.
#[derive(Clone, Copy)]
struct Behaviour {
    /// Time of a request, as a multiple of the baseline.
    time: f64,
    /// Requests that it runs side by side without slowing down.
    parallel: u32,
    /// Interval and length of its pauses.
    pause: Option<(Duration, Duration)>,
    /// Whether it is slowed 2.5 times for 0.6 s of each 3 s, and states so.
    has_neighbour: bool,
}

const EVEN: Behaviour = Behaviour {
    time: 1.0,
    parallel: SLOTS,
    pause: None,
    has_neighbour: false,
};

struct StandInLeaf {
    behaviour: Behaviour,
    /// Offset of its pauses and slow phases.
    offset: Duration,
    ends: Vec<Instant>,
}

impl StandInLeaf {
    fn pace(&self, age: Duration) -> u32 {
        let phase = (age + self.offset).as_millis() % 3_000;
        if self.behaviour.has_neighbour && phase < 600 {
            250
        } else {
            100
        }
    }

    /// Takes a request of relative size `work` and returns when its reply is sent.
    fn accept(&mut self, work: f64, age: Duration, now: Instant) -> Instant {
        self.ends.retain(|end| *end > now);
        self.ends.sort_unstable();
        let waits_for = self.ends.len().checked_sub(SLOTS as usize);
        let begin = waits_for.map_or(now, |index| self.ends[index]);
        let running = u32::try_from(self.ends.len()).expect("few") + 1;
        let shared = f64::from(running.min(SLOTS)) / f64::from(self.behaviour.parallel);
        let pace = f64::from(self.pace(age)) / 100.0;
        let took = BASELINE.mul_f64(work * self.behaviour.time * pace * shared.max(1.0));
        let pause = self
            .behaviour
            .pause
            .map_or(Duration::ZERO, |(every, length)| {
                let phase = (age + self.offset).as_millis() % every.as_millis();
                let rest = length.as_millis().saturating_sub(phase);
                Duration::from_millis(u64::try_from(rest).expect("short"))
            });
        self.ends.push(begin + took + pause);
        begin + took + pause
    }

    fn load(&self, states_pace: bool, age: Duration, now: Instant) -> Load {
        let present = self.ends.iter().filter(|end| **end >= now).count();
        let present = u32::try_from(present).expect("few");
        Load {
            running: present.min(SLOTS),
            waiting: present.saturating_sub(SLOTS),
            pace: states_pace.then(|| self.pace(age)),
        }
    }
}

/// What the hosts do.
struct Hosts {
    count: usize,
    learning: CapacityLearning,
    states_pace: bool,
    /// Time between two requests of all hosts together.
    interval: Duration,
}

struct Reply {
    at: Instant,
    leaf: usize,
    attempt: InFlight,
}

/// Outcome of a run.
#[derive(Debug)]
struct Outcome {
    /// Latencies, sorted.
    latencies: Vec<Duration>,
    /// Requests that each leaf got.
    shares: Vec<usize>,
}

impl Outcome {
    fn quantile(&self, quantile: f64) -> Duration {
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an index of some thousand"
        )]
        let index = (self.latencies.len() as f64 * quantile) as usize;
        self.latencies[index.min(self.latencies.len() - 1)]
    }

    /// Returns how many of a thousand requests took at most `time`.
    fn in_time(&self, time: Duration) -> usize {
        self.latencies.partition_point(|took| *took <= time) * 1_000 / self.latencies.len()
    }
}

fn leaf_handle(number: usize, learning: CapacityLearning) -> Arc<LeafHandle> {
    let leaf = Leaf {
        id: format!("leaf-{number}").into(),
        service: "search".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "north".into(),
        slots: SLOTS,
        version: "1".into(),
        phase: Phase::Serving,
        warmup_left: Duration::ZERO,
        started_ms: 1,
        sequence: None,
    };
    Arc::new(LeafHandle::new(leaf).with_learning(learning))
}

/// Sends 4,000 requests to leaves that behave so; counts those after the first 1,000.
fn run(behaviours: &[Behaviour], hosts: &Hosts, seed: u64) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed);
    let start = Instant::now();
    let mut leaves: Vec<StandInLeaf> = behaviours
        .iter()
        .map(|behaviour| StandInLeaf {
            behaviour: *behaviour,
            offset: ms(random.random_range(0..6_000)),
            ends: Vec::new(),
        })
        .collect();
    let handles: Vec<Vec<Arc<LeafHandle>>> = (0..hosts.count)
        .map(|_| {
            let numbers = 0..behaviours.len();
            numbers
                .map(|number| leaf_handle(number, hosts.learning))
                .collect()
        })
        .collect();
    let mut replies: Vec<Reply> = Vec::new();
    let mut outcome = Outcome {
        latencies: Vec::new(),
        shares: vec![0; leaves.len()],
    };
    let mut now = start;
    for number in 0..4_000 {
        now += hosts
            .interval
            .mul_f64(-random.random_range(1e-9_f64..1.0).ln());
        replies.sort_by_key(|reply| reply.at);
        let due = replies.partition_point(|reply| reply.at <= now);
        for reply in replies.drain(..due) {
            let load = leaves[reply.leaf].load(hosts.states_pace, reply.at - start, reply.at);
            reply.attempt.record_reply(BASELINE, Some(load), reply.at);
        }
        let known = &handles[random.random_range(0..hosts.count)];
        let candidates: Vec<_> = known
            .iter()
            .map(|leaf| leaf.candidate("north", now))
            .collect();
        let chosen = leaf_selection::choose(&candidates, random.random());
        let chosen = chosen.expect("there are leaves");
        let work: f64 = random.random_range(0.6..1.4);
        let attempt = known[chosen].start_attempt(BASELINE, now);
        let at = leaves[chosen].accept(work, now - start, now);
        if number >= 1_000 {
            outcome.latencies.push(at - now);
            outcome.shares[chosen] += 1;
        }
        replies.push(Reply {
            at,
            leaf: chosen,
            attempt,
        });
    }
    outcome.latencies.sort_unstable();
    outcome
}

/// What is learned, and whether leaves state their pace.
type Rule = (CapacityLearning, bool);

const LEARNED: Rule = (CapacityLearning::All, false);
const WITH_PACE: Rule = (CapacityLearning::StatedPace, true);
const NOT_LEARNED: Rule = (CapacityLearning::StatedPace, false);

/// Returns the mean 99th percentile, milliseconds, and the mean share of requests that took at
/// most twice the baseline, of a thousand, over eight seeds.
fn mean(leaves: &[Behaviour], count: usize, every: Duration, rule: Rule) -> (u128, usize) {
    let hosts = Hosts {
        count,
        learning: rule.0,
        states_pace: rule.1,
        interval: every,
    };
    let runs: Vec<Outcome> = (1..9).map(|seed| run(leaves, &hosts, seed)).collect();
    let p99: u128 = runs.iter().map(|run| run.quantile(0.99).as_millis()).sum();
    let in_time: usize = runs.iter().map(|run| run.in_time(BASELINE * 2)).sum();
    println!(
        "{count} hosts, {every:?}, {rule:?}: p99 {} in time {}",
        p99 / 8,
        in_time / 8
    );
    (p99 / 8, in_time / 8)
}

#[test]
fn leaves_that_slow_down_early_get_what_they_take_well() {
    let leaves = [1, 2, 1].map(|parallel| Behaviour { parallel, ..EVEN });
    let before = mean(&leaves, 1, ms(10), NOT_LEARNED);
    let after = mean(&leaves, 1, ms(10), LEARNED);
    assert!(
        after.0 < before.0 && after.1 > before.1 + 200,
        "{before:?} {after:?}"
    );
}

#[test]
fn one_leaf_that_slows_down_early_costs_no_more_than_before() {
    let leaves = [SLOTS, SLOTS, 1].map(|parallel| Behaviour { parallel, ..EVEN });
    for count in [1, 30] {
        let before = mean(&leaves, count, ms(10), NOT_LEARNED);
        let after = mean(&leaves, count, ms(10), LEARNED);
        assert!(
            after.0 <= before.0 && after.1 >= before.1,
            "{before:?} {after:?}"
        );
    }
}

#[test]
fn leaves_beside_busy_neighbours_are_avoided_where_they_state_their_pace() {
    let leaves = [Behaviour {
        has_neighbour: true,
        ..EVEN
    }; 3];
    for count in [1, 30] {
        let before = mean(&leaves, count, ms(4), NOT_LEARNED);
        let after = mean(&leaves, count, ms(4), WITH_PACE);
        assert!(
            after.0 < before.0 && after.1 > before.1,
            "{before:?} {after:?}"
        );
    }
}

#[test]
fn uneven_leaves_serve_more_requests_in_time() {
    let pause = Some((ms(6_000), ms(250)));
    let leaves = [(0.8, SLOTS), (1.0, 1), (1.3, SLOTS)].map(|(time, parallel)| Behaviour {
        time,
        parallel,
        pause,
        has_neighbour: parallel > 1,
    });
    for count in [1, 30] {
        let before = mean(&leaves, count, ms(4), NOT_LEARNED);
        let after = mean(&leaves, count, ms(4), WITH_PACE);
        assert!(
            after.0 < before.0 && after.1 > before.1,
            "{before:?} {after:?}"
        );
    }
}

#[test]
fn leaves_that_differ_in_speed_only_are_used_as_well_as_before() {
    let leaves = [0.8, 1.0, 1.3].map(|time| Behaviour { time, ..EVEN });
    for count in [1, 30] {
        let before = mean(&leaves, count, ms(10), NOT_LEARNED);
        let after = mean(&leaves, count, ms(10), LEARNED);
        assert!(
            after.0 <= before.0 && after.1 >= before.1,
            "{before:?} {after:?}"
        );
    }
}

/// Records a reply each 50 ms for `time`, with one to six requests at a leaf that runs
/// `parallel` of them side by side.
fn record_replies(
    leaf: &mut LeafCapacity,
    parallel: f64,
    from: Instant,
    time: Duration,
) -> Instant {
    let mut now = from;
    for requests in (1..=SLOTS).cycle() {
        now += ms(50);
        let latency = (f64::from(requests) / parallel).max(1.0);
        leaf.record_reply(
            Sample {
                latency,
                requests,
                pace: None,
            },
            now,
        );
        if now >= from + time {
            break;
        }
    }
    now
}

#[test]
fn a_leafs_capacity_follows_changes_both_ways_within_seconds() {
    let mut leaf = LeafCapacity::new(SLOTS);
    let now = record_replies(&mut leaf, 6.0, Instant::now(), ms(3_000));
    let at_first = leaf.concurrency(now);
    let now = record_replies(&mut leaf, 1.0, now, ms(5_000));
    let when_shared = leaf.concurrency(now);
    let change = leaf.take_change(now);
    let now = record_replies(&mut leaf, 6.0, now, ms(8_000));

    assert!(at_first >= 6.0, "{at_first}");
    assert!(when_shared < 2.0, "{when_shared}");
    assert!(change.is_some_and(|change| change.before > change.now));
    assert!(leaf.concurrency(now) > 5.0, "{}", leaf.concurrency(now));
}

#[test]
fn what_is_learned_decays_so_that_a_leaf_is_tried_again() {
    let mut leaf = LeafCapacity::new(SLOTS);
    let now = record_replies(&mut leaf, 1.0, Instant::now(), ms(5_000));
    let later = now + ms(15_000);
    assert!(leaf.concurrency(now) < 2.0);
    assert!(leaf.concurrency(later) >= 6.0);
    assert!(leaf.expected_time(2.4, now) > 2.3);
    assert!(leaf.expected_time(2.4, now + ms(30_000)) < 1.3);
    assert_eq!(leaf.age(later), Some(ms(15_000)));
}

/// The first of two leaves takes 2.4 times the baseline for 20 s, and then once. The host sends
/// ten requests a second.
#[test]
fn a_leaf_that_was_slow_gets_its_share_again() {
    let mut random = Pcg64::seed_from_u64(19);
    let start = Instant::now();
    let leaves = [0, 1].map(|number| leaf_handle(number, CapacityLearning::All));
    let mut counts = [0; 3];
    for number in 0..900_usize {
        let now = start + ms(100) * u32::try_from(number).expect("few");
        let candidates = leaves.each_ref().map(|leaf| leaf.candidate("north", now));
        let chosen = leaf_selection::choose(&candidates, random.random());
        let chosen = chosen.expect("there are leaves");
        let time = if chosen == 0 && number < 200 {
            2.4
        } else {
            1.0
        };
        let attempt = leaves[chosen].start_attempt(BASELINE, now);
        let work: f64 = random.random_range(0.6..1.4);
        attempt.record_reply(BASELINE, None, now + BASELINE.mul_f64(time * work));
        let phase = if number < 200 {
            0
        } else {
            1 + usize::from(number >= 600)
        };
        counts[phase] += usize::from(chosen == 0);
    }
    assert!(counts[0] < 30, "{counts:?}: of 200 while it is slow");
    assert!(counts[2] > 75, "{counts:?}: of 300 from 40 s after");
}

#[test]
fn a_stated_pace_counts_for_less_than_a_second() {
    let mut leaf = LeafCapacity::new(SLOTS);
    let now = Instant::now();
    let sample = Sample {
        latency: 2.5,
        requests: 1,
        pace: Some(250),
    };
    let alone = leaf.record_reply(sample, now);
    assert!((alone - 1.0).abs() < 1e-9, "the pace explains the latency");
    assert!((leaf.pace(now) - 2.5).abs() < 1e-9);
    assert!(leaf.pace(now + ms(400)) < 2.0);
    assert!((leaf.pace(now + ms(800)) - 1.0).abs() < 1e-9);
}

#[test]
fn hosts_with_the_same_news_do_not_all_choose_the_same_leaf() {
    let now = Instant::now();
    let leaves = [0, 1, 2].map(|number| leaf_handle(number, CapacityLearning::StatedPace));
    for (leaf, pace) in leaves.iter().zip([80, 100, 100]) {
        let load = Load {
            running: 1,
            waiting: 0,
            pace: Some(pace),
        };
        let attempt = leaf.start_attempt(BASELINE, now);
        attempt.record_reply(
            BASELINE,
            Some(load),
            now + BASELINE.mul_f64(f64::from(pace) / 100.0),
        );
    }
    let later = now + ms(30);
    let candidates = leaves.each_ref().map(|leaf| leaf.candidate("north", later));
    let mut random = Pcg64::seed_from_u64(17);
    let mut counts = [0; 3];
    for _ in 0..1_000 {
        let chosen = leaf_selection::choose(&candidates, random.random());
        counts[chosen.expect("there are leaves")] += 1;
    }
    assert!(counts[0] > counts[1] && counts[0] > counts[2], "{counts:?}");
    assert!(
        counts[0] < 800 && counts[1] > 100 && counts[2] > 100,
        "{counts:?}"
    );
}

#[test]
fn a_leaf_without_a_stated_pace_is_chosen_as_before() {
    let now = Instant::now();
    let leaf = leaf_handle(0, CapacityLearning::StatedPace);
    let load = Load {
        running: 1,
        waiting: 0,
        pace: None,
    };
    let attempt = leaf.start_attempt(BASELINE, now);
    attempt.record_reply(BASELINE, Some(load), now + BASELINE);
    drop(attempt);
    assert_eq!(leaf.candidate("north", now + BASELINE).capacity, None);
    assert_eq!(leaf.room(now + BASELINE), None);

    let learned = leaf_handle(0, CapacityLearning::All);
    learned
        .start_attempt(BASELINE, now)
        .record_reply(BASELINE, Some(load), now + BASELINE);
    assert_eq!(learned.room(now + BASELINE), Some(6.0));
    assert!(learned.expected_time(BASELINE, now + BASELINE) > Some(BASELINE / 2));
}
