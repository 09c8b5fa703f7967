//! Roster: this host's copy of the leaves, the failure domains out of service and the entry
//! hosts in the registry.
//!
//! A registry that was unavailable drops the entries of leaves that could not renew their
//! leases, and the leaves write them again soon after. Such removals are applied
//! only after [`SUSPECT_PERIOD`]; all others immediately.

use {
    crate::{
        clock::Millis,
        collections::{Map, Name, Set, hash},
    },
    std::{cmp::Reverse, net::SocketAddr, time::Duration},
};

/// Suspect period after an outage of the registry, in which entries that expired during the
/// outage are written again: the platform states two seconds, the rest is for the delivery
/// to this host.
pub const SUSPECT_PERIOD: Duration = Duration::from_millis(2_300);

/// A leaf as its registry entry describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaf {
    /// Name of this incarnation; mostly a new one after each start of the leaf.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: Name,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// Rest of its warm-up time when the entry was written.
    pub warmup_left: Duration,
    /// Start of the process, Unix milliseconds; distinguishes starts under the same id.
    pub started_ms: u64,
}

impl Leaf {
    /// Returns whether both are the same start of the same leaf.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        (&self.id, self.address, self.started_ms) == (&other.id, other.address, other.started_ms)
            && self.service == other.service
    }
}

/// Whether a leaf takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes new requests.
    Serving,
    /// It is about to stop and takes none.
    Leaving,
}

/// An entry host with an entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the host.
    pub id: Name,
    /// Address at which it serves other entry hosts.
    pub address: SocketAddr,
    /// Failure domain; empty when its entry does not name one.
    pub domain: Name,
    /// Processor share, thousandths of a core.
    pub millicores: u32,
    /// Lease that its entry is written under; 0 when the entry does not name one.
    pub lease: u64,
}

impl Member {
    /// Returns the sort key of the host, by which hosts with the largest processor share
    /// come first. All hosts get the same order, whatever order they received the entries
    /// in.
    #[must_use]
    pub fn sort_key(&self) -> (Reverse<u32>, u64) {
        (Reverse(self.millicores), hash(&self.id, 0))
    }
}

/// One decoded change of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterChange {
    /// A leaf's entry was written.
    Leaf(Leaf),
    /// A leaf's entry was removed, or describes no leaf that can be used.
    LeafGone(Name),
    /// A failure domain was taken out of service.
    DomainOut(Name),
    /// A failure domain is back in service.
    DomainIn(Name),
    /// An entry host's entry was written.
    Member(Member),
    /// An entry host's entry was removed.
    MemberGone(Name),
}

/// Parts of the roster that changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangedParts {
    /// Leaves, or failure domains out of service.
    pub leaves: bool,
    /// Entry hosts.
    pub members: bool,
}

/// Copy of the registry's leaves, domains and entry hosts, with deferred removals.
#[derive(Debug, Default)]
pub struct Roster {
    leaves: Map<Name, Leaf>,
    domains_out: Set<Name>,
    members: Map<Name, Member>,
    /// Leaves whose removal is deferred, each with the time at which it is due.
    deferred_removals: Map<Name, Millis>,
    /// End of the suspect period, in which an outage of the registry may be the cause of
    /// removals.
    suspect_until: Millis,
}

impl Roster {
    /// Records that the registry was unavailable until `now`.
    pub fn record_outage(&mut self, now: Millis) {
        self.extend_suspect_period(now.plus(SUSPECT_PERIOD));
    }

    /// Extends the suspect period to `until`. Removals that are already deferred become due
    /// at its end.
    pub fn extend_suspect_period(&mut self, until: Millis) {
        self.suspect_until = self.suspect_until.max(until);
        for due_at in self.deferred_removals.values_mut() {
            *due_at = self.suspect_until;
        }
    }

    /// Returns the end of the suspect period.
    #[must_use]
    pub fn suspect_until(&self) -> Millis {
        self.suspect_until
    }

    /// Applies one change; a removal in the suspect period is deferred.
    pub fn apply_change(&mut self, change: RosterChange, now: Millis) -> ChangedParts {
        match change {
            RosterChange::Leaf(leaf) => {
                self.deferred_removals.remove(&leaf.id);
                let known = self.leaves.get(&leaf.id);
                let is_same = known.is_some_and(|known| *known == leaf);
                self.leaves.insert(leaf.id.clone(), leaf);
                ChangedParts::leaves(!is_same)
            }
            RosterChange::LeafGone(id) => self.remove_leaf(id, now),
            RosterChange::DomainOut(domain) => {
                ChangedParts::leaves(self.domains_out.insert(domain))
            }
            RosterChange::DomainIn(domain) => {
                ChangedParts::leaves(self.domains_out.remove(&domain))
            }
            RosterChange::Member(member) => {
                let id = member.id.clone();
                ChangedParts::members(self.members.insert(id, member.clone()) != Some(member))
            }
            RosterChange::MemberGone(id) => {
                ChangedParts::members(self.members.remove(&id).is_some())
            }
        }
    }

