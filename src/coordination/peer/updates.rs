//! Applies member lists and configuration records, and sends them on to other members.

use {
    super::{Action, Gates, LogEvent, Peer},
    crate::{
        clock::Millis,
        collections::{Name, Set},
        coordination::{
            members::MemberList,
            rollout::{PackedRecord, Record, push_children},
        },
        declaration::Declaration,
        protocol::message::{MemberKey, Message, Pull},
        state::catalog::Catalog,
    },
    bytes::Bytes,
    std::sync::Arc,
};

fn has_same_members(former: &MemberList, list: &MemberList) -> bool {
    let keys = |list: &MemberList| -> Vec<MemberKey> {
        let members = list.members.iter();
        members.map(|member| member.key.clone()).collect()
    };
    keys(former) == keys(list)
}

impl Peer {
    /// Applies a member list from the store or a peer, if its epoch is newer.
    pub fn apply_list(
        &mut self,
        list: MemberList,
        from_store: bool,
        now: Millis,
        gates: &impl Gates,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if list.epoch <= self.list.epoch {
            return actions;
        }
        let value = Bytes::from(list.to_value());
        actions.push(Action::Log(LogEvent::Epoch {
            epoch: list.epoch,
            members: list.members.len(),
        }));
        if !has_same_members(&self.list, &list) {
            self.changed_at = now;
        }
        self.update_key(&list);
        self.list = Arc::new(list);
        self.listed_at = now;
        let members: Set<&MemberKey> = self.list.members.iter().map(|member| &member.key).collect();
        self.digests.retain(|key, _| members.contains(key));
        self.fenced.retain(|key| members.contains(key));
        self.collect_acks();
        self.watch_leases(now);
        self.update_placement(now, gates, &mut actions);
        self.push_message(
            &Message::Members(value),
            self.list.epoch,
            from_store,
            &mut actions,
        );
        self.dirty = true;
        self.renew_at = now;
        self.renew_lease(now, &mut actions);
        actions
    }

    fn update_key(&mut self, list: &MemberList) {
        let member = list
            .by_id(&self.candidate.id)
            .filter(|member| member.address == self.candidate.address);
        let known = self.key.as_ref();
        match member {
            Some(member) if known == Some(&member.key) => {
                self.holder
                    .apply_list(list.epoch, member.round, &member.witnesses);
            }
            // A key with a term that this process did not propose is from an earlier
            // process.
            Some(member) if self.key.is_none() && self.join_terms.contains(&member.key.term) => {
                self.key = Some(member.key.clone());
                self.holder.abandon();
                self.holder
                    .apply_list(list.epoch, member.round, &member.witnesses);
            }
            _ => {
                self.holder.abandon();
                self.key = None;
            }
        }
    }

    /// Applies a configuration record from the store or a peer, if its revision is newer.
    pub fn apply_record(
        &mut self,
        value: &Bytes,
        from_store: bool,
        now: Millis,
        gates: &impl Gates,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let record = match Record::parse(value) {
            Ok(record) => record,
            Err(error) => {
                actions.push(Action::Log(LogEvent::BadRecord(error.to_string())));
                return actions;
            }
        };
        if record.revision <= self.record.revision {
            return actions;
        }
        let declaration = match Declaration::parse(&record.document) {
            Ok(declaration) => declaration,
            Err(problems) => {
                actions.push(Action::Log(LogEvent::BadRecord(problems.to_string())));
                return actions;
            }
        };
        self.catalog = Arc::new(Catalog::new(record.revision, &declaration));
        let previous = (self.record.revision, self.record_value.clone());
        self.previous = (previous.0 > 0).then_some(previous);
        self.record = record;
        self.record_value = value.clone();
        self.collect_acks();
        actions.push(Action::InForce(self.record.revision));
        self.update_placement(now, gates, &mut actions);
        // Most members have the previous record, so the message holds the difference from
        // that.
        let before = self.previous.as_ref().map_or(0, |(revision, _)| *revision);
        if let Some(packed) = self.pack_record(before) {
            let message = Message::Document(packed);
            self.push_message(&message, self.record.revision, from_store, &mut actions);
        }
        self.dirty = true;
        self.renew_at = now;
        actions
    }

    pub(super) fn send_pull(&self, to: &Name, actions: &mut Vec<Action>) {
        actions.push(Action::Send {
            to: to.clone(),
            message: Message::Pull(Pull {
                epoch: self.list.epoch,
                revision: self.record.revision,
            }),
        });
    }

    pub(super) fn reply_to_pull(&self, to: &Name, pull: Pull, actions: &mut Vec<Action>) {
        if self.list.epoch > pull.epoch {
            actions.push(Action::Send {
                to: to.clone(),
                message: Message::Members(Bytes::from(self.list.to_value())),
            });
        }
        if self.record.revision > pull.revision
            && let Some(packed) = self.pack_record(pull.revision)
        {
            actions.push(Action::Send {
                to: to.clone(),
                message: Message::Document(packed),
            });
        }
    }

    /// Packs the record in force for a member that has `revision`: as the difference from
    /// that record when this daemon still has it, else whole.
    fn pack_record(&self, revision: u64) -> Option<PackedRecord> {
        let base = self
            .previous
            .as_ref()
            .filter(|(previous, _)| *previous == revision)
            .map(|(previous, value)| (*previous, value.as_ref()));
        PackedRecord::new(self.record.revision, &self.record_value, base).ok()
    }

    pub(super) fn apply_document(
        &mut self,
        from: &Name,
        packed: &PackedRecord,
        now: Millis,
        gates: &impl Gates,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if packed.revision <= self.record.revision {
            return actions;
        }
        if packed.base != 0 && packed.base != self.record.revision {
            self.send_pull(from, &mut actions);
            return actions;
        }
        if let Ok(value) = packed.open(&self.record_value) {
            return self.apply_record(&value, false, now, gates);
        }
        let error = format!("revision {} from {from} is unreadable", packed.revision);
        actions.push(Action::Log(LogEvent::BadRecord(error)));
        actions
    }

    fn push_message(
        &self,
        message: &Message,
        salt: u64,
        from_store: bool,
        actions: &mut Vec<Action>,
    ) {
        let ids: Vec<Name> = self
            .list
            .members
            .iter()
            .map(|member| member.key.id.clone())
            .collect();
        for to in push_children(&ids, &self.candidate.id, salt, from_store) {
            let message = message.clone();
            actions.push(Action::Send { to, message });
        }
    }
}
