//! The lease under which a daemon acts as an owner.
//!
//! A lease holds while a majority of a member's witnesses have granted it. The holder
//! measures its lifetime from the time at which it sent the renewal, a witness from the
//! time at which it granted it plus [`CLOCK_DRIFT_MARGIN`]. So a holder stops before its witnesses vote
//! to fence it.

use {
    crate::{
        clock::Millis,
        collections::{Map, Name, Set},
        protocol::message::{LeaseKey, MemberKey},
    },
    std::time::Duration,
};

/// Margin that a witness adds to the lifetime of a lease, since clocks run at different
/// speeds.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(50);

/// The lease under one set of witnesses, on the side of its holder.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Round {
    number: u64,
    witnesses: Vec<MemberKey>,
    granted: Map<MemberKey, Millis>,
    /// Time of the proposal. Witnesses of a proposed round count it as granted when they
    /// receive the list, which is never before this time.
    proposed: Option<Millis>,
    /// Whether the round is in a member list that this daemon has.
    listed: bool,
}

impl Round {
    fn until(&self, lease: Duration) -> Millis {
        let mut times: Vec<Millis> = self.granted.values().copied().collect();
        times.sort_unstable();
        let majority = self.witnesses.len() / 2 + 1;
        let granted = times
            .len()
            .checked_sub(majority)
            .map_or(Millis(0), |index| times[index].plus(lease));
        let proposed = self.proposed.map_or(Millis(0), |at| at.plus(lease));
        granted.max(proposed)
    }
}

/// A daemon's own lease.
///
/// While a member changes its witnesses, the old round stays until every other member knows
/// the new one; the daemon acts only while it holds the lease under both.
#[derive(Clone, Debug)]
pub struct Holder {
    id: Name,
    lease: Duration,
    rounds: Vec<Round>,
    /// Witnesses that refuse to renew the current round for good.
    refusing: Set<MemberKey>,
}

impl Holder {
    /// Returns the lease of a daemon that has not joined.
    #[must_use]
    pub fn new(id: Name, lease: Duration) -> Self {
        Self {
            id,
            lease,
            rounds: Vec::new(),
            refusing: Set::default(),
        }
    }

    /// Adds a new round before a list with it is proposed.
    ///
    /// From now on the daemon must stop before witnesses of the new round may fence it,
    /// whether the proposal succeeds or not.
    pub fn add_proposed_round(&mut self, round: u64, witnesses: &[MemberKey], now: Millis) {
        // The same change is written again after the response to the first write was lost.
        // The first write may be the one that took effect.
        if self.rounds.iter().any(|lease| lease.number == round) {
            return;
        }
        // A proposal gives no lease to a daemon that has none.
        let is_leased = self.until() > now;
        self.rounds.push(Round {
            number: round,
            witnesses: witnesses.to_vec(),
            granted: Map::default(),
            proposed: is_leased.then_some(now),
            listed: false,
        });
    }

    /// Drops a proposed round whose proposal has failed for certain.
    pub fn withdraw(&mut self, round: u64) {
        self.rounds
            .retain(|lease| lease.number != round || lease.listed);
    }

    /// Applies the member list of `epoch`, in which this daemon has `round`.
    pub fn apply_list(&mut self, epoch: u64, round: u64, witnesses: &[MemberKey]) {
        // A proposed round of this epoch or an earlier one that is not in the list has
        // failed.
        self.rounds
            .retain(|lease| lease.listed || lease.number > epoch || lease.number == round);
        if let Some(lease) = self.rounds.iter_mut().find(|lease| lease.number == round) {
            if !lease.listed {
                lease.listed = true;
                self.refusing.clear();
            }
            return;
        }
        self.refusing.clear();
        self.rounds.push(Round {
            number: round,
            witnesses: witnesses.to_vec(),
            granted: Map::default(),
            proposed: None,
            listed: true,
        });
    }

    /// Drops every listed round but `round`, once all members know it.
    pub fn drop_old_rounds(&mut self, round: u64) {
        self.rounds
            .retain(|lease| !lease.listed || lease.number == round);
    }

    /// Drops every round, and with it the lease.
    pub fn abandon(&mut self) {
        self.rounds.clear();
        self.refusing.clear();
    }

    /// Discards all grants after the process was suspended for an unknown time.
    pub fn discard_grants(&mut self) {
        for lease in &mut self.rounds {
            lease.granted.clear();
            lease.proposed = None;
        }
    }

