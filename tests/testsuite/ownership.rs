//! Ownership, leases and rollout under lost, delayed and reordered messages, suspended
//! processes, restarts, planned stops, network partitions, store outages and lost
//! responses.

use {
    crate::world::{World, document},
    arbtest::{arbitrary::Unstructured, arbtest},
};

/// Random bytes that one run may draw.
const CHOICE_BYTES: u64 = 256 << 10;

/// Steps with faults in one run: 30 s of virtual time.
const FAULT_STEPS: usize = 1_500;

/// Steps in which members must get witnesses that can fence them: 400 ms of virtual time.
const FENCEABLE_STEPS: usize = 20;

/// Steps in one second of virtual time.
const STEPS_PER_SECOND: usize = 50;

/// Steps without faults in which the fleet must recover: 30 s of virtual time.
const RECOVERY_STEPS: usize = 1_500;

/// Runs a property once for each seed.
fn run_seeds(seeds: std::ops::Range<u64>, run: impl Fn(&mut Unstructured<'_>) + Copy) {
    for seed in seeds {
        let property = |u: &mut Unstructured<'_>| {
            run(u);
            Ok(())
        };
        arbtest(property).seed(seed << 32 | CHOICE_BYTES).run();
    }
}

/// Runs without new faults until the newest configuration is in force and every leaf
/// has an owner. Returns false when that takes longer than `bound_ms` of virtual time.
fn recovers_within(world: &mut World, u: &mut Unstructured<'_>, bound_ms: u128) -> bool {
    let started = world.now();
    while world.lags_behind_store() || world.owned_leaves().0 < world.owned_leaves().1 {
        world
            .step_without_faults(u)
            .expect("the run has enough random bytes");
        if world.now().since(started).as_millis() > bound_ms {
            return false;
        }
    }
    true
}

#[test]
fn no_leaf_ever_has_two_owners() {
    run_seeds(1..41, |u| {
        let mut world = World::new(6, &document(6));
        world
            .run_with_faults(u, FAULT_STEPS)
            .expect("the run has enough random bytes");
    });
}

#[test]
fn a_fleet_that_sends_changes_to_neighbours_only_keeps_and_restores_ownership() {
    run_seeds(151..159, |u| {
        let mut world = World::new(12, &document(9));
        world
            .run_with_faults(u, FAULT_STEPS)
            .expect("the run has enough random bytes");
        world
            .heal_and_run(u, RECOVERY_STEPS)
            .expect("the run has enough random bytes");
        assert_eq!(world.owned_leaves().0, world.owned_leaves().1);
    });
}

#[test]
fn every_leaf_has_an_owner_again_after_faults() {
    run_seeds(101..121, |u| {
        // Arrange
        let mut world = World::new(6, &document(6));
        world
            .run_with_faults(u, FAULT_STEPS / 3)
            .expect("the run has enough random bytes");

        // Act
        world
            .heal_and_run(u, RECOVERY_STEPS)
            .expect("the run has enough random bytes");

        // Assert
        let (owned, leaves) = world.owned_leaves();
        assert_eq!(owned, leaves);
        let (revisions, newest) = world.revisions();
        assert!(revisions.iter().all(|one| *one == newest), "{revisions:?}");
    });
}

#[test]
fn leaves_of_a_dead_daemon_have_an_owner_again_within_three_seconds() {
    for store_is_down in [false, true] {
        run_seeds(201..206, |u| {
            // Arrange
            let mut world = World::new(9, &document(9));
            world
                .heal_and_run(u, RECOVERY_STEPS)
                .expect("the run has enough random bytes");
            if store_is_down {
                world.stop_store();
            }

            // Act
            world.kill_daemon(u.choose_index(9).expect("the run has enough random bytes"));
            let recovered = recovers_within(&mut world, u, 3_000);

            // Assert
            assert!(recovered, "no recovery within 3 s");
        });
    }
}

#[test]
fn a_daemon_that_receives_no_new_configuration_loses_its_lease_within_five_seconds() {
    run_seeds(301..311, |u| {
        // Arrange
        let mut world = World::new(6, &document(6));
        world
            .heal_and_run(u, RECOVERY_STEPS)
            .expect("the run has enough random bytes");
        let uninformed = u.choose_index(6).expect("the run has enough random bytes");
        assert!(world.is_leased(uninformed));

        // Act
        world.block_configuration(uninformed);
        world
            .change_targets(u)
            .expect("the run has enough random bytes");
        let changed = world.now();
        while world.now().since(changed).as_secs() < 5 {
            world
                .step_without_faults(u)
                .expect("the run has enough random bytes");
        }

        // Assert
        for number in 0..6 {
            assert_eq!(world.is_leased(number), number != uninformed, "{number}");
        }
    });
}

