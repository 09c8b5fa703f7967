//! Which hosts ask the shards of a request.
//!
//! Load it answers: a request to hundreds of shards that came to a small host. Sending,
//! reading and merging cost that host more time than the leaves need, while the rest of
//! the fleet idles, and with each host asking every leaf now and then nobody has warm
//! connections or knows which leaves are slow. The shards are divided among a few hosts,
//! the same for all requests of a domain, and the host that took the request merges what
//! they have merged.

use {
    crate::collections::{Name, hash},
    std::time::Duration,
};

/// Processor time of asking one leaf, on a whole core.
const LEAF_COST: Duration = Duration::from_micros(55);

/// Processor time that a piece costs the host that sends it, on a whole core.
const PIECE_COST: Duration = Duration::from_micros(150);

/// Processor time that a piece costs the host that takes it beside its leaves, on a whole
/// core.
const TAKING_COST: Duration = Duration::from_micros(150);

/// Time on the way to another host and back.
const HOP_TIME: Duration = Duration::from_millis(2);

/// Time that a division must save: less is not worth another host that may fail.
const LEAST_GAIN: Duration = Duration::from_millis(5);

/// Pieces of a request at most.
const MOST_PIECES: usize = 12;

/// One part in this many of the shards is the least for whose sake hosts of another domain
/// are asked: a piece costs more than the few bytes that it keeps within a domain.
const LEAST_GROUP: usize = 8;

/// Part of the most shards that a domain may have and be as good as the one with most, so
/// that hosts of domains without leaves spread over several.
const AS_GOOD: f64 = 0.8;

/// Hosts of a domain that ask in place of lost ones.
const SPARE_HELPERS: usize = 2;

/// How far above its share of the processors a host's share of the shards may lie.
const OVER_SHARE: f64 = 1.1;

/// A host that may ask some of the shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Helper<'a> {
    /// Its name.
    pub id: &'a str,
    /// Share of a core that it has, thousandths.
    pub processor: u32,
}

/// Domains in which a shard has leaves: a bit for the place of each.
pub type Homes = u64;

/// Domains that are told apart; leaves of further ones count as being nowhere near.
pub const MOST_DOMAINS: usize = 64;

/// Shards that hosts of one domain ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Place of the domain.
    pub domain: usize,
    /// Places of the shards.
    pub shards: Vec<usize>,
}

/// Returns the domains whose hosts ask for a request that came to the host `own`, and which
/// shards each asks: those with leaves there, those of the own domain first. `domains` have
/// hosts to ask; `near` is the place of the own one among them.
#[must_use]
pub fn groups(own: &str, near: Option<usize>, domains: &[Name], shards: &[Homes]) -> Vec<Group> {
    let seed = hash(own, 0);
    let least = (shards.len() / LEAST_GROUP).max(1);
    let mut left: Vec<usize> = (0..shards.len()).collect();
    let mut groups: Vec<Group> = Vec::new();
    while left.len() >= least {
        let count = |place: usize| {
            let is_home = |shard: &&usize| shards[**shard] & (1 << place) != 0;
            left.iter().filter(is_home).count()
        };
        let counts: Vec<usize> = (0..domains.len().min(MOST_DOMAINS)).map(count).collect();
        let most = counts.iter().copied().max().unwrap_or(0);
        let is_good = |place: &usize| as_number(counts[*place]) >= as_number(most) * AS_GOOD;
        let own = near.filter(|near| groups.is_empty() && counts[*near] >= least);
        let any = || {
            let good = (0..counts.len()).filter(is_good);
            good.max_by_key(|place| hash(&domains[*place], seed))
        };
        let chosen = own.or_else(any).filter(|place| counts[*place] >= least);
        let Some(domain) = chosen else { break };
        let (here, others) = left
            .into_iter()
            .partition(|shard| shards[*shard] & (1 << domain) != 0);
        left = others;
        groups.push(Group {
            domain,
            shards: here,
        });
    }
    if let Some(first) = groups.first_mut() {
        first.shards.extend(left);
    }
    groups
}

