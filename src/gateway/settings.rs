//! What an entry host is told by the platform it runs on.

use {
    crate::{collections::Name, state::allowance::FleetAllowance},
    std::{net::SocketAddr, time::Duration},
};

/// Settings of one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub id: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether the host is ready.
    pub ready_address: Option<SocketAddr>,
    /// Path of that question.
    pub ready_path: Box<str>,
    /// Where metrics are served.
    pub metrics_address: Option<SocketAddr>,
    /// Where other entry hosts connect.
    pub peer_address: Option<SocketAddr>,
    /// Other entry hosts that may answer while the registry does not.
    pub seeds: Vec<SocketAddr>,
    /// Address of the registry.
    pub registry_address: SocketAddr,
    /// What all hosts together may send beyond first requests.
    pub allowance: FleetAllowance,
    /// Time in which what the registry tells must be in force.
    pub news_time: Duration,
    /// Time from the order to stop until the process is killed.
    pub stop_time: Duration,
    /// Processor cores.
    pub cores: usize,
}
