//! Conversions between the message types and the types generated from `proto/peer.proto`.

use {
    super::{
        generated as wire,
        message::{
            Batch, FenceVote, Granted, LeafReply, LeafWarmth, LeaseKey, MemberKey, Message, Pull,
            Refused, Renew, Rows, Suspect,
        },
        verdict::{Cause, Failure, Verdict},
    },
    crate::{
        clock::Millis,
        collections::Name,
        coordination::rollout::PackedRecord,
        state::{catalog::LeafId, versions::VersionRange},
    },
    std::sync::Arc,
    wire::message::Body,
};

mod digest;

/// A message without a body or without a required field. A body of a kind that this release
/// does not know counts as none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError;

impl From<&MemberKey> for wire::MemberKey {
    fn from(key: &MemberKey) -> Self {
        Self {
            id: key.id.to_string(),
            term: key.term,
        }
    }
}

impl From<wire::MemberKey> for MemberKey {
    fn from(key: wire::MemberKey) -> Self {
        Self {
            id: key.id.into(),
            term: key.term,
        }
    }
}

/// Decodes a required member key.
///
/// # Errors
///
/// Fails when the field is unset.
pub fn decode_member(key: Option<wire::MemberKey>) -> Result<MemberKey, DecodeError> {
    key.map(MemberKey::from).ok_or(DecodeError)
}