#[test]
fn a_daemon_that_dies_right_after_the_start_is_fenced_within_four_seconds() {
    run_seeds(401..406, |u| {
        for victim in 0..6 {
            // Arrange
            let mut world = World::new(6, &document(6));
            world
                .heal_and_run(u, 1)
                .expect("the run has enough random bytes");
            while world.least_members() < 6 || world.owned_leaves().0 < world.owned_leaves().1 {
                world
                    .step_without_faults(u)
                    .expect("the run has enough random bytes");
            }
            world
                .heal_and_run(u, FENCEABLE_STEPS)
                .expect("the run has enough random bytes");

            // Act
            world.kill_daemon(victim);
            let recovered = recovers_within(&mut world, u, 4_000);

            // Assert
            assert!(recovered, "daemon {victim}: no recovery within 4 s");
        }
    });
}

#[test]
fn every_member_has_all_its_witnesses_two_seconds_after_the_last_join() {
    run_seeds(451..461, |u| {
        for count in [6, 9, 24] {
            // Arrange
            let mut world = World::new(count, &document(9));
            while world.least_members() < count {
                world
                    .step_without_faults(u)
                    .expect("the run has enough random bytes");
            }

            // Act
            world
                .heal_and_run(u, 2 * STEPS_PER_SECOND)
                .expect("the run has enough random bytes");

            // Assert
            let fewest = world.fewest_witnesses();
            assert_eq!(
                fewest, 5,
                "{count} daemons: the loss of a failure domain must leave a majority"
            );
        }
    });
}

#[test]
fn a_daemon_refused_by_some_witnesses_while_others_left_owns_leaves_again() {
    run_seeds(501..503, |u| {
        for first in 0..6 {
            // Arrange
            let mut world = World::new(6, &document(6));
            world
                .heal_and_run(u, RECOVERY_STEPS / 4)
                .expect("the run has enough random bytes");

            // Act: three deaths, each while another daemon is suspended past its lease.
            for round in 0..3 {
                let (dead, suspended) = ((first + round) % 6, (first + round + 2) % 6);
                world.kill_daemon(dead);
                world.suspend_daemon(suspended, 2_800);
                for _ in 0..140 {
                    world
                        .step_without_faults(u)
                        .expect("the run has enough random bytes");
                }
                world.restart_dead(dead);
                for _ in 0..45 {
                    world
                        .step_without_faults(u)
                        .expect("the run has enough random bytes");
                }
            }
            world
                .heal_and_run(u, RECOVERY_STEPS / 2)
                .expect("the run has enough random bytes");

            // Assert
            assert_eq!(world.owned_leaves().0, world.owned_leaves().1, "{first}");
        }
    });
}

#[test]
fn two_daemons_that_cannot_reach_each_other_do_not_delay_recovery() {
    run_seeds(601..606, |u| {
        // Arrange
        let mut world = World::new(6, &document(6));
        world
            .heal_and_run(u, RECOVERY_STEPS)
            .expect("the run has enough random bytes");
        world.cut_link(1, 3);

        // Act
        world.kill_daemon(u.choose_index(3).expect("the run has enough random bytes") * 2);
        let after_death = recovers_within(&mut world, u, 3_000);
        world
            .change_targets(u)
            .expect("the run has enough random bytes");
        let after_change = recovers_within(&mut world, u, 3_000);

        // Assert
        assert!(
            after_death && after_change,
            "recovered after the death: {after_death}, after the change: {after_change}"
        );
    });
}

/// Returns the number of digests that each daemon of a fleet of `count` sends on a change.
fn digests_of_a_change(u: &mut Unstructured<'_>, count: usize) -> usize {
    let mut world = World::new(count, &document(4));
    while world.least_members() < count || world.owned_leaves().0 < world.owned_leaves().1 {
        world
            .step_without_faults(u)
            .expect("the run has enough random bytes");
    }
    world
        .heal_and_run(u, RECOVERY_STEPS / 5)
        .expect("the run has enough random bytes");
    let before = world.sent_digests();
    let started = world.now();
    world.add_targets();
    assert!(
        recovers_within(&mut world, u, 1_000),
        "{count} daemons: no recovery within 1 s"
    );
    let took = world.now().since(started);
    while world.now().since(started).as_millis() < 1_000 {
        world
            .step_without_faults(u)
            .expect("the run has enough random bytes");
    }
    let after = world.sent_digests();
    let (digests, bytes) = (after.0 - before.0, after.1 - before.1);
    println!(
        "{count} daemons: {} digests, {} bytes each, owned after {took:?}",
        digests / count,
        bytes / count
    );
    digests / count
}

#[test]
fn digests_per_daemon_on_a_change_do_not_grow_with_a_large_fleet() {
    run_seeds(701..702, |u| {
        let (some, twice) = (digests_of_a_change(u, 24), digests_of_a_change(u, 48));
        assert!(
            4 * twice <= 5 * some,
            "{some} digests at 24 daemons, {twice} at 48"
        );
    });
}
