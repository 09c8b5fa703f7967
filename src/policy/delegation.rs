//! Which hosts query the shards of a request.
//!
//! Handles a request to hundreds of shards on a small host. Sending, reading and merging
//! take more of that host's time than the leaves need, while the rest of the fleet is idle.
//! If every host queries every leaf only now and then, no host has open connections or
//! knows which leaves are slow. The shards are therefore divided among a few helpers, the
//! same ones for all requests of a domain, and the host that received the request merges
//! their partial results.

use {
    crate::collections::{Name, hash},
    std::time::Duration,
};

/// CPU time to query one leaf, on a full core.
const LEAF_COST: Duration = Duration::from_micros(55);

/// CPU time that a subquery costs the host that delegates it, on a full core.
const DELEGATION_COST: Duration = Duration::from_micros(150);

/// CPU time that a subquery costs its helper in addition to the leaves, on a full core.
const HELPER_COST: Duration = Duration::from_micros(150);

/// Round-trip time to another host.
const ROUND_TRIP_TIME: Duration = Duration::from_millis(2);

/// Minimum time that delegation must save: less does not justify a dependency on another
/// host, which may fail.
const MIN_SAVING: Duration = Duration::from_millis(5);

/// Maximum number of subqueries per group of shards.
const MAX_SUBQUERIES: usize = 12;

/// Divisor of the number of shards that gives the size of the smallest group: a subquery
/// costs more than the few bytes that a smaller group would keep within its domain.
const MIN_GROUP_DIVISOR: usize = 8;

/// A domain with at least this fraction of the shards of the domain with the most counts as
/// equally good, so that hosts of domains without leaves spread over several.
const COMPARABLE_RATIO: f64 = 0.8;

/// Additional helpers of a domain that replace failed ones.
const SPARE_HELPERS: usize = 2;

/// Maximum ratio of a helper's share of the shards to its share of the CPU.
const MAX_SHARE_FACTOR: f64 = 1.1;

/// A host that may query some of the shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Helper<'a> {
    /// Its name.
    pub id: &'a str,
    /// Its CPU share, in thousandths of a core.
    pub millicores: u32,
}

/// Domains in which a shard has leaves, as a bit set of domain indices.
pub type DomainSet = u64;

/// Number of domains in [`DomainSet`]; leaves of further domains count as in no domain.
pub const MAX_DOMAINS: usize = 64;

/// Shards that hosts of one domain query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Index of the domain.
    pub domain: usize,
    /// Indices of the shards.
    pub shards: Vec<usize>,
}

/// Returns the domains whose hosts query the `shards` of a request that `host` received,
/// and the shards of each: those with leaves in the domain, the own domain first. Shards
/// that fit no group join the first one. Each of `domains` has hosts that can query leaves;
/// `own_domain` is the index of `host`'s domain among them.
#[must_use]
pub fn group_by_domain(
    host: &str,
    own_domain: Option<usize>,
    domains: &[Name],
    shards: &[DomainSet],
) -> Vec<Group> {
    let seed = hash(host, 0);
    let min_shards = (shards.len() / MIN_GROUP_DIVISOR).max(1);
    let mut remaining: Vec<usize> = (0..shards.len()).collect();
    let mut groups: Vec<Group> = Vec::new();
    while remaining.len() >= min_shards {
        let count_shards = |domain: usize| {
            let has_leaf = |shard: &&usize| shards[**shard] & (1 << domain) != 0;
            remaining.iter().filter(has_leaf).count()
        };
        let counts: Vec<usize> = (0..domains.len().min(MAX_DOMAINS))
            .map(count_shards)
            .collect();
        let max_count = counts.iter().copied().max().unwrap_or(0);
        let is_comparable =
            |domain: &usize| to_f64(counts[*domain]) >= to_f64(max_count) * COMPARABLE_RATIO;
        let has_enough = |domain: &usize| {
            counts
                .get(*domain)
                .is_some_and(|count| *count >= min_shards)
        };
        let preferred = own_domain.filter(|own| groups.is_empty() && has_enough(own));
        let any_domain = || {
            let comparable = (0..counts.len()).filter(is_comparable);
            comparable.max_by_key(|domain| hash(&domains[*domain], seed))
        };
        let chosen = preferred.or_else(any_domain).filter(has_enough);
        let Some(domain) = chosen else { break };
        let (grouped, others) = remaining
            .into_iter()
            .partition(|shard| shards[*shard] & (1 << domain) != 0);
        remaining = others;
        groups.push(Group {
            domain,
            shards: grouped,
        });
    }
    if let Some(first) = groups.first_mut() {
        first.shards.extend(remaining);
    }
    groups
}

