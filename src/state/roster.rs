//! Roster: this host's copy of the leaves, the failure domains out of service and the entry
//! hosts in the registry.
//!
//! A registry that was unavailable drops the entries of leaves and hosts that could not renew
//! their leases, and one that was restored from an older copy lacks what was written since.
//! Both are written again soon after. Such removals are applied only after
//! [`SUSPECT_PERIOD`]; all others immediately.
//!
//! An older copy also holds entries as they were: a leaf that has announced its stop is ready
//! in it, one that has ended is there. So an entry is compared with what is known of the same
//! start of its leaf, by the number that the leaf gives its entries.

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

/// Time for which an entry from an older copy of a leaf that had ended is not used: the
/// registry removes it after three missed heartbeats if the leaf has indeed ended.
const RETURN_DELAY: Duration = Duration::from_secs(5);

/// Time for which leaves that have ended are remembered; copies that the registry is restored
/// from are some seconds old.
const ENDED_TTL: Duration = Duration::from_mins(1);

/// A leaf as its registry entry describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaf {
    /// Name of this incarnation; mostly a new one after each start of the leaf.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Version of its software; empty when its entry states none.
    pub version: Name,
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
    /// Number of the entry among those of this start; `None` when it has none.
    pub sequence: Option<u64>,
}

/// One start of a leaf.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeafStart {
    /// Name of the leaf.
    pub id: Name,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Start of the process, Unix milliseconds.
    pub started_ms: u64,
}

/// What the roster shows of starts of leaves that may have ended.
pub struct EndedStarts<'a> {
    leaves: &'a Map<Name, Leaf>,
    /// Latest start at each address, Unix milliseconds.
    latest: Map<SocketAddr, u64>,
}

impl EndedStarts<'_> {
    /// Returns whether the leaf has ended: the registry has no entry of this start, or one of a
    /// later start at its address.
    #[must_use]
    pub fn has_ended(&self, start: &LeafStart) -> bool {
        let known = self.leaves.get(&start.id);
        let is_listed = known.is_some_and(|leaf| leaf.start() == *start);
        let latest = self.latest.get(&start.address);
        !is_listed || latest.is_some_and(|latest| *latest > start.started_ms)
    }
}

impl Leaf {
    /// Returns which start of the leaf this entry is of.
    #[must_use]
    pub fn start(&self) -> LeafStart {
        LeafStart {
            id: self.id.clone(),
            address: self.address,
            started_ms: self.started_ms,
        }
    }

    /// Returns whether this entry is older than `other`, one of the same start of the leaf.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        self.sequence.is_some() && self.sequence < other.sequence && self.is_same_start(other)
    }

    /// Returns whether both entries say the same; their sequence numbers may differ.
    fn is_same_entry(&self, other: &Self) -> bool {
        let other = Self {
            sequence: self.sequence,
            ..other.clone()
        };
        *self == other
    }

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

