//! Placing of requests to the leaves of one service: who waits, who is refused, and where work
//! goes under a burst, a slow leaf and an organisation that sends too much.

use {
    briarquay::{
        collections::{Map, Name},
        policy::{
            placement::{self, Host, PlacementFacts},
            waiting::{self, Place, Verdict},
        },
        state::{
            placements::{Decision, LeafPlaces, PlacementRequest, Placements},
            routes::{Destination, Shards, SplitService},
        },
    },
    std::time::{Duration, Instant},
};

const TICK: Duration = Duration::from_millis(5);
const WORK: Duration = Duration::from_millis(90);
const OBJECTIVE: Duration = Duration::from_millis(800);
const DEADLINE: Duration = Duration::from_secs(2);
const SLOTS: u32 = 6;

/// Leaves whose work takes `factors` times the usual, and what became of the requests.
struct World {
    start: Instant,
    now: Instant,
    factors: Vec<f64>,
    /// What the placer takes the leaves' factors to be.
    known: Vec<f64>,
    places: Placements,
    asked: Map<u64, (Name, Instant)>,
    running: Vec<(Instant, u64, usize, Name, Instant)>,
    served: Vec<(Name, Duration)>,
    refused: Vec<(Name, Duration)>,
    busiest: Vec<u32>,
}

impl World {
    fn new(factors: &[f64]) -> Self {
        let now = Instant::now();
        Self {
            start: now,
            now,
            factors: factors.to_vec(),
            known: vec![1.0; factors.len()],
            places: Placements::default(),
            asked: Map::default(),
            running: Vec::new(),
            served: Vec::new(),
            refused: Vec::new(),
            busiest: vec![0; factors.len()],
        }
    }

    fn leaves(&self) -> Vec<LeafPlaces> {
        let leaf = |(index, factor): (usize, &f64)| LeafPlaces {
            id: format!("leaf-{index}").into(),
            domain: "north".into(),
            capacity: SLOTS,
            time: WORK.mul_f64(*factor),
        };
        self.known.iter().enumerate().map(leaf).collect()
    }

    fn ask(&mut self, organisation: &str, priority: u32) {
        let request = PlacementRequest {
            organisation: organisation.into(),
            priority,
            domain: "north".into(),
            deadline: self.now + DEADLINE,
        };
        let ticket = self.places.add(request, self.now);
        self.asked.insert(ticket, (organisation.into(), self.now));
    }

    /// Runs for one tick.
    fn step(&mut self) {
        let now = self.now;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(end, ..)| *end <= now);
        self.running = running;
        for (_, place, leaf, organisation, since) in ended {
            self.places.end(place);
            self.known[leaf] = self.factors[leaf];
            self.served
                .push((organisation, now.saturating_duration_since(since)));
        }
        for (ticket, decision) in self.places.decide(&self.leaves(), now) {
            let (organisation, since) = self.asked.remove(&ticket).expect("it was asked for");
            match decision {
                Decision::Refused(_) => {
                    self.refused
                        .push((organisation, now.saturating_duration_since(since)));
                }
                Decision::Placed { place, leaf } => {
                    let index: usize = leaf["leaf-".len()..].parse().expect("an index");
                    let end = now + WORK.mul_f64(self.factors[index]);
                    self.running.push((end, place, index, organisation, since));
                    let count = self.running.iter().filter(|run| run.2 == index).count();
                    let count = u32::try_from(count).expect("few");
                    self.busiest[index] = self.busiest[index].max(count);
                }
            }
        }
        self.now += TICK;
    }

    /// Runs for `time`, with `rates` requests a second and a priority for each organisation.
    fn run(&mut self, time: Duration, rates: &[(&str, f64, u32)]) {
        let mut due: Vec<f64> = rates.iter().map(|_| 0.0).collect();
        let until = self.now + time;
        while self.now < until {
            for ((organisation, rate, priority), due) in rates.iter().zip(&mut due) {
                *due += rate * TICK.as_secs_f64();
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.ask(organisation, *priority);
                }
            }
            self.step();
        }
    }

    fn times(&self, organisation: &str) -> Vec<Duration> {
        let own = self
            .served
            .iter()
            .filter(|(name, _)| **name == *organisation);
        own.map(|(_, time)| *time).collect()
    }
}

