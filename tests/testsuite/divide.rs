//! Which hosts query the shards of a request, and what happens when one does not reply.

use {
    briarquay::{
        collections::Name,
        policy::{
            delegation::{self, DomainSet, Group, Helper},
            helper_failure::{self, Stage},
        },
    },
    std::time::Duration,
};

fn names(prefix: &str, count: usize) -> Vec<Name> {
    (0..count)
        .map(|number| format!("{prefix}-{number}").into())
        .collect()
}

/// Returns the hosts of a domain of a large deployment, the most powerful first.
fn helpers(names: &[Name]) -> Vec<Helper<'_>> {
    names
        .iter()
        .enumerate()
        .map(|(number, id)| Helper {
            id,
            millicores: if number < 3 { 500 } else { 120 },
        })
        .collect()
}

/// Returns shards with leaves in three of five domains.
fn shards_in_three_domains(count: usize) -> Vec<DomainSet> {
    let domain_sets = [
        0b00111, 0b01110, 0b11100, 0b11001, 0b10011, 0b01011, 0b10110, 0b01101, 0b11010, 0b10101,
    ];
    (0..count)
        .map(|shard| domain_sets[shard % domain_sets.len()])
        .collect()
}

fn check_each_shard_once(groups: &[Group], shards: usize) {
    let mut all: Vec<usize> = groups
        .iter()
        .flat_map(|group| group.shards.clone())
        .collect();
    all.sort_unstable();
    assert_eq!(all, (0..shards).collect::<Vec<_>>(), "each shard once");
}

#[test]
fn a_request_to_270_shards_on_an_eighth_of_a_core_is_divided() {
    let names = names("host", 60);
    let helpers = helpers(&names);
    for shards in [90, 180, 270] {
        let counts = delegation::subquery_counts(120, &[(shards, helpers.clone())]);
        let [count] = counts[..] else {
            panic!("request to {shards} shards is not divided");
        };
        assert!(
            (2..=8).contains(&count),
            "{count} subqueries for {shards} shards"
        );
    }
}

#[test]
fn a_host_with_a_quarter_of_a_core_queries_few_shards_itself() {
    let names = names("host", 9);
    let helpers: Vec<Helper> = names
        .iter()
        .map(|id| Helper {
            id,
            millicores: 250,
        })
        .collect();
    for shards in [1, 20, 30] {
        assert!(delegation::subquery_counts(250, &[(shards, helpers.clone())]).is_empty());
    }
    assert!(
        delegation::subquery_counts(120, &[(270, Vec::new())]).is_empty(),
        "no helpers"
    );
}

#[test]
fn hosts_of_a_domain_query_the_shards_that_have_leaves_there() {
    let domains = names("domain", 5);
    let shards = shards_in_three_domains(180);
    let groups = delegation::group_by_domain("entry", Some(2), &domains, &shards);
    check_each_shard_once(&groups, 180);
    assert_eq!(groups[0].domain, 2, "the own domain first");
    let count_local = |group: &Group| {
        let has_leaf = |shard: &&usize| shards[**shard] & (1 << group.domain) != 0;
        group.shards.iter().filter(has_leaf).count()
    };
    let local: usize = groups.iter().map(count_local).sum();
    assert!(local >= 160, "{local} of 180 with a leaf in the domain");
    assert!(groups.len() <= 3, "{} groups", groups.len());
}

#[test]
fn hosts_of_domains_without_leaves_spread_over_those_with_leaves() {
    let domains = names("domain", 5);
    let shards = vec![0b00111; 180];
    let mut chosen = [0; 5];
    for host in names("entry", 60) {
        let groups = delegation::group_by_domain(&host, Some(4), &domains, &shards);
        check_each_shard_once(&groups, 180);
        chosen[groups[0].domain] += 1;
    }
    assert_eq!(chosen[3..], [0, 0]);
    assert!(chosen[..3].iter().all(|count| *count > 8), "{chosen:?}");
}

