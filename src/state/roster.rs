//! The roster: the leaves, domains taken out and entry hosts that a registry tells of.
//!
//! A registry that was out of reach drops the entries of leaves that could not renew
//! them, and gets them back soon after. Such removals are believed only after
//! [`RETURN_TIME`]; all others at once.

use {
    crate::{
        clock::Millis,
        collections::{Map, Name, Set, hash},
    },
    std::{cmp::Reverse, net::SocketAddr, time::Duration},
};

/// Time in which entries that lapsed while the registry was away are written again:
/// two seconds by the platform's word, and a little for the way here.
pub const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// A leaf as the registry tells of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaf {
    /// Name of this incarnation; a leaf that starts again mostly has a new one.
    pub id: Name,
    /// Its service.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// How much longer it stays cold, as of the entry's writing.
    pub cold: Duration,
    /// Start of the process, Unix milliseconds: tells starts under one id apart.
    pub born: u64,
}

impl Leaf {
    /// Returns whether both are the same start of the same leaf.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        (&self.id, self.address, self.born) == (&other.id, other.address, other.born)
            && self.service == other.service
    }
}

/// Whether a leaf takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does.
    Serving,
    /// It is about to stop.
    Leaving,
}

/// Another entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub id: Name,
    /// Where it answers other entry hosts.
    pub address: SocketAddr,
    /// Its failure domain; empty when it does not say.
    pub domain: Name,
    /// Share of a core that it has, thousandths.
    pub processor: u32,
    /// The lease that keeps its entry; 0 when it does not say.
    pub lease: u64,
}

impl Member {
    /// Returns the place of the host among the others, the most powerful first, in an order to
    /// which all hosts come whatever they learned first.
    #[must_use]
    pub fn rank(&self) -> (Reverse<u32>, u64) {
        (Reverse(self.processor), hash(&self.id, 0))
    }
}

/// One thing that the registry tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A leaf's entry was written.
    Leaf(Leaf),
    /// A leaf's entry is gone, or names no leaf that can be used.
    LeafGone(Name),
    /// A failure domain was taken out of service.
    DomainOut(Name),
    /// A failure domain is back in service.
    DomainBack(Name),
    /// An entry host is there.
    Member(Member),
    /// An entry host's entry is gone.
    MemberGone(Name),
}

/// What changed in the roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    /// Leaves or domains.
    pub leaves: bool,
    /// Entry hosts.
    pub members: bool,
}

/// What the registry told, with doubtful removals held back.
#[derive(Debug, Default)]
pub struct Roster {
    leaves: Map<Name, Leaf>,
    out: Set<Name>,
    members: Map<Name, Member>,
    /// Leaves whose removal is not believed yet, with the time at which it will be.
    doubted: Map<Name, Millis>,
    /// Until this time removals may come from the registry's own absence.
    doubt_until: Millis,
}

impl Roster {
    /// Notes that the registry was out of reach until `now`.
    pub fn was_away(&mut self, now: Millis) {
        self.doubt(now.plus(RETURN_TIME));
    }

    /// Notes that removals may come from the registry's own absence until `until`.
    pub fn doubt(&mut self, until: Millis) {
        self.doubt_until = self.doubt_until.max(until);
        for due in self.doubted.values_mut() {
            *due = self.doubt_until;
        }
    }

    /// Returns until when removals may come from the registry's own absence.
    #[must_use]
    pub fn doubt_until(&self) -> Millis {
        self.doubt_until
    }