    /// Returns the witnesses to send a renewal to, each with its round, without this daemon.
    #[must_use]
    pub fn renewals(&self) -> Vec<(MemberKey, u64)> {
        let renewals = self.rounds.iter().flat_map(|lease| {
            let round = lease.number;
            lease
                .witnesses
                .iter()
                .map(move |witness| (witness.clone(), round))
        });
        renewals
            .filter(|(witness, _)| witness.id != self.id)
            .collect()
    }

    /// Records the grant of this daemon to itself at `now`.
    pub fn grant_self(&mut self, now: Millis) {
        for lease in &mut self.rounds {
            let own = lease.witnesses.iter().find(|witness| witness.id == self.id);
            if let Some(own) = own.cloned() {
                lease.granted.insert(own, now);
            }
        }
    }

    /// Records a witness's grant of a renewal that was sent at `sent`.
    pub fn record_grant(&mut self, witness: &MemberKey, round: u64, sent: Millis) {
        for lease in &mut self.rounds {
            if lease.number == round && lease.witnesses.contains(witness) {
                let granted = lease.granted.entry(witness.clone()).or_default();
                *granted = sent.max(*granted);
            }
        }
    }

    /// Records that a witness will never renew `round` again.
    pub fn record_refusal(&mut self, witness: &MemberKey, round: u64) {
        if self
            .rounds
            .last()
            .is_some_and(|lease| lease.number == round)
        {
            self.refusing.insert(witness.clone());
        }
    }

    /// Returns the witnesses that will never renew the current round again.
    #[must_use]
    pub fn refusing(&self) -> &Set<MemberKey> {
        &self.refusing
    }

    /// Returns whether an older round is still needed beside the current one.
    #[must_use]
    pub fn has_old_round(&self) -> bool {
        self.rounds.iter().filter(|lease| lease.listed).count() > 1
    }

    /// Returns the time at which the lease ends; the daemon must not act from then on.
    #[must_use]
    pub fn until(&self) -> Millis {
        self.rounds
            .iter()
            .map(|lease| lease.until(self.lease))
            .min()
            .unwrap_or(Millis(0))
    }
}

/// The grants and fence votes that a daemon, as a witness, has given to others.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    grants: Map<LeaseKey, Millis>,
    fenced: Set<MemberKey>,
}

impl Witness {
    /// Sets the leases that this daemon is a witness of. A new one counts as granted at
    /// `now`, since its holder may rely on that. One that is no longer in the list stays
    /// until it lapses, since some members may not have the new list.
    pub fn track_leases(&mut self, leases: &Set<LeaseKey>, now: Millis, lease: Duration) {
        self.grants.retain(|key, granted| {
            leases.contains(key) || now < granted.plus(lease + CLOCK_DRIFT_MARGIN)
        });
        for key in leases {
            self.grants.entry(key.clone()).or_insert(now);
        }
    }

    /// Counts every grant as given at `now`, after the process was suspended.
    pub fn restart_grants(&mut self, now: Millis) {
        for granted in self.grants.values_mut() {
            *granted = now;
        }
    }

    /// Grants a renewal. Returns false when the member is fenced or this daemon does not
    /// track the lease.
    pub fn renew(&mut self, key: &LeaseKey, now: Millis) -> bool {
        if self.fenced.contains(&key.member) {
            return false;
        }
        let granted = self.grants.get_mut(key);
        granted.map(|granted| *granted = now).is_some()
    }

    /// Returns whether this witness has voted to fence the member, which is final.
    #[must_use]
    pub fn is_fenced(&self, member: &MemberKey) -> bool {
        self.fenced.contains(member)
    }

    /// Votes to fence a member whose lease has lapsed, and returns whether it did so now or
    /// before. The vote is final: this witness never renews the member's lease again.
    pub fn vote_to_fence(&mut self, key: &LeaseKey, now: Millis, lease: Duration) -> bool {
        let Some(granted) = self.grants.get(key) else {
            return false;
        };
        if now >= granted.plus(lease + CLOCK_DRIFT_MARGIN) {
            self.fenced.insert(key.member.clone());
        }
        self.fenced.contains(&key.member)
    }

    /// Returns the leases that this daemon granted and that have lapsed.
    #[must_use]
    pub fn lapsed(&self, now: Millis, lease: Duration) -> Vec<LeaseKey> {
        let lapsed = self
            .grants
            .iter()
            .filter(|(_, granted)| now >= granted.plus(lease + CLOCK_DRIFT_MARGIN));
        lapsed.map(|(key, _)| key.clone()).collect()
    }
}