/// Returns the number of subqueries per group for a request on a host with `millicores`
/// thousandths of a core; empty if this host queries all shards itself. Each of `groups` is
/// a number of shards with the possible helpers, the most powerful first.
#[must_use]
pub fn subquery_counts(millicores: u32, groups: &[(usize, Vec<Helper>)]) -> Vec<usize> {
    let own_cores = cores(millicores);
    let shards = groups.iter().map(|(shards, _)| shards).sum();
    let undivided_time = cpu_seconds(LEAF_COST, to_f64(shards), own_cores);
    let mut delegation_time = ROUND_TRIP_TIME.as_secs_f64();
    let mut longest_query: f64 = 0.0;
    let mut counts = Vec::with_capacity(groups.len());
    for (shards, helpers) in groups {
        let mut helper_cores = 0.0;
        let mut best = (f64::INFINITY, 0.0, 0);
        for (index, helper) in helpers.iter().take(MAX_SUBQUERIES.min(*shards)).enumerate() {
            helper_cores += cores(helper.millicores);
            let delegation = cpu_seconds(DELEGATION_COST, to_f64(index + 1), own_cores);
            let query = cpu_seconds(LEAF_COST, to_f64(*shards), helper_cores)
                + cpu_seconds(HELPER_COST, 1.0, cores(helper.millicores));
            if delegation + query < best.0 {
                best = (delegation + query, query, index + 1);
            }
        }
        let (_, query, count) = best;
        delegation_time += cpu_seconds(DELEGATION_COST, to_f64(count), own_cores);
        longest_query = longest_query.max(query);
        counts.push(count);
    }
    let saves_time = delegation_time + longest_query < undivided_time - MIN_SAVING.as_secs_f64();
    if saves_time && !counts.contains(&0) {
        counts
    } else {
        Vec::new()
    }
}

/// Returns how many of a domain's `helpers`, the most powerful first, query the leaves for
/// requests to `shards` shards on all hosts, spare helpers included; 0 if each host queries
/// the leaves itself. `millicores` is the CPU share of a receiving host, in thousandths of
/// a core.
#[must_use]
pub fn helper_count(shards: usize, millicores: u32, helpers: &[Helper]) -> usize {
    let counts = subquery_counts(millicores, &[(shards, helpers.to_vec())]);
    counts
        .first()
        .map_or(0, |count| (count + SPARE_HELPERS).min(helpers.len()))
}

/// Returns the index of the helper of each of `shards`, by weighted rendezvous hashing with
/// a limit per helper. Hosts with the same `helpers` assign alike, and one helper more or
/// less moves few shards.
#[must_use]
pub fn assign_helpers<'a>(
    shards: impl Iterator<Item = &'a Name>,
    helpers: &[Helper],
) -> Vec<usize> {
    let shards: Vec<&Name> = shards.collect();
    let total_cores: f64 = helpers.iter().map(|helper| cores(helper.millicores)).sum();
    let mut room: Vec<f64> = helpers
        .iter()
        .map(|helper| {
            let share = to_f64(shards.len()) * cores(helper.millicores) / total_cores;
            (share * MAX_SHARE_FACTOR).ceil()
        })
        .collect();
    let seeds: Vec<u64> = helpers.iter().map(|helper| hash(helper.id, 0)).collect();
    let choose = |shard: &&Name| {
        let score = |index: usize| -> f64 {
            #[expect(clippy::cast_precision_loss, reason = "it is a random number")]
            let draw = (hash(shard, seeds[index]) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            cores(helpers[index].millicores) / -draw.ln()
        };
        let with_room = (0..helpers.len()).filter(|index| room[*index] >= 1.0);
        let best = with_room.max_by(|left, right| score(*left).total_cmp(&score(*right)));
        let best = best.unwrap_or(0);
        room[best] -= 1.0;
        best
    };
    shards.iter().map(choose).collect()
}

/// Returns the seconds that `count` operations of CPU time `cost` take on `cores` cores.
fn cpu_seconds(cost: Duration, count: f64, cores: f64) -> f64 {
    cost.as_secs_f64() * count / cores
}

/// Converts thousandths of a core to cores.
fn cores(millicores: u32) -> f64 {
    f64::from(millicores.max(1)) / 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "numbers of shards are small")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
