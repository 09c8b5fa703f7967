//! Settings that the platform gives an entry host.

use {
    crate::{collections::Name, state::fleet_budget::FleetBudget},
    std::{net::SocketAddr, time::Duration},
};

/// Settings of one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub id: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which the load balancer checks whether the host is ready.
    pub ready_address: Option<SocketAddr>,
    /// Path of the readiness check.
    pub ready_path: Box<str>,
    /// Address at which metrics are served.
    pub metrics_address: Option<SocketAddr>,
    /// Address for other entry hosts.
    pub peer_address: Option<SocketAddr>,
    /// Other entry hosts, to sync from at the start and while the registry is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Address of the registry.
    pub registry_address: SocketAddr,
    /// Fleet retry budget: attempts that all hosts together may send beyond first ones.
    pub allowance: FleetBudget,
    /// Time within which a change in the registry must take effect.
    pub news_time: Duration,
    /// Time from the stop signal until the process is killed.
    pub stop_time: Duration,
    /// Number of processor cores.
    pub cores: usize,
    /// The host's share of a core, thousandths.
    pub processor: u32,
}

/// Settings that can change while the host runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadableSettings {
    /// Other entry hosts, to sync from at the start and while the registry is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Fleet retry budget: attempts that all hosts together may send beyond first ones.
    pub allowance: FleetBudget,
}

impl ReloadableSettings {
    /// Returns the reloadable part of `settings`.
    #[must_use]
    pub fn of(settings: &HostSettings) -> Self {
        Self {
            seeds: settings.seeds.clone(),
            allowance: settings.allowance,
        }
    }
}

impl HostSettings {
    /// Returns whether `other` can be applied without a restart. Ports are not compared,
    /// since the system may have chosen them.
    #[must_use]
    pub fn can_reload(&self, other: &Self) -> bool {
        (&self.id, &self.domain, self.registry_address)
            == (&other.id, &other.domain, other.registry_address)
            && self.caller_address.ip() == other.caller_address.ip()
            && (self.news_time, self.stop_time) == (other.news_time, other.stop_time)
            && (self.cores, self.processor) == (other.cores, other.processor)
    }
}