    /// Applies a complete copy of the registry: entries that it does not contain were
    /// removed.
    pub fn apply_copy(&mut self, all: Vec<RosterChange>, now: Millis) -> ChangedParts {
        let mut leaf_ids: Set<Name> = Set::default();
        let mut domains_out: Set<Name> = Set::default();
        let mut member_ids: Set<Name> = Set::default();
        for change in &all {
            match change {
                RosterChange::Leaf(leaf) => drop(leaf_ids.insert(leaf.id.clone())),
                RosterChange::DomainOut(domain) => drop(domains_out.insert(domain.clone())),
                RosterChange::Member(member) => drop(member_ids.insert(member.id.clone())),
                RosterChange::LeafGone(_)
                | RosterChange::DomainIn(_)
                | RosterChange::MemberGone(_) => {}
            }
        }
        let mut changed = ChangedParts::default();
        let missing = |known: &Name, ids: &Set<Name>| (!ids.contains(known)).then(|| known.clone());
        let mut removals: Vec<RosterChange> = Vec::new();
        removals.extend(
            self.leaves
                .keys()
                .filter_map(|id| missing(id, &leaf_ids))
                .map(RosterChange::LeafGone),
        );
        removals.extend(
            self.domains_out
                .iter()
                .filter_map(|id| missing(id, &domains_out))
                .map(RosterChange::DomainIn),
        );
        removals.extend(
            self.members
                .keys()
                .filter_map(|id| missing(id, &member_ids))
                .map(RosterChange::MemberGone),
        );
        for change in removals.into_iter().chain(all) {
            changed = changed.union(self.apply_change(change, now));
        }
        changed
    }

    /// Applies the deferred removals that are due.
    pub fn apply_due_removals(&mut self, now: Millis) -> ChangedParts {
        let leaves = &mut self.leaves;
        let before = leaves.len();
        self.deferred_removals.retain(|id, due_at| {
            let is_due = now >= *due_at;
            if is_due {
                leaves.remove(id);
            }
            !is_due
        });
        ChangedParts::leaves(leaves.len() != before)
    }

    /// Returns when the next deferred removal is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Millis> {
        self.deferred_removals.values().min().copied()
    }

    /// Returns the leaves that may get new requests.
    pub fn usable(&self) -> impl Iterator<Item = &Leaf> {
        self.leaves
            .values()
            .filter(|leaf| leaf.phase == Phase::Serving && !self.domains_out.contains(&leaf.domain))
    }

    /// Returns all entry hosts that have an entry in the registry, this one included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the entry host with the name `id`.
    #[must_use]
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns the whole roster as changes, for a host that syncs from this one.
    #[must_use]
    pub fn as_changes(&self) -> Vec<RosterChange> {
        let leaves = self.leaves.values().cloned().map(RosterChange::Leaf);
        let domains_out = self
            .domains_out
            .iter()
            .cloned()
            .map(RosterChange::DomainOut);
        let members = self.members.values().cloned().map(RosterChange::Member);
        leaves.chain(domains_out).chain(members).collect()
    }

    fn remove_leaf(&mut self, id: Name, now: Millis) -> ChangedParts {
        let Some(leaf) = self.leaves.get(&id) else {
            return ChangedParts::default();
        };
        // A leaf that announced that it stops does not write its entry again.
        if now < self.suspect_until && leaf.phase == Phase::Serving {
            self.deferred_removals
                .entry(id)
                .or_insert(self.suspect_until);
            return ChangedParts::default();
        }
        self.deferred_removals.remove(&id);
        self.leaves.remove(&id);
        ChangedParts::leaves(true)
    }
}

impl ChangedParts {
    fn leaves(leaves: bool) -> Self {
        Self {
            leaves,
            members: false,
        }
    }

    fn members(members: bool) -> Self {
        Self {
            leaves: false,
            members,
        }
    }

    /// Returns the parts that changed in `self` or in `other`.
    #[must_use]
    pub fn union(self, other: Self) -> Self {
        Self {
            leaves: self.leaves || other.leaves,
            members: self.members || other.members,
        }
    }
}