impl From<Message> for wire::Message {
    fn from(message: Message) -> Self {
        let body = match message {
            Message::Renew(renew) => Body::Renew(wire::Renew {
                round: renew.round,
                sent_ms: renew.sent.0,
                epoch: renew.epoch,
                revision: renew.revision,
            }),
            Message::Granted(granted) => Body::Granted(wire::Granted {
                round: granted.round,
                sent_ms: granted.sent.0,
            }),
            Message::Refused(refused) => Body::Refused(wire::Refused {
                round: refused.round,
                fenced: refused.fenced,
            }),
            Message::FenceAsk(lease) => Body::FenceAsk(wire::FenceAsk {
                member: Some((&lease.member).into()),
                round: lease.round,
            }),
            Message::FenceVote(vote) => Body::FenceVote(wire::FenceVote {
                member: Some((&vote.lease.member).into()),
                fenced: vote.fenced,
                round: vote.lease.round,
            }),
            Message::Fenced(members) => Body::Fenced(wire::Fenced {
                members: members.iter().map(Into::into).collect(),
            }),
            Message::Digest(digest) => Body::Digest(digest.into()),
            Message::Pull(pull) => Body::Pull(wire::Pull {
                epoch: pull.epoch,
                revision: pull.revision,
            }),
            Message::Members(value) => Body::Members(wire::Members { value }),
            Message::Document(packed) => Body::Document(wire::Document {
                revision: packed.revision,
                base: packed.base,
                value: packed.bytes,
            }),
            Message::Quarantine(suspects) => Body::Quarantine(wire::Quarantine {
                suspects: suspects.iter().map(Into::into).collect(),
            }),
            Message::Warmth(leaves) => Body::Warmth(wire::Warmth {
                leaves: leaves.iter().map(Into::into).collect(),
            }),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<wire::Message> for Message {
    type Error = DecodeError;

    fn try_from(message: wire::Message) -> Result<Self, DecodeError> {
        Ok(match message.body.ok_or(DecodeError)? {
            Body::Renew(renew) => Self::Renew(Renew {
                round: renew.round,
                sent: Millis(renew.sent_ms),
                epoch: renew.epoch,
                revision: renew.revision,
            }),
            Body::Granted(granted) => Self::Granted(Granted {
                round: granted.round,
                sent: Millis(granted.sent_ms),
            }),
            Body::Refused(refused) => Self::Refused(Refused {
                round: refused.round,
                fenced: refused.fenced,
            }),
            Body::FenceAsk(ask) => Self::FenceAsk(LeaseKey {
                member: decode_member(ask.member)?,
                round: ask.round,
            }),
            Body::FenceVote(vote) => Self::FenceVote(FenceVote {
                lease: LeaseKey {
                    member: decode_member(vote.member)?,
                    round: vote.round,
                },
                fenced: vote.fenced,
            }),
            Body::Fenced(fenced) => {
                Self::Fenced(fenced.members.into_iter().map(Into::into).collect())
            }
            Body::Digest(digest) => Self::Digest(digest.into()),
            Body::Pull(pull) => Self::Pull(Pull {
                epoch: pull.epoch,
                revision: pull.revision,
            }),
            Body::Members(members) => Self::Members(members.value),
            Body::Document(document) => Self::Document(PackedRecord {
                revision: document.revision,
                base: document.base,
                bytes: document.value,
            }),
            Body::Quarantine(quarantine) => {
                Self::Quarantine(quarantine.suspects.into_iter().map(Into::into).collect())
            }
            Body::Warmth(warmth) => {
                Self::Warmth(warmth.leaves.into_iter().map(Into::into).collect())
            }
        })
    }
}

impl From<&Suspect> for wire::Suspect {
    fn from(suspect: &Suspect) -> Self {
        Self {
            fingerprint: suspect.fingerprint,
            targets: to_strings(&suspect.targets),
        }
    }
}

impl From<wire::Suspect> for Suspect {
    fn from(suspect: wire::Suspect) -> Self {
        Self {
            fingerprint: suspect.fingerprint,
            targets: to_names(suspect.targets),
        }
    }
}

impl From<&LeafWarmth> for wire::LeafWarmth {
    fn from(warmth: &LeafWarmth) -> Self {
        Self {
            leaf: warmth.leaf.0,
            incarnation: warmth.incarnation.to_string(),
            limit: warmth.limit,
        }
    }
}

impl From<wire::LeafWarmth> for LeafWarmth {
    fn from(warmth: wire::LeafWarmth) -> Self {
        Self {
            leaf: LeafId(warmth.leaf),
            incarnation: warmth.incarnation.into(),
            limit: warmth.limit,
        }
    }
}

fn to_strings(names: &[Name]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn to_names(strings: Vec<String>) -> Vec<Name> {
    strings.into_iter().map(Arc::from).collect()
}

/// Encodes a batch that the member `from` of `cluster` sends.
#[must_use]
pub fn encode_batch(batch: &Batch, cluster: &str, from: &MemberKey) -> wire::Batch {
    wire::Batch {
        cluster: cluster.to_owned(),
        from: Some(from.into()),
        service: batch.service.to_string(),
        layout: batch.layout,
        revision: batch.revision,
        epoch: batch.epoch,
        snapshot: batch.snapshot,
        deadline_unix_ms: batch.deadline_ms,
        request: batch.request.to_string(),
        fingerprint: batch.fingerprint,
        key: batch.key.as_deref().unwrap_or_default().to_owned(),
        canary: batch.canary,
        body: batch.body.clone(),
        leaves: batch.leaves.iter().map(|leaf| leaf.0).collect(),
    }
}

impl From<wire::Batch> for Batch {
    fn from(batch: wire::Batch) -> Self {
        Self {
            service: batch.service.into(),
            layout: batch.layout,
            revision: batch.revision,
            epoch: batch.epoch,
            snapshot: batch.snapshot,
            deadline_ms: batch.deadline_unix_ms,
            request: batch.request.into(),
            fingerprint: batch.fingerprint,
            canary: batch.canary,
            key: (!batch.key.is_empty()).then(|| batch.key.into()),
            body: batch.body,
            leaves: batch.leaves.into_iter().map(LeafId).collect(),
        }
    }
}

impl From<LeafReply> for wire::LeafReply {
    fn from(reply: LeafReply) -> Self {
        let (run, cause, snapshot, rows) = match reply.outcome {
            Ok(rows) => (
                wire::Run::Ran,
                wire::Cause::Unspecified,
                rows.snapshot,
                rows.json,
            ),
            Err(failure) => {
                let run = failure.verdict.into();
                (run, failure.cause.into(), 0, bytes::Bytes::new())
            }
        };
        let range = reply.range.unwrap_or_default();
        Self {
            leaf: reply.leaf.0,
            run: run.into(),
            cause: cause.into(),
            snapshot,
            rows,
            oldest: range.oldest,
            newest: range.newest,
            queued_us: reply.queued_us,
        }
    }
}

impl From<wire::LeafReply> for LeafReply {
    fn from(reply: wire::LeafReply) -> Self {
        let outcome = match reply.cause() {
            wire::Cause::Unspecified => Ok(Rows {
                snapshot: reply.snapshot,
                json: reply.rows.clone(),
            }),
            cause => Err(Failure {
                verdict: reply.run().into(),
                cause: cause.into(),
            }),
        };
        let range = VersionRange {
            oldest: reply.oldest,
            newest: reply.newest,
        };
        Self {
            leaf: LeafId(reply.leaf),
            outcome,
            range: (range.newest > 0).then_some(range),
            queued_us: reply.queued_us,
        }
    }
}

impl From<Verdict> for wire::Run {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::NotRun => Self::NotRun,
            Verdict::MayHaveRun => Self::MayHaveRun,
            Verdict::Ran => Self::Ran,
        }
    }
}

impl From<wire::Run> for Verdict {
    fn from(run: wire::Run) -> Self {
        match run {
            wire::Run::NotRun => Self::NotRun,
            wire::Run::Ran => Self::Ran,
            // A value from another release that is unknown here must not count as "not run".
            wire::Run::MayHaveRun | wire::Run::Unspecified => Self::MayHaveRun,
        }
    }
}

impl From<Cause> for wire::Cause {
    fn from(cause: Cause) -> Self {
        match cause {
            Cause::NotOwner => Self::NotOwner,
            Cause::Deadline => Self::Deadline,
            Cause::Overloaded => Self::Overloaded,
            Cause::Unreachable => Self::Unreachable,
            Cause::Crashed => Self::Crashed,
            Cause::Version => Self::Version,
            Cause::Draining => Self::Draining,
            Cause::DomainOut => Self::DomainOut,
            Cause::Quarantined => Self::Quarantined,
            Cause::Layout => Self::Layout,
            Cause::Repeated => Self::Repeated,
            Cause::Store => Self::Store,
            Cause::Malformed => Self::Malformed,
            Cause::NoOwner => Self::NoOwner,
            Cause::Shed => Self::Shed,
            Cause::Late => Self::Late,
        }
    }
}

impl From<wire::Cause> for Cause {
    fn from(cause: wire::Cause) -> Self {
        match cause {
            wire::Cause::NotOwner => Self::NotOwner,
            wire::Cause::Deadline => Self::Deadline,
            wire::Cause::Overloaded => Self::Overloaded,
            wire::Cause::Unreachable => Self::Unreachable,
            wire::Cause::Crashed => Self::Crashed,
            wire::Cause::Version => Self::Version,
            wire::Cause::Draining => Self::Draining,
            wire::Cause::DomainOut => Self::DomainOut,
            wire::Cause::Quarantined => Self::Quarantined,
            wire::Cause::Layout => Self::Layout,
            wire::Cause::Repeated => Self::Repeated,
            wire::Cause::Store => Self::Store,
            wire::Cause::NoOwner => Self::NoOwner,
            wire::Cause::Shed => Self::Shed,
            wire::Cause::Late => Self::Late,
            wire::Cause::Malformed | wire::Cause::Unspecified => Self::Malformed,
        }
    }
}