    /// Takes in one piece of news.
    pub fn hear(&mut self, news: News, now: Millis) -> Changed {
        match news {
            News::Leaf(leaf) => {
                self.doubted.remove(&leaf.id);
                let known = self.leaves.get(&leaf.id);
                let is_same = known.is_some_and(|known| *known == leaf);
                self.leaves.insert(leaf.id.clone(), leaf);
                Changed::leaves(!is_same)
            }
            News::LeafGone(id) => self.lose(id, now),
            News::DomainOut(domain) => Changed::leaves(self.out.insert(domain)),
            News::DomainBack(domain) => Changed::leaves(self.out.remove(&domain)),
            News::Member(member) => {
                let id = member.id.clone();
                Changed::members(self.members.insert(id, member.clone()) != Some(member))
            }
            News::MemberGone(id) => Changed::members(self.members.remove(&id).is_some()),
        }
    }

    /// Takes in everything that the registry holds at once: what it does not name is
    /// gone.
    pub fn replace(&mut self, all: Vec<News>, now: Millis) -> Changed {
        let mut named: Set<Name> = Set::default();
        let mut out: Set<Name> = Set::default();
        let mut members: Set<Name> = Set::default();
        for news in &all {
            match news {
                News::Leaf(leaf) => drop(named.insert(leaf.id.clone())),
                News::DomainOut(domain) => drop(out.insert(domain.clone())),
                News::Member(member) => drop(members.insert(member.id.clone())),
                News::LeafGone(_) | News::DomainBack(_) | News::MemberGone(_) => {}
            }
        }
        let mut changed = Changed::default();
        let gone =
            |known: &Name, named: &Set<Name>| (!named.contains(known)).then(|| known.clone());
        let mut lost: Vec<News> = Vec::new();
        lost.extend(
            self.leaves
                .keys()
                .filter_map(|id| gone(id, &named))
                .map(News::LeafGone),
        );
        lost.extend(
            self.out
                .iter()
                .filter_map(|id| gone(id, &out))
                .map(News::DomainBack),
        );
        lost.extend(
            self.members
                .keys()
                .filter_map(|id| gone(id, &members))
                .map(News::MemberGone),
        );
        for news in lost.into_iter().chain(all) {
            changed = changed.or(self.hear(news, now));
        }
        changed
    }

    /// Lets removals take effect whose time has come.
    pub fn tick(&mut self, now: Millis) -> Changed {
        let leaves = &mut self.leaves;
        let before = leaves.len();
        self.doubted.retain(|id, due| {
            let is_due = now >= *due;
            if is_due {
                leaves.remove(id);
            }
            !is_due
        });
        Changed::leaves(leaves.len() != before)
    }

    /// Returns when the next doubted removal takes effect.
    #[must_use]
    pub fn next_due(&self) -> Option<Millis> {
        self.doubted.values().min().copied()
    }

    /// Returns the leaves that may get new requests.
    pub fn usable(&self) -> impl Iterator<Item = &Leaf> {
        self.leaves
            .values()
            .filter(|leaf| leaf.phase == Phase::Serving && !self.out.contains(&leaf.domain))
    }

    /// Returns the other entry hosts and this one, as far as the registry names them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the entry host of this name.
    #[must_use]
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns everything as news, for a host that learns from this one.
    #[must_use]
    pub fn all(&self) -> Vec<News> {
        let leaves = self.leaves.values().cloned().map(News::Leaf);
        let out = self.out.iter().cloned().map(News::DomainOut);
        let members = self.members.values().cloned().map(News::Member);
        leaves.chain(out).chain(members).collect()
    }

    fn lose(&mut self, id: Name, now: Millis) -> Changed {
        let Some(leaf) = self.leaves.get(&id) else {
            return Changed::default();
        };
        // A leaf that said it leaves is gone for good.
        if now < self.doubt_until && leaf.phase == Phase::Serving {
            self.doubted.entry(id).or_insert(self.doubt_until);
            return Changed::default();
        }
        self.doubted.remove(&id);
        self.leaves.remove(&id);
        Changed::leaves(true)
    }
}

impl Changed {
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

    /// Returns what changed in either.
    #[must_use]
    pub fn or(self, other: Self) -> Self {
        Self {
            leaves: self.leaves || other.leaves,
            members: self.members || other.members,
        }
    }
}
