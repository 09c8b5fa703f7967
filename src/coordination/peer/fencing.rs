//! Grants leases to other members as their witness, and fences members whose lease lapsed.

use {
    super::{Action, Gates, LogEvent, Peer},
    crate::{
        clock::Millis,
        collections::Set,
        protocol::message::{
            FenceVote, Granted, LeaseKey, MemberKey, Message, Pull, Refused, Renew,
        },
    },
    std::time::Duration,
};

/// Time between two requests for votes on lapsed leases.
const FENCE_INTERVAL: Duration = Duration::from_millis(100);

impl Peer {
    /// Tracks the leases in the member list that name this daemon as a witness.
    pub(super) fn watch_leases(&mut self, now: Millis) {
        let Some(own) = &self.key else { return };
        let leases: Set<LeaseKey> = self
            .list
            .members
            .iter()
            .filter(|member| member.key != *own && member.witnesses.contains(own))
            .map(|member| LeaseKey {
                member: member.key.clone(),
                round: member.round,
            })
            .collect();
        self.witness.track_leases(&leases, now, self.lease);
    }

    /// Replies to a renewal. A renewal from a daemon with an older configuration or member
    /// list is refused, so that no daemon acts on those beyond its lease.
    pub(super) fn reply_to_renewal(
        &mut self,
        from: &MemberKey,
        renew: Renew,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if renew.revision > self.record.revision || renew.epoch > self.list.epoch {
            self.send_pull(&from.id, actions);
        }
        let is_behind = renew.revision < self.record.revision || renew.epoch < self.list.epoch;
        if is_behind {
            let pull = Pull {
                epoch: renew.epoch,
                revision: renew.revision,
            };
            self.reply_to_pull(&from.id, pull, actions);
        }
        let lease = LeaseKey {
            member: from.clone(),
            round: renew.round,
        };
        let message = if !is_behind && self.witness.renew(&lease, now) {
            Message::Granted(Granted {
                round: renew.round,
                sent: renew.sent,
            })
        } else {
            Message::Refused(Refused {
                round: renew.round,
                fenced: self.witness.is_fenced(from),
            })
        };
        actions.push(Action::Send {
            to: from.id.clone(),
            message,
        });
    }

    /// Requests votes from the other witnesses on the leases that lapsed on this daemon.
    pub(super) fn request_fences(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.fence_at {
            return;
        }
        self.fence_at = now.plus(FENCE_INTERVAL);
        for lease in self.witness.lapsed(now, self.lease) {
            let Some(member) = self.list.get(&lease.member) else {
                continue;
            };
            if member.round != lease.round || self.is_gone(&lease.member) {
                continue;
            }
            let own = self.key();
            let others = member.witnesses.iter().filter(|key| **key != own);
            for witness in others.filter(|key| key.id != lease.member.id) {
                actions.push(Action::Send {
                    to: witness.id.clone(),
                    message: Message::FenceAsk(lease.clone()),
                });
            }
        }
    }

    pub(super) fn send_fence_vote(
        &mut self,
        from: &MemberKey,
        lease: LeaseKey,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let fenced = self.witness.vote_to_fence(&lease, now, self.lease);
        actions.push(Action::Send {
            to: from.id.clone(),
            message: Message::FenceVote(FenceVote { lease, fenced }),
        });
    }

    pub(super) fn count_fence_vote(
        &mut self,
        from: &MemberKey,
        vote: FenceVote,
        now: Millis,
        gates: &impl Gates,
        actions: &mut Vec<Action>,
    ) {
        let lease = vote.lease;
        let Some(member) = self.list.get(&lease.member) else {
            return;
        };
        let is_current = member.round == lease.round && member.witnesses.contains(from);
        if !vote.fenced || !is_current {
            return;
        }
        let majority = member.witnesses.len() / 2 + 1;
        let own = self.key();
        let own_vote = self.witness.vote_to_fence(&lease, now, self.lease);
        let votes = self.votes.entry(lease.clone()).or_default();
        votes.insert(from.clone());
        if own_vote {
            votes.insert(own);
        }
        if votes.len() < majority {
            return;
        }
        let fenced = vec![lease.member.clone()];
        self.apply_fenced(&fenced, now, gates, actions);
        let others: Vec<_> = self.other_members().map(|key| key.id.clone()).collect();
        for to in others {
            let message = Message::Fenced(fenced.clone());
            actions.push(Action::Send { to, message });
        }
    }

    pub(super) fn apply_fenced(
        &mut self,
        members: &[MemberKey],
        now: Millis,
        gates: &impl Gates,
        actions: &mut Vec<Action>,
    ) {
        if self.key.as_ref().is_some_and(|own| members.contains(own)) {
            self.end_membership(now, gates, actions);
            return;
        }
        let mut is_changed = false;
        for key in members {
            if self.list.get(key).is_some() && self.fenced.insert(key.clone()) {
                actions.push(Action::Log(LogEvent::Fenced(key.clone())));
                is_changed = true;
            }
        }
        if is_changed {
            self.votes
                .retain(|lease, _| !members.contains(&lease.member));
            self.update_placement(now, gates, actions);
            self.acquire_leaves(now, gates, actions);
            self.dirty = true;
        }
    }

    /// Ends this daemon's membership after it was fenced: the others have assigned its
    /// leaves to new owners, so it must use neither its lease nor its leaves again.
    pub(super) fn end_membership(
        &mut self,
        now: Millis,
        gates: &impl Gates,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Log(LogEvent::FencedSelf));
        self.holder.abandon();
        self.key = None;
        self.update_placement(now, gates, actions);
    }
}
