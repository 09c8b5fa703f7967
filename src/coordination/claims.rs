//! Claims of idempotency keys.
//!
//! A key is claimed in the platform's store before its request is sent, and a claim never
//! passes to another daemon. The claims of one shard are one value, changed by
//! compare-and-swap, so that two daemons that both act as the owner of the leaf can't both
//! claim a key. Claims that arrive during a write go into the next write together.

use {
    crate::collections::{Map, Name},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    xxhash_rust::xxh3::xxh3_128,
};

/// Time for which a claim is kept.
pub const CLAIM_TTL: Duration = Duration::from_hours(24);

/// Largest number of claims of one shard: more don't fit into one value of the store.
/// Beyond it, requests are rejected; claims are not dropped.
pub const MAX_CLAIMS: usize = 20_000;

/// Hash of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash(pub u128);

impl KeyHash {
    /// Returns the hash of a caller's key for a service.
    #[must_use]
    pub fn of(service: &str, key: &str) -> Self {
        let mut bytes = Vec::with_capacity(service.len() + key.len() + 1);
        bytes.extend_from_slice(service.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(key.as_bytes());
        Self(xxh3_128(&bytes))
    }
}

/// The claims of one shard, one value in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimSet {
    /// Random number of the last write, by which its writer recognises it.
    pub tag: u64,
    /// Hashes of claimed keys (32 hex digits) with the time of the claim, seconds since the
    /// Unix epoch.
    pub claims: std::collections::BTreeMap<String, u64>,
}

/// The reason why a key was not claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// The key was claimed before.
    Used,
    /// The shard has [`MAX_CLAIMS`] claims.
    Full,
}

impl ClaimSet {
    /// Parses claims from their JSON form in the store.
    ///
    /// # Errors
    ///
    /// Fails when the value is not a set of claims.
    pub fn parse(value: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(value)
    }

    /// Returns the JSON form of the claims for the store.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    #[must_use]
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("claims have a JSON form")
    }

    /// Claims `keys` at `now_s`, seconds since the Unix epoch, and drops claims older than
    /// [`CLAIM_TTL`]. Returns the keys that were denied, each with the reason.
    pub fn claim(&mut self, keys: &[KeyHash], now_s: u64) -> Map<KeyHash, ClaimError> {
        let oldest = now_s.saturating_sub(CLAIM_TTL.as_secs());
        self.claims.retain(|_, claimed| *claimed >= oldest);
        let mut denied = Map::default();
        for key in keys {
            let text = format!("{:032x}", key.0);
            if self.claims.contains_key(&text) {
                denied.insert(*key, ClaimError::Used);
            } else if self.claims.len() >= MAX_CLAIMS {
                denied.insert(*key, ClaimError::Full);
            } else {
                self.claims.insert(text, now_s);
            }
        }
        denied
    }

    /// Returns whether `key` is claimed.
    #[must_use]
    pub fn is_claimed(&self, key: KeyHash) -> bool {
        self.claims.contains_key(&format!("{:032x}", key.0))
    }
}

/// Returns the store's key for the claims of a shard.
#[must_use]
pub fn store_key(cluster: &str, service: &Name, shard: u32) -> String {
    format!("{cluster}.claims.{service}.{shard}")
}