#[test]
fn shards_without_leaves_anywhere_are_in_some_group() {
    let domains = names("domain", 2);
    let mut shards = vec![0b01; 30];
    shards.extend([0; 10]);
    let groups = delegation::group_by_domain("entry", Some(0), &domains, &shards);
    check_each_shard_once(&groups, 40);
    assert!(delegation::group_by_domain("entry", None, &domains, &[0; 10]).is_empty());
}

#[test]
fn helpers_get_shards_by_their_cpu_share_on_every_host() {
    let shards = names("shard", 270);
    let hosts = names("host", 8);
    let helpers = helpers(&hosts);
    let assigned = delegation::assign_helpers(shards.iter(), &helpers);
    assert_eq!(
        assigned,
        delegation::assign_helpers(shards.iter(), &helpers)
    );
    let total_millicores: f64 = helpers
        .iter()
        .map(|helper| f64::from(helper.millicores))
        .sum();
    for (index, helper) in helpers.iter().enumerate() {
        let count = assigned
            .iter()
            .filter(|assigned| **assigned == index)
            .count();
        let share = 270.0 * f64::from(helper.millicores) / total_millicores;
        let max_count = (share * 1.1).ceil();
        #[expect(clippy::cast_precision_loss, reason = "numbers of shards are small")]
        let count = count as f64;
        assert!(
            count <= max_count && count > share * 0.5,
            "{count} of {share}"
        );
    }
}

#[test]
fn removing_a_helper_moves_few_shards_of_the_others() {
    let shards = names("shard", 270);
    let hosts = names("host", 8);
    let all = helpers(&hosts);
    let rest: Vec<Helper> = all
        .iter()
        .copied()
        .filter(|helper| helper.id != "host-1")
        .collect();
    let before = delegation::assign_helpers(shards.iter(), &all);
    let after = delegation::assign_helpers(shards.iter(), &rest);
    let moved = before.iter().zip(&after).filter(|(before, after)| {
        let before = all[**before].id;
        before != "host-1" && before != rest[**after].id
    });
    assert!(
        moved.count() < 40,
        "most shards of the others keep their helper"
    );
}

#[test]
fn a_reassigned_subquery_reaches_no_more_leaves_than_the_route_allows() {
    for attempts in 1..=4 {
        // A helper that has not accepted in time has queried at most one leaf of a shard:
        // it delays second attempts for longer than that.
        assert_eq!(
            helper_failure::attempts_left(Stage::Sent, attempts),
            attempts - 1
        );
        assert_eq!(helper_failure::attempts_left(Stage::Taken, attempts), 0);
        assert_eq!(
            helper_failure::attempts_left(Stage::NotTaken, attempts),
            attempts
        );
    }
    for objective in [50, 100, 500].map(Duration::from_millis) {
        assert!(helper_failure::hedge_hold(objective) > helper_failure::accept_timeout(objective));
        assert!(
            helper_failure::accept_timeout(objective) * 2 < objective,
            "another helper has time left"
        );
    }
}

#[test]
fn few_hosts_of_a_domain_query_the_leaves_for_all_hosts() {
    let names = names("host", 60);
    let helpers = helpers(&names);
    let with_spares = delegation::helper_count(270, 120, &helpers);
    let subqueries = delegation::subquery_counts(120, &[(270, helpers.clone())])[0];
    assert!(with_spares > subqueries, "a failed helper can be replaced");
    assert!(with_spares <= 12, "{with_spares}");
    assert_eq!(delegation::helper_count(20, 250, &helpers[..9]), 0);
}

#[test]
fn the_backoff_from_a_helper_that_keeps_failing_grows() {
    let backoffs: Vec<Duration> = (1..=8).map(helper_failure::helper_backoff).collect();
    assert!(backoffs.is_sorted());
    assert_eq!(backoffs[0], Duration::from_secs(1));
    assert!(backoffs[7] <= Duration::from_secs(20), "it is used again");
}