/// A removal that is deferred, with the name of what is removed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Removal {
    Leaf(Name),
    /// Of a domain from those out of service.
    DomainOut(Name),
    Member(Name),
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
    /// Removals that are due at the end of the suspect period.
    deferred_removals: Set<Removal>,
    /// Leaves that have ended, as last known, each with the time at which it ended.
    ended: Map<Name, (Leaf, Millis)>,
    /// Entries of such leaves in a restored registry, each with the time from which the leaf
    /// is used after all.
    deferred_returns: Map<Name, (Leaf, Millis)>,
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
    }

    /// Returns the end of the suspect period.
    #[must_use]
    pub fn suspect_until(&self) -> Millis {
        self.suspect_until
    }

    /// Applies one change; a removal in the suspect period is deferred.
    pub fn apply_change(&mut self, change: RosterChange, now: Millis) -> ChangedParts {
        match change {
            RosterChange::Leaf(leaf) => self.add_leaf(leaf),
            RosterChange::LeafGone(id) => self.remove_leaf(id, now),
            RosterChange::DomainOut(domain) => {
                self.deferred_removals
                    .remove(&Removal::DomainOut(domain.clone()));
                ChangedParts::leaves(self.domains_out.insert(domain))
            }
            RosterChange::DomainIn(domain) => {
                ChangedParts::leaves(self.domains_out.remove(&domain))
            }
            RosterChange::Member(member) => {
                let id = member.id.clone();
                self.deferred_removals.remove(&Removal::Member(id.clone()));
                ChangedParts::members(self.members.insert(id, member.clone()) != Some(member))
            }
            RosterChange::MemberGone(id) if now < self.suspect_until => {
                self.deferred_removals.insert(Removal::Member(id));
                ChangedParts::default()
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
            let change = match change {
                RosterChange::DomainIn(domain) if now < self.suspect_until => {
                    self.deferred_removals.insert(Removal::DomainOut(domain));
                    continue;
                }
                RosterChange::Leaf(leaf) if self.is_return(&leaf, now) => {
                    let due_at = now.plus(RETURN_DELAY);
                    self.deferred_returns
                        .insert(leaf.id.clone(), (leaf, due_at));
                    continue;
                }
                change => change,
            };
            changed = changed.union(self.apply_change(change, now));
        }
        changed
    }

    /// Applies the deferred changes that are due.
    pub fn apply_due_changes(&mut self, now: Millis) -> ChangedParts {
        let removals = if now >= self.suspect_until {
            std::mem::take(&mut self.deferred_removals)
        } else {
            Set::default()
        };
        let removals = removals.into_iter().map(Removal::into_change);
        let returns = self
            .deferred_returns
            .extract_if(|_, (_, due_at)| now >= *due_at)
            .map(|(_, (leaf, _))| RosterChange::Leaf(leaf));
        let due: Vec<RosterChange> = removals.chain(returns).collect();
        due.into_iter()
            .map(|change| self.apply_change(change, now))
            .fold(ChangedParts::default(), ChangedParts::union)
    }

    /// Returns when the next deferred change is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Millis> {
        let removals = (!self.deferred_removals.is_empty()).then_some(self.suspect_until);
        let returns = self.deferred_returns.values().map(|(_, due_at)| *due_at);
        removals.into_iter().chain(returns).min()
    }

    /// Returns the leaves that may get new requests.
    pub fn usable(&self) -> impl Iterator<Item = &Leaf> {
        self.leaves
            .values()
            .filter(|leaf| leaf.phase == Phase::Serving && !self.domains_out.contains(&leaf.domain))
    }

    /// Returns what the registry shows of starts of leaves, whether they may get requests or not.
    #[must_use]
    pub fn ended_starts(&self) -> EndedStarts<'_> {
        let mut latest: Map<SocketAddr, u64> = Map::default();
        for leaf in self.leaves.values() {
            let started_ms = latest.entry(leaf.address).or_default();
            *started_ms = leaf.started_ms.max(*started_ms);
        }
        EndedStarts {
            leaves: &self.leaves,
            latest,
        }
    }

    /// Returns all entry hosts that have an entry in the registry, this one included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
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

    fn add_leaf(&mut self, mut leaf: Leaf) -> ChangedParts {
        self.deferred_removals
            .remove(&Removal::Leaf(leaf.id.clone()));
        self.deferred_returns.remove(&leaf.id);
        let known = self.leaves.get(&leaf.id);
        if known.is_some_and(|known| leaf.is_older_than(known)) {
            return ChangedParts::default();
        }
        // A leaf that announced that it stops does not change its mind.
        let is_leaving =
            |known: &&Leaf| known.phase == Phase::Leaving && known.is_same_start(&leaf);
        if known.as_ref().is_some_and(is_leaving) {
            leaf.phase = Phase::Leaving;
        }
        let is_same = known.is_some_and(|known| known.is_same_entry(&leaf));
        self.leaves.insert(leaf.id.clone(), leaf);
        ChangedParts::leaves(!is_same)
    }

    /// Returns whether `leaf` had ended with an entry that was not older.
    fn is_return(&self, leaf: &Leaf, now: Millis) -> bool {
        self.ended.get(&leaf.id).is_some_and(|(ended, at)| {
            now.since(*at) < ENDED_TTL
                && ended.is_same_start(leaf)
                && leaf.sequence <= ended.sequence
        })
    }

    fn remove_leaf(&mut self, id: Name, now: Millis) -> ChangedParts {
        self.deferred_returns.remove(&id);
        let Some(leaf) = self.leaves.get(&id) else {
            return ChangedParts::default();
        };
        // A leaf that announced that it stops does not write its entry again.
        if now < self.suspect_until && leaf.phase == Phase::Serving {
            self.deferred_removals.insert(Removal::Leaf(id));
            return ChangedParts::default();
        }
        self.deferred_removals.remove(&Removal::Leaf(id.clone()));
        self.ended.retain(|_, (_, at)| now.since(*at) < ENDED_TTL);
        if let Some(leaf) = self.leaves.remove(&id) {
            self.ended.insert(id, (leaf, now));
        }
        ChangedParts::leaves(true)
    }
}

impl Removal {
    fn into_change(self) -> RosterChange {
        match self {
            Self::Leaf(id) => RosterChange::LeafGone(id),
            Self::DomainOut(domain) => RosterChange::DomainIn(domain),
            Self::Member(id) => RosterChange::MemberGone(id),
        }
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
