//! What an allocator knows of quotas: a bucket for each organisation, and since when it has been
//! an allocator of it.

use {
    super::quota_bucket::{QuotaBucket, Refill, Taken},
    crate::collections::{Map, Name},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// An entry host and its failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostPlace {
    /// Failure domain.
    pub domain: Name,
    /// Name of the host.
    pub id: Name,
}

/// What a host may spend of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A fixed part of it.
    Allocator,
    /// A part of the slack that the rule leaves, while allocators don't answer.
    Reserve,
}

/// A host's role for an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Role.
    pub role: Role,
    /// Since when it has had it, as far as is known.
    pub since: Instant,
    /// Whether another host may not have it any more.
    pub is_settled: bool,
}

/// How much a bucket gives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// How the bucket fills.
    pub refill: Refill,
    /// Tokens with which it starts.
    pub start: f64,
}

/// Allocator of the quotas of organisations.
#[derive(Debug, Default)]
pub struct QuotaAllocator {
    /// The hosts in force, the latest last, and those before that were until a moment ago.
    known: VecDeque<KnownHosts>,
    buckets: Map<Name, RoleBucket>,
}

#[derive(Debug)]
struct KnownHosts {
    since: Instant,
    hosts: Vec<HostPlace>,
}

#[derive(Debug)]
struct RoleBucket {
    role: Role,
    bucket: QuotaBucket,
}

impl QuotaAllocator {
    /// Records the present hosts. `role_of` tells this host's role for an organisation among
    /// some hosts. The buckets of roles that have ended are dropped: by the time that this host
    /// has the role again, another one may have spent what it held.
    pub fn record_hosts(
        &mut self,
        mut hosts: Vec<HostPlace>,
        role_of: impl Fn(&str, &[HostPlace]) -> Option<Role>,
        now: Instant,
    ) {
        hosts.sort_unstable();
        if self
            .known
            .back()
            .is_some_and(|latest| latest.hosts == hosts)
        {
            return;
        }
        self.buckets
            .retain(|organisation, bucket| role_of(organisation, &hosts) == Some(bucket.role));
        self.known.push_back(KnownHosts { since: now, hosts });
    }

    /// Returns the hosts in force.
    #[must_use]
    pub fn hosts(&self) -> &[HostPlace] {
        self.known.back().map_or(&[], |latest| &latest.hosts)
    }

    /// Returns the role that `role_of` tells for the present hosts. It is settled once it has
    /// been the same for `settle_time`, or since the first hosts that were recorded.
    pub fn tenure(
        &mut self,
        role_of: impl Fn(&[HostPlace]) -> Option<Role>,
        settle_time: Duration,
        now: Instant,
    ) -> Option<Tenure> {
        // The second ended the first.
        while self
            .known
            .get(1)
            .is_some_and(|next| now.saturating_duration_since(next.since) >= settle_time)
        {
            self.known.pop_front();
        }
        let role = role_of(self.hosts())?;
        let before = self.known.iter().rev();
        let same: Vec<Instant> = before
            .take_while(|known| role_of(&known.hosts) == Some(role))
            .map(|known| known.since)
            .collect();
        Some(Tenure {
            role,
            since: *same.last()?,
            is_settled: same.len() == self.known.len(),
        })
    }

    /// Takes up to `wanted` tokens of `organisation` that are there within `max_wait`.
    pub fn take(
        &mut self,
        organisation: &Name,
        tenure: Tenure,
        part: Part,
        wanted: u32,
        max_wait: Duration,
        now: Instant,
    ) -> Taken {
        let new = || RoleBucket {
            role: tenure.role,
            bucket: QuotaBucket::new(part.start, tenure.since),
        };
        let known = self
            .buckets
            .entry(organisation.clone())
            .and_modify(|known| {
                if known.role != tenure.role {
                    *known = new();
                }
            })
            .or_insert_with(new);
        known.bucket.take(part.refill, wanted, max_wait, now)
    }

    /// Forgets organisations that `is_known` doesn't hold for.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.buckets
            .retain(|organisation, _| is_known(organisation));
    }
}
