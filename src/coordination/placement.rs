//! Placement: assigns an owner to each leaf. It is a pure function of the member list and
//! the catalog, so that every daemon computes the same.
//!
//! Targets are placed one by one. Hashes give their order and rank the members for each
//! target. A member gets at most a quarter more leaves than the mean, and not two replicas
//! of one shard if that can be avoided. While the first owner of a leaf is fenced or
//! leaving, the owner is the remaining member that ranks highest by hash alone. So daemons
//! that know of different fenced or leaving members never name two owners that could both
//! be acting.

use {
    super::members::MemberList,
    crate::{
        collections::{Map, Name, Set},
        state::catalog::{Catalog, LeafId, TargetEntry},
    },
    std::{cmp::Reverse, sync::Arc},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Share of the mean number of leaves that a member may own beyond the mean, percent.
const EXCESS_PERCENT: usize = 25;

/// Odd multiplier that distributes the input bits over the product.
const MIX_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns the weight of a pair of hashes; the highest weight ranks first.
fn mix_hashes(a: u64, b: u64) -> u64 {
    let product = (a ^ b.rotate_left(32)).wrapping_mul(MIX_MULTIPLIER);
    (product ^ (product >> 29)).wrapping_mul(MIX_MULTIPLIER)
}

/// Returns the weight of the pair `a`, `b`; the highest weight ranks first.
#[must_use]
pub fn hash_weight(a: &str, b: &str) -> u64 {
    xxh3_64_with_seed(b.as_bytes(), xxh3_64_with_seed(a.as_bytes(), 0))
}

/// First owners of all leaves in one epoch.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    /// Epoch of the member list that it was computed from.
    pub epoch: u64,
    ids: Vec<Name>,
    first: Map<LeafId, (u32, Arc<str>)>,
}

impl Placement {
    /// Places the leaves of `catalog` on the members of `list`.
    #[must_use]
    pub fn new(list: &MemberList, catalog: &Catalog) -> Self {
        let ids: Vec<Name> = list
            .members
            .iter()
            .map(|member| member.key.id.clone())
            .collect();
        let mut placement = Self {
            epoch: list.epoch,
            ids,
            first: Map::default(),
        };
        if !placement.ids.is_empty() {
            placement.place_targets(catalog);
        }
        placement
    }

    fn place_targets(&mut self, catalog: &Catalog) {
        let seeds: Vec<u64> = self
            .ids
            .iter()
            .map(|id| xxh3_64_with_seed(id.as_bytes(), 0))
            .collect();
        let mut targets: Vec<&TargetEntry> = catalog.targets.iter().collect();
        targets.sort_by_cached_key(|target| (hash_weight("", &target.name), target.name.clone()));
        let max_leaves = max_leaves(catalog.leaves.len(), self.ids.len());
        let mut load = vec![0_usize; self.ids.len()];
        let mut shard_owners: Map<u64, Vec<usize>> = Map::default();
        for target in targets {
            let hash = xxh3_64_with_seed(target.name.as_bytes(), 0);
            let replica_owners: Vec<usize> = target
                .shards
                .iter()
                .filter_map(|shard| shard_owners.get(shard))
                .flatten()
                .copied()
                .collect();
            let has_no_replica = |index: usize| !replica_owners.contains(&index);
            let has_room = |index: usize| load[index] + target.leaves.len() <= max_leaves;
            let chosen = heaviest(&seeds, hash, |index| {
                has_room(index) && has_no_replica(index)
            })
            .or_else(|| heaviest(&seeds, hash, has_room))
            .or_else(|| heaviest(&seeds, hash, |_| true))
            .unwrap_or(0);
            load[chosen] += target.leaves.len();
            for shard in &target.shards {
                shard_owners.entry(*shard).or_default().push(chosen);
            }
            for leaf in &target.leaves {
                let first = u32::try_from(chosen).unwrap_or(0);
                self.first.insert(*leaf, (first, Arc::clone(&target.name)));
            }
        }
    }

    /// Returns the owner of `leaf` when the members in `excluded` own nothing.
    #[must_use]
    pub fn owner(&self, leaf: LeafId, excluded: &Set<Name>) -> Option<&Name> {
        let (first, target) = self.first.get(&leaf)?;
        let first = self.ids.get(*first as usize)?;
        if !excluded.contains(first) {
            return Some(first);
        }
        self.ids
            .iter()
            .filter(|id| !excluded.contains(*id))
            .max_by_key(|id| (hash_weight(id, target), Reverse(*id)))
    }

    /// Returns the leaves that `id` owns when the members in `excluded` own nothing.
    #[must_use]
    pub fn owned(&self, id: &str, excluded: &Set<Name>) -> Set<LeafId> {
        self.first
            .keys()
            .copied()
            .filter(|leaf| {
                self.owner(*leaf, excluded)
                    .is_some_and(|owner| &**owner == id)
            })
            .collect()
    }
}

/// Returns the index of the allowed seed with the highest weight.
fn heaviest(seeds: &[u64], hash: u64, is_allowed: impl Fn(usize) -> bool) -> Option<usize> {
    let mut best: Option<(u64, usize)> = None;
    for (index, seed) in seeds.iter().enumerate() {
        let weight = mix_hashes(*seed, hash);
        // The weight is compared first: it is cheaper than `is_allowed` and rarely a new
        // maximum.
        if best.is_none_or(|(most, _)| weight > most) && is_allowed(index) {
            best = Some((weight, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Returns the largest number of leaves that one member may own, rounded up.
fn max_leaves(leaves: usize, members: usize) -> usize {
    (leaves * (100 + EXCESS_PERCENT)).div_ceil(100 * members.max(1))
}