#[test]
fn a_burst_beside_a_leaf_that_is_twelve_times_slower_is_answered_within_the_objective() {
    // Arrange: 200 requests a second fit three leaves, 133 two.
    let mut world = World::new(&[12.0, 1.0, 1.0]);

    // Act
    world.run(
        Duration::from_secs(8),
        &[("one", 16.0, 1), ("two", 60.0, 1)],
    );

    // Assert: only what the slow leaf got before it was known to be slow is late.
    let late = world.served.iter().filter(|(_, time)| *time > OBJECTIVE);
    let late = late.count();
    assert!(world.refused.is_empty(), "{:?}", world.refused);
    assert!(late <= SLOTS as usize, "{late} of {}", world.served.len());
    assert!(world.busiest.iter().all(|count| *count <= SLOTS));
}

#[test]
fn a_leaf_that_falls_silent_gets_no_more_than_one_round_of_requests() {
    let mut world = World::new(&[1e6, 1.0, 1.0]);

    world.run(Duration::from_secs(1), &[("one", 40.0, 1)]);

    let at_silent = world.running.iter().filter(|run| run.2 == 0).count();
    assert!(at_silent <= SLOTS as usize, "{at_silent}");
    assert!(world.times("one").iter().all(|time| *time <= OBJECTIVE));
}

#[test]
fn an_organisation_that_sends_too_much_delays_no_other() {
    // Arrange: the leaves run 200 requests a second.
    let mut world = World::new(&[1.0, 1.0, 1.0]);

    // Act
    let rates = [("hot", 400.0, 1), ("small", 2.0, 1), ("other", 20.0, 1)];
    world.run(Duration::from_secs(10), &rates);

    // Assert
    for name in ["small", "other"] {
        let times = world.times(name);
        let worst = times.iter().max().expect("it was served");
        assert!(*worst < OBJECTIVE, "{name}: {worst:?}");
        assert!(!world.refused.iter().any(|(refused, _)| **refused == *name));
    }
    assert!(world.times("hot").len() > 1_500);
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    // Arrange: far more requests than fit the deadline.
    let mut world = World::new(&[20.0]);
    world.known = vec![20.0];
    for _ in 0..SLOTS * 3 {
        world.ask("one", 1);
    }

    // Act
    world.step();

    // Assert
    assert_eq!(world.refused.len(), 2 * SLOTS as usize);
    assert!(world.refused.iter().all(|(_, after)| after.is_zero()));
    let elapsed = world.now.saturating_duration_since(world.start);
    assert!(elapsed <= TICK);
}

#[test]
fn the_more_urgent_go_first_and_the_others_are_not_starved() {
    let mut world = World::new(&[1.0]);

    // One leaf runs 66 requests a second.
    let rates = [("urgent", 80.0, 0), ("patient", 30.0, 2)];
    world.run(Duration::from_secs(10), &rates);

    let (urgent, patient) = (world.times("urgent").len(), world.times("patient").len());
    assert!(urgent >= 2 * patient, "{urgent}, {patient}");
    assert!(patient >= 100, "{patient}");
}

#[test]
fn a_refused_caller_that_comes_back_as_told_finds_room() {
    // Arrange: all places are taken, and more wait than fit the deadline.
    let place = Place {
        capacity: SLOTS,
        taken: SLOTS,
        time: Duration::from_millis(900),
        is_local: true,
    };

    // Act
    let verdict = waiting::judge(&[place], 20, DEADLINE);

    // Assert: the queue has drained by then.
    let Verdict::Refused(wait) = verdict else {
        panic!("{verdict:?}");
    };
    let drained = wait.as_secs_f64() * f64::from(SLOTS) / 0.9;
    assert!(drained >= 26.0 - 1e-6, "{wait:?}");
    let free = Place { taken: 0, ..place };
    assert_eq!(waiting::judge(&[free], 0, DEADLINE), Verdict::Placed(0));
}

