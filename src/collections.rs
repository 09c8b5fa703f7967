//! Hash maps and sets with a fast hasher; names and their hashes.

use {
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Hash map for keys that callers can't choose: its hasher does not resist chosen
/// collisions.
pub type Map<K, V> = HashMap<K, V, rustc_hash::FxBuildHasher>;

/// Hash set for keys that callers can't choose: its hasher does not resist chosen
/// collisions.
pub type Set<K> = HashSet<K, rustc_hash::FxBuildHasher>;

/// Name of a member, service, target or failure domain.
pub type Name = Arc<str>;

/// Returns a hash of `name` that is the same on all hosts.
#[must_use]
pub fn hash(name: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}
