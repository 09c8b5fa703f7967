//! What hosts ask each other about organisations: quotas, and how current a host's copy of the
//! registry is proven to be.

use {
    super::{
        relay::{RelayedRequest, RelayedResponse},
        subquery::saturating_micros,
    },
    crate::{
        collections::Name,
        protocol::generated::{
            ProofReply, QuotaClaim as WireClaim, QuotaGrant as WireGrant, QuotaReply, QuotaRequest,
        },
        state::revision::Revision,
    },
    futures_util::future::BoxFuture,
    std::time::Duration,
};

/// A claim on the quota of an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaClaim {
    /// Organisation.
    pub organisation: Name,
    /// Requests that the claiming host wants to send.
    pub requests: u32,
    /// Longest time for which these can wait.
    pub max_wait: Duration,
}

/// What a claim got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    /// Requests that the host may send.
    pub requests: u32,
    /// Time after which it may send them, or after which a claim that got none has a chance.
    pub wait: Duration,
}

/// How current a host's copy of the registry is proven to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyProof {
    /// Time since the call to the registry was sent that proves the copy current.
    pub age: Duration,
    /// Revision of the copy.
    pub revision: Revision,
}

/// Answers other hosts about organisations.
pub trait OrganisationService: Send + Sync + 'static {
    /// Returns what each of `claims` of the host `host` gets; empty when this host is not an
    /// allocator of these organisations.
    fn take_quota(&self, host: &Name, claims: Vec<QuotaClaim>) -> Vec<QuotaGrant>;

    /// Returns how current this host's copy of the registry is proven to be; `None` without a
    /// proof.
    fn prove_current(&self) -> Option<CopyProof>;

    /// Accepts a request whose key the calling host can't check, and returns its response to
    /// come.
    ///
    /// # Errors
    ///
    /// Returns the reason for a rejection; no leaf has got the request then.
    fn handle_with_key(
        &self,
        request: RelayedRequest,
    ) -> Result<BoxFuture<'static, RelayedResponse>, &'static str>;
}

/// Encodes claims of the host `host`.
pub(super) fn encode_claims(host: &Name, claims: &[QuotaClaim]) -> QuotaRequest {
    let claims = claims.iter().map(|claim| WireClaim {
        organisation: claim.organisation.to_string(),
        requests: claim.requests,
        wait_us: saturating_micros(claim.max_wait),
    });
    QuotaRequest {
        host: host.to_string(),
        claims: claims.collect(),
    }
}

/// Decodes the host and the claims of a request.
pub(super) fn decode_claims(request: QuotaRequest) -> (Name, Vec<QuotaClaim>) {
    let claims = request.claims.into_iter().map(|claim| QuotaClaim {
        organisation: claim.organisation.into(),
        requests: claim.requests,
        max_wait: Duration::from_micros(claim.wait_us),
    });
    (request.host.into(), claims.collect())
}

/// Encodes grants.
pub(super) fn encode_grants(grants: &[QuotaGrant]) -> QuotaReply {
    let grants = grants.iter().map(|grant| WireGrant {
        requests: grant.requests,
        wait_us: saturating_micros(grant.wait),
    });
    QuotaReply {
        grants: grants.collect(),
    }
}

/// Decodes grants.
pub(super) fn decode_grants(reply: QuotaReply) -> Vec<QuotaGrant> {
    let grants = reply.grants.into_iter().map(|grant| QuotaGrant {
        requests: grant.requests,
        wait: Duration::from_micros(grant.wait_us),
    });
    grants.collect()
}

/// Encodes a proof.
pub(super) fn encode_proof(proof: Option<CopyProof>) -> ProofReply {
    proof.map_or_else(ProofReply::default, |proof| ProofReply {
        is_proven: true,
        age_us: saturating_micros(proof.age),
        revision: proof.revision.number,
        era: proof.revision.era,
    })
}

/// Decodes a proof.
pub(super) fn decode_proof(reply: ProofReply) -> Option<CopyProof> {
    reply.is_proven.then(|| CopyProof {
        age: Duration::from_micros(reply.age_us),
        revision: Revision {
            era: reply.era,
            number: reply.revision,
        },
    })
}
