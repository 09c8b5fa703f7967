//! Settings that the platform gives an entry host.

use {
    super::view::CapacityLearning,
    crate::{
        collections::Name,
        policy::caller_memory::Budget,
        state::{fleet_budget::FleetBudget, organisations::QuotaRule},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Limits on what a version of a service may get while it is rolled out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutRule {
    /// Most of a service's requests that a bad version may get, as a share.
    pub exposure_ratio: f64,
    /// Requests that it may get besides.
    pub exposure_extra: f64,
    /// Time from a bad version's 50th bad reply within which no host sends to it any more.
    pub rollback_time: Duration,
}

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
    pub retry_budget: FleetBudget,
    /// Time within which a change in the registry must take effect.
    pub apply_timeout: Duration,
    /// Time from the stop signal until the process is killed.
    pub stop_timeout: Duration,
    /// Number of processor cores.
    pub cores: usize,
    /// The host's share of a core, thousandths.
    pub millicores: u32,
    /// Memory that the process may use, bytes; `None` when it is not limited.
    pub memory: Option<usize>,
    /// File descriptors that it may open; `None` when they are not limited.
    pub descriptors: Option<usize>,
    /// Time after which a withdrawn key is of no use at any host, also without the registry;
    /// `None` where a host may rely on the last routes that it knows.
    pub revocation_time: Option<Duration>,
    /// How closely quotas are kept; `None` where no quota applies.
    pub quota_rule: Option<QuotaRule>,
    /// Limits of a rollout; `None` where services are not rolled out.
    pub rollout_rule: Option<RolloutRule>,
    /// Of which leaves it is learned how much they take well.
    pub learning: CapacityLearning,
}

/// Settings that can change while the host runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadableSettings {
    /// Other entry hosts, to sync from at the start and while the registry is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Fleet retry budget: attempts that all hosts together may send beyond first ones.
    pub retry_budget: FleetBudget,
    /// Time from the stop signal until the process is killed.
    pub stop_timeout: Duration,
}

impl ReloadableSettings {
    /// Returns the reloadable part of `settings`.
    #[must_use]
    pub fn of(settings: &HostSettings) -> Self {
        Self {
            seeds: settings.seeds.clone(),
            retry_budget: settings.retry_budget,
            stop_timeout: settings.stop_timeout,
        }
    }
}

impl HostSettings {
    /// Returns what all callers together may hold.
    #[must_use]
    pub fn caller_budget(&self) -> Budget {
        Budget::of(self.memory, self.descriptors)
    }

    /// Returns whether `other` can be applied without a restart. Ports are not compared,
    /// since the system may have chosen them.
    #[must_use]
    pub fn can_reload(&self, other: &Self) -> bool {
        (&self.id, &self.domain, self.registry_address)
            == (&other.id, &other.domain, other.registry_address)
            && self.caller_address.ip() == other.caller_address.ip()
            && self.apply_timeout == other.apply_timeout
            && (self.cores, self.millicores) == (other.cores, other.millicores)
            && (self.memory, self.descriptors) == (other.memory, other.descriptors)
            && self.revocation_time == other.revocation_time
            && self.quota_rule == other.quota_rule
            && self.rollout_rule == other.rollout_rule
    }
}
