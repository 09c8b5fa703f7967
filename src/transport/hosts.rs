//! The platform's list of live and leaving hosts, which lags behind their actual state.

use {
    super::store::{HttpStore, StoreError},
    crate::collections::Name,
    hyper::{Method, StatusCode},
    serde::Deserialize,
    std::time::Duration,
};

#[derive(Deserialize)]
struct Host {
    host: Name,
    state: String,
}

/// Returns the names of the hosts that are leaving.
///
/// # Errors
///
/// Fails when the platform can't be reached, returns another status than 200, or its
/// response can't be decoded.
pub async fn leaving_hosts(platform: &HttpStore) -> Result<Vec<Name>, StoreError> {
    let (status, body) = platform
        .call(Method::GET, "/v1/hosts", String::new(), Duration::ZERO)
        .await?;
    if status != StatusCode::OK {
        return Err(StoreError::Unavailable);
    }
    let hosts: Vec<Host> = serde_json::from_slice(&body).map_err(|_| StoreError::Unavailable)?;
    let leaving = hosts.into_iter().filter(|host| host.state == "leaving");
    Ok(leaving.map(|host| host.host).collect())
}