/// Returns how many of each group's helpers ask, the most powerful first, for a request on a
/// host with `processor` thousandths of a core; nothing when it asks by itself.
#[must_use]
pub fn pieces(processor: u32, groups: &[(usize, Vec<Helper>)]) -> Vec<usize> {
    let own = cores(processor);
    let shards = groups.iter().map(|(shards, _)| shards).sum();
    let alone = on(LEAF_COST, as_number(shards), own);
    let mut sending = HOP_TIME.as_secs_f64();
    let mut longest: f64 = 0.0;
    let mut counts = Vec::with_capacity(groups.len());
    for (shards, helpers) in groups {
        let mut power = 0.0;
        let mut best = (f64::INFINITY, 0.0, 0);
        for (place, helper) in helpers.iter().take(MOST_PIECES.min(*shards)).enumerate() {
            power += cores(helper.processor);
            let handing = on(PIECE_COST, as_number(place + 1), own);
            let asking = on(LEAF_COST, as_number(*shards), power)
                + on(TAKING_COST, 1.0, cores(helper.processor));
            if handing + asking < best.0 {
                best = (handing + asking, asking, place + 1);
            }
        }
        let (_, asking, count) = best;
        sending += on(PIECE_COST, as_number(count), own);
        longest = longest.max(asking);
        counts.push(count);
    }
    let is_worth = sending + longest < alone - LEAST_GAIN.as_secs_f64();
    if is_worth && !counts.contains(&0) {
        counts
    } else {
        Vec::new()
    }
}

/// Returns how many of a domain's `helpers`, the most powerful first, ask leaves of the shards
/// of requests to `shards` shards for all hosts, those in place of lost ones counted; 0 when
/// each host asks by itself.
#[must_use]
pub fn askers(shards: usize, processor: u32, helpers: &[Helper]) -> usize {
    let counts = pieces(processor, &[(shards, helpers.to_vec())]);
    counts
        .first()
        .map_or(0, |count| (count + SPARE_HELPERS).min(helpers.len()))
}

/// Returns for each of `shards` the place of the helper that asks it. Who has the same
/// helpers divides alike, and one helper more or less moves little.
#[must_use]
pub fn assign<'a>(shards: impl Iterator<Item = &'a Name>, helpers: &[Helper]) -> Vec<usize> {
    let shards: Vec<&Name> = shards.collect();
    let power: f64 = helpers.iter().map(|helper| cores(helper.processor)).sum();
    let mut room: Vec<f64> = helpers
        .iter()
        .map(|helper| {
            let share = as_number(shards.len()) * cores(helper.processor) / power;
            (share * OVER_SHARE).ceil()
        })
        .collect();
    let seeds: Vec<u64> = helpers.iter().map(|helper| hash(helper.id, 0)).collect();
    let choose = |shard: &&Name| {
        let weigh = |place: usize| -> f64 {
            #[expect(clippy::cast_precision_loss, reason = "it is a random number")]
            let draw = (hash(shard, seeds[place]) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            cores(helpers[place].processor) / -draw.ln()
        };
        let open = (0..helpers.len()).filter(|place| room[*place] >= 1.0);
        let best = open.max_by(|left, right| weigh(*left).total_cmp(&weigh(*right)));
        let best = best.unwrap_or(0);
        room[best] -= 1.0;
        best
    };
    shards.iter().map(choose).collect()
}

/// Returns the seconds that `count` works of `cost` take on part of a core.
fn on(cost: Duration, count: f64, cores: f64) -> f64 {
    cost.as_secs_f64() * count / cores
}

fn cores(processor: u32) -> f64 {
    f64::from(processor.max(1)) / 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "numbers of shards are small")]
fn as_number(count: usize) -> f64 {
    count as f64
}