#[test]
fn a_request_waits_for_a_fast_leaf_rather_than_run_at_one_that_is_too_slow() {
    let fast = Place {
        capacity: 2,
        taken: 2,
        time: WORK,
        is_local: true,
    };
    let slow = Place {
        capacity: 2,
        taken: 0,
        time: WORK * 12,
        is_local: true,
    };

    assert_eq!(waiting::judge(&[fast, slow], 0, DEADLINE), Verdict::Waits);
    let far = Place {
        taken: 0,
        is_local: false,
        ..fast
    };
    let near = Place { taken: 0, ..fast };
    assert_eq!(
        waiting::judge(&[far, near], 0, DEADLINE),
        Verdict::Placed(1)
    );
}

#[test]
fn a_request_whose_host_is_lost_gives_its_place_back_at_its_deadline() {
    let mut world = World::new(&[1.0]);
    for _ in 0..SLOTS {
        world.ask("one", 1);
    }
    world.step();
    world.running.clear();
    world.known = vec![0.01];

    world.now += DEADLINE;
    world.ask("one", 1);
    world.step();

    assert_eq!(world.running.len(), 1);
}

#[test]
fn a_request_that_is_taken_back_leaves_the_queue() {
    let mut places = Placements::default();
    let now = Instant::now();
    let ticket = places.add(
        PlacementRequest {
            organisation: "one".into(),
            priority: 0,
            domain: "north".into(),
            deadline: now + DEADLINE,
        },
        now,
    );

    places.cancel(ticket);

    assert!(!places.has_waiting());
}

#[test]
fn all_hosts_choose_the_same_of_the_strongest_hosts_as_placer() {
    let names: Vec<Name> = (0..20)
        .map(|index| format!("host-{index}").into())
        .collect();
    let hosts = |order: &[usize]| -> Vec<Host<'_>> {
        let host = |index: &usize| Host {
            id: &names[*index],
            millicores: if *index < 4 { 500 } else { 120 },
        };
        order.iter().map(host).collect()
    };
    let order: Vec<usize> = (0..20).collect();
    let reversed: Vec<usize> = (0..20).rev().collect();
    let (one, other) = (hosts(&order), hosts(&reversed));

    let mut chosen: Vec<&Name> = Vec::new();
    for service in 0..40 {
        let service = format!("service-{service}");
        let placer = placement::choose_placer(&service, one.iter().copied());
        assert_eq!(
            placer,
            placement::choose_placer(&service, other.iter().copied())
        );
        chosen.extend(placer);
    }

    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen.len(), 4, "{chosen:?}");
    assert!(chosen.iter().all(|name| names[..4].contains(name)));
}

#[test]
fn only_requests_of_organisations_to_single_leaves_of_large_fleets_are_placed() {
    let single = Destination::Split(vec![SplitService {
        service: "desk".into(),
        weight: 1.0,
    }]);
    let shards = Destination::Shards(Shards {
        services: vec!["shard".into()],
        max_records: 5,
        min_ratio: 0.9,
    });
    let facts = PlacementFacts {
        destination: &single,
        has_organisation: true,
        hosts: 61,
        leaves: 3,
    };

    assert!(placement::is_placed(&facts));
    for other in [
        PlacementFacts {
            destination: &shards,
            ..facts
        },
        PlacementFacts {
            has_organisation: false,
            ..facts
        },
        PlacementFacts { hosts: 3, ..facts },
        PlacementFacts { leaves: 1, ..facts },
    ] {
        assert!(!placement::is_placed(&other), "{other:?}");
    }
}
