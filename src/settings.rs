//! Settings of one daemon.

use {
    crate::collections::Name,
    eyre::{Result, WrapErr, ensure},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::Path, time::Duration},
};

/// Settings of one daemon, read from a YAML file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Id of this daemon, unique in the cluster.
    pub id: Name,
    /// Cluster name, the same for all daemons of a deployment.
    pub cluster: Name,
    /// Failure domain of this host.
    pub domain: Name,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other daemons. Connections to them originate from its IP address.
    pub peer_address: SocketAddr,
    /// Address under which other daemons reach `peer_address`, if the network between them
    /// translates addresses; `peer_address` by default.
    pub announced_address: Option<SocketAddr>,
    /// Address for operators, metrics and the load balancer's probes.
    pub operator_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Peer addresses from which members and configuration are read while the store is
    /// unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Which daemons send to leaves.
    pub routing: Routing,
    /// Length of a lease, milliseconds; must be the same for all daemons.
    pub lease_ms: u64,
    /// Time between failing readiness and rejecting callers, milliseconds.
    pub drain_ms: u64,
    /// Largest number of concurrent caller connections.
    pub caller_connections: usize,
    /// Memory that callers together may hold in heads, bodies and answers, bytes.
    pub caller_memory: usize,
    /// Largest request body of a caller, bytes.
    pub body_limit: usize,
    /// Time in which a caller must send the whole body of a request, milliseconds.
    pub read_ms: u64,
    /// Time for which a caller's connection may be idle before the next request,
    /// milliseconds. Longer than the load balancer keeps its idle connections, so that it
    /// never sends on a connection that this daemon is closing.
    pub idle_ms: u64,
    /// Number of worker threads.
    pub threads: usize,
    /// Log format.
    pub log: LogFormat,
}

/// Which daemons send to leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Routing {
    /// Only the owner of a leaf.
    #[default]
    Owners,
    /// Every daemon. Does not keep the guarantees to targets, such as concurrency
    /// limits; a baseline for measurements only.
    Direct,
}

/// Log format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
    /// No log.
    Off,
}

impl Default for Settings {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            id: "entry-1".into(),
            cluster: "briarquay".into(),
            domain: "local".into(),
            caller_address: local(7400),
            peer_address: local(7401),
            announced_address: None,
            operator_address: local(7402),
            store_address: local(7300),
            seeds: Vec::new(),
            routing: Routing::Owners,
            lease_ms: 2_000,
            drain_ms: 1_000,
            caller_connections: 4_096,
            caller_memory: 64 << 20,
            body_limit: 256 << 10,
            read_ms: 2_000,
            idle_ms: 75_000,
            threads: 4,
            log: LogFormat::Terminal,
        }
    }
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, has unknown keys, or a value is out of range.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("settings: read {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("settings: {}", path.display()))
    }

    /// Parses settings from YAML.
    ///
    /// # Errors
    ///
    /// Fails on unknown keys and on values that are out of range.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = serde_yaml_ng::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks that each value is in its range.
    ///
    /// # Errors
    ///
    /// Names the first value that is out of range.
    pub fn check(&self) -> Result<()> {
        ensure!(!self.id.is_empty(), "id: empty; use a name");
        ensure!(!self.domain.is_empty(), "domain: empty; use a name");
        for (name, address) in [
            ("caller_address", self.caller_address),
            ("peer_address", self.peer_address),
            ("operator_address", self.operator_address),
        ] {
            ensure!(
                !address.ip().is_unspecified(),
                "{name}: {address} binds every interface; name one"
            );
        }
        if let Some(address) = self.announced_address {
            ensure!(
                !address.ip().is_unspecified() && address.port() != 0,
                "announced_address: {address} can't be reached; use an IP and a port"
            );
        }
        ensure!(
            (300..=60_000).contains(&self.lease_ms),
            "lease_ms: {} is not allowed; use 300 to 60000",
            self.lease_ms
        );
        ensure!(
            (1..=1_024).contains(&self.threads),
            "threads: {} is not allowed; use 1 to 1024",
            self.threads
        );
        ensure!(
            self.body_limit > 0
                && self.caller_memory > 0
                && self.caller_connections > 0
                && self.read_ms > 0
                && self.idle_ms > 0,
            "body_limit, caller_memory, caller_connections, read_ms, idle_ms: 0 is not allowed"
        );
        Ok(())
    }

    /// Returns the address under which other daemons reach this one.
    #[must_use]
    pub fn reachable_address(&self) -> SocketAddr {
        self.announced_address.unwrap_or(self.peer_address)
    }

    /// Returns the length of a lease.
    #[must_use]
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the time between failing readiness and rejecting callers.
    #[must_use]
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }
}
