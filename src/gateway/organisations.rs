//! What this host answers other hosts about organisations.

use {
    super::Gateway,
    crate::{
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
        None
    }

    fn handle_with_key(
        &self,
        _request: RelayedRequest,
    ) -> Result<BoxFuture<'static, RelayedResponse>, &'static str> {
        Err("this host can't check keys")
    }
}
