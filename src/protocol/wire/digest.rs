//! Conversions of digests, the gossip between daemons.

use {
    super::{to_names, to_strings},
    crate::{
        protocol::{
            generated as wire,
            message::{Digest, MemberBusy},
        },
        state::{
            catalog::LeafId,
            versions::{ServiceRanges, VersionRange},
        },
    },
};

impl From<Digest> for wire::Digest {
    fn from(digest: Digest) -> Self {
        Self {
            epoch: digest.epoch,
            revision: digest.revision,
            busy: digest.busy.iter().map(|leaf| leaf.0).collect(),
            leased: digest.leased,
            leaving: digest.leaving,
            versions: digest.versions.into_iter().map(Into::into).collect(),
            fenced: digest.fenced.iter().map(Into::into).collect(),
            leaving_targets: to_strings(&digest.leaving_targets),
            slow: digest.slow.iter().map(|leaf| leaf.0).collect(),
            turn: digest.turn,
            acks: digest.acks,
            relayed: digest.relayed.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<wire::Digest> for Digest {
    fn from(digest: wire::Digest) -> Self {
        Self {
            epoch: digest.epoch,
            revision: digest.revision,
            busy: digest.busy.into_iter().map(LeafId).collect(),
            leased: digest.leased,
            leaving: digest.leaving,
            versions: digest.versions.into_iter().map(Into::into).collect(),
            fenced: digest.fenced.into_iter().map(Into::into).collect(),
            leaving_targets: to_names(digest.leaving_targets),
            slow: digest.slow.into_iter().map(LeafId).collect(),
            turn: digest.turn,
            acks: digest.acks,
            relayed: digest.relayed.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<MemberBusy> for wire::MemberBusy {
    fn from(busy: MemberBusy) -> Self {
        Self {
            place: u32::try_from(busy.place).unwrap_or(u32::MAX),
            turn: busy.turn,
            leaves: busy.leaves.iter().map(|leaf| leaf.0).collect(),
        }
    }
}

impl From<wire::MemberBusy> for MemberBusy {
    fn from(busy: wire::MemberBusy) -> Self {
        Self {
            place: busy.place as usize,
            turn: busy.turn,
            leaves: busy.leaves.into_iter().map(LeafId).collect(),
        }
    }
}

impl From<ServiceRanges> for wire::ServiceVersions {
    fn from(ranges: ServiceRanges) -> Self {
        let versions = ranges
            .ranges
            .iter()
            .map(|(range, leaves)| wire::VersionRange {
                oldest: range.oldest,
                newest: range.newest,
                leaves: *leaves,
            });
        Self {
            service: ranges.service.to_string(),
            ranges: versions.collect(),
        }
    }
}

impl From<wire::ServiceVersions> for ServiceRanges {
    fn from(versions: wire::ServiceVersions) -> Self {
        let ranges = versions.ranges.iter().map(|version| {
            let range = VersionRange {
                oldest: version.oldest,
                newest: version.newest,
            };
            (range, version.leaves)
        });
        Self {
            service: versions.service.into(),
            ranges: ranges.collect(),
        }
    }
}
