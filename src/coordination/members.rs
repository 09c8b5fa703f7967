//! The member list: one value in the platform's store, changed only by compare-and-swap.
//! Each change increments the epoch.
//!
//! Every daemon that may act as an owner is in the list: it joins before it acts, and is
//! removed only after it has given up its lease for good or was fenced.

use {
    super::placement::hash_weight,
    crate::{collections::Name, protocol::message::MemberKey},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Largest number of witnesses of a member, itself included; smaller fleets have fewer.
pub const MAX_WITNESSES: usize = 5;

/// A daemon in the member list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its id and term.
    #[serde(flatten)]
    pub key: MemberKey,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Epoch at which its witnesses were chosen.
    pub round: u64,
    /// Members that grant its lease, fixed for the round.
    pub witnesses: Vec<MemberKey>,
}

/// A daemon that wants to be a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name from its settings.
    pub id: Name,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
}

/// The member list of one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberList {
    /// Number of this list, one higher with each change.
    pub epoch: u64,
    /// Members in the order of their ids.
    pub members: Vec<Member>,
}

/// A change to the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a daemon. One that is already in the list with the same address gets a new
    /// term: it is bound to the address, so the earlier process has ended.
    Join(Candidate),
    /// Chooses new witnesses for a member.
    Rewitness(MemberKey),
    /// Removes members that were fenced or gave up their lease for good.
    Remove(Vec<MemberKey>),
}

impl MemberList {
    /// Parses the list from its JSON form in the store.
    ///
    /// # Errors
    ///
    /// Fails when the value is not a member list.
    pub fn parse(value: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(value)
    }

    /// Returns the JSON form of the list for the store.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    #[must_use]
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a member list has a JSON form")
    }

    /// Returns the member with that id.
    #[must_use]
    pub fn by_id(&self, id: &str) -> Option<&Member> {
        self.members.iter().find(|member| &*member.key.id == id)
    }

    /// Returns the member with that key.
    #[must_use]
    pub fn get(&self, key: &MemberKey) -> Option<&Member> {
        self.members.iter().find(|member| member.key == *key)
    }

    /// Returns the list of the next epoch, or `None` when `change` changes nothing.
    #[must_use]
    pub fn after(&self, change: &Change) -> Option<Self> {
        match change {
            Change::Join(candidate) => self.with_joined(candidate),
            Change::Rewitness(key) => self.with_new_witnesses(key),
            Change::Remove(keys) => self.with_removed(keys),
        }
    }

    fn with_joined(&self, candidate: &Candidate) -> Option<Self> {
        let epoch = self.epoch + 1;
        let is_elsewhere = self
            .by_id(&candidate.id)
            .is_some_and(|member| member.address != candidate.address);
        if is_elsewhere {
            return None;
        }
        let mut members = self.members.clone();
        members.retain(|member| member.key.id != candidate.id);
        let mut member = Member {
            key: MemberKey {
                id: candidate.id.clone(),
                term: epoch,
            },
            address: candidate.address,
            domain: candidate.domain.clone(),
            round: epoch,
            witnesses: Vec::new(),
        };
        member.witnesses = choose_witnesses(&member, &members);
        members.push(member);
        members.sort_by(|a, b| a.key.cmp(&b.key));
        Some(Self { epoch, members })
    }

    fn with_new_witnesses(&self, key: &MemberKey) -> Option<Self> {
        let epoch = self.epoch + 1;
        let mut members = self.members.clone();
        let index = members.iter().position(|member| member.key == *key)?;
        let mut member = members.remove(index);
        member.round = epoch;
        member.witnesses = choose_witnesses(&member, &members);
        members.insert(index, member);
        Some(Self { epoch, members })
    }

    fn with_removed(&self, keys: &[MemberKey]) -> Option<Self> {
        let mut members = self.members.clone();
        members.retain(|member| !keys.contains(&member.key));
        (members.len() < self.members.len()).then(|| Self {
            epoch: self.epoch + 1,
            members,
        })
    }

    /// Returns whether and how urgently `member` needs new witnesses.
    #[must_use]
    pub fn witness_need(&self, member: &Member) -> WitnessNeed {
        let present = member
            .witnesses
            .iter()
            .filter(|witness| self.get(witness).is_some())
            .count();
        let majority = member.witnesses.len() / 2 + 1;
        let wanted = witness_count(self.members.len());
        // A member that is its only witness can't be fenced by the others.
        let is_alone = member.witnesses.len() == 1 && wanted > 1;
        if is_alone || (member.witnesses.len() > 1 && present <= majority) {
            WitnessNeed::Urgent
        } else if member.witnesses.len() < wanted {
            WitnessNeed::Some
        } else {
            WitnessNeed::None
        }
    }
}

/// Whether and how urgently a member needs new witnesses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WitnessNeed {
    /// It has enough.
    None,
    /// It could have more, since members have joined.
    Some,
    /// The loss of one more witness would end its lease, or it is its only witness, so that
    /// the others can't fence it.
    Urgent,
}

/// Returns the number of witnesses of a member when the list has `members` members.
#[must_use]
pub fn witness_count(members: usize) -> usize {
    match members {
        // With two members, two witnesses each would stop both members when either dies.
        0..=2 => 1,
        3..=4 => 3,
        _ => MAX_WITNESSES,
    }
}

/// Chooses the witnesses of `member`: itself, then members of the failure domains in turn,
/// other domains first, so that the loss of one domain leaves a majority.
fn choose_witnesses(member: &Member, others: &[Member]) -> Vec<MemberKey> {
    let count = witness_count(others.len() + 1);
    let mut ranked: Vec<&Member> = others.iter().collect();
    ranked.sort_by_key(|other| std::cmp::Reverse(hash_weight(&member.key.id, &other.key.id)));
    let mut per_domain: Vec<(&Name, usize)> = vec![(&member.domain, 1)];
    let mut witnesses = vec![member.key.clone()];
    while witnesses.len() < count && !ranked.is_empty() {
        let used = |other: &Member| {
            per_domain
                .iter()
                .find(|(domain, _)| **domain == other.domain)
                .map_or(0, |(_, used)| *used)
        };
        let fewest = ranked.iter().map(|other| used(other)).min().unwrap_or(0);
        let index = ranked
            .iter()
            .position(|other| used(other) == fewest)
            .unwrap_or(0);
        let chosen = ranked.remove(index);
        match per_domain
            .iter_mut()
            .find(|(domain, _)| **domain == chosen.domain)
        {
            Some((_, used)) => *used += 1,
            None => per_domain.push((&chosen.domain, 1)),
        }
        witnesses.push(chosen.key.clone());
    }
    witnesses
}
