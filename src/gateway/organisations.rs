//! What this host answers other hosts about organisations.

use {
    super::{Gateway, relay},
    crate::{
        clock::BootTime,
        collections::Name,
        transport::fleet::{
            CopyProof, OrganisationService, QuotaClaim, QuotaGrant, RelayedRequest, RelayedResponse,
        },
    },
    futures_util::future::BoxFuture,
    std::sync::Arc,
};

/// Answers other hosts about organisations.
pub struct OrganisationServer(pub Arc<Gateway>);

impl OrganisationService for OrganisationServer {
    fn take_quota(&self, _host: &Name, claims: Vec<QuotaClaim>) -> Vec<QuotaGrant> {
        self.0.take_quota(&claims)
    }

    fn prove_current(&self) -> Option<CopyProof> {
        let now = BootTime::now()?;
        let proofs = self.0.copy_proofs();
        Some(CopyProof {
            age: proofs.age(now)?,
            revision: proofs.proof()?.revision,
        })
    }

    fn handle_with_key(
        &self,
        request: RelayedRequest,
    ) -> Result<BoxFuture<'static, RelayedResponse>, &'static str> {
        relay::handle_relayed(Arc::clone(&self.0), request)
    }
}
