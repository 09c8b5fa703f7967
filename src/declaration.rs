//! The declaration: a validated YAML document in which operators define domains, services and
//! targets.
//!
//! [`Declaration::parse`] rejects a document that can't be served as written, and reports the
//! place of each problem and what would be valid.

use {
    crate::collections::{Name, Set},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, time::Duration},
};

mod problem;

pub use self::problem::Problem;

/// Largest document, bytes. The platform's store accepts values of up to a megabyte, and the
/// change record is stored in the same value.
pub const DOCUMENT_LIMIT: usize = 900_000;

/// Largest number of slots of a leaf.
pub const SLOTS_LIMIT: u32 = 1_024;

/// Largest number of connections of a leaf.
pub const CONNECTIONS_LIMIT: u32 = 65_536;

/// Longest deadline that a service may allow, milliseconds.
pub const DEADLINE_LIMIT_MS: u64 = 60_000;

/// The configuration of a deployment, as operators declare it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Name of the deployment.
    pub name: Name,
    /// Failure domains of targets and daemons.
    pub domains: Vec<Domain>,
    /// Query services.
    pub services: Vec<Service>,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Name, unique among the domains.
    pub name: Name,
    /// Whether its targets may get new work.
    #[serde(default)]
    pub state: DomainState,
}

/// Whether a failure domain may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DomainState {
    /// In service.
    #[default]
    In,
    /// Taken out by operators.
    Out,
}

/// A query service over many shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among the services.
    pub name: Name,
    /// Layout number of the data; repartitioning increments it.
    #[serde(default = "first_layout")]
    pub layout: u32,
    /// Number of shards.
    pub shards: u32,
    /// Whether coverage or latency matters more when a response can't have both.
    #[serde(default)]
    pub aim: Aim,
    /// Whether a request may run more than once. If not, each request must have an idempotency
    /// key.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Limits of each leaf.
    pub limits: Limits,
    /// Limits of cold targets.
    #[serde(default)]
    pub cold: ColdStart,
    /// When hedges are sent.
    #[serde(default)]
    pub hedge: Hedge,
    /// Deadlines of requests.
    #[serde(default)]
    pub deadlines: Deadlines,
    /// Whether an unknown request is sent to one leaf as a canary before the others.
    #[serde(default = "yes")]
    pub canary: bool,
    /// Targets that hold the shards.
    pub targets: Vec<Target>,
}

fn first_layout() -> u32 {
    1
}

fn yes() -> bool {
    true
}

/// What a service's responses favour: coverage or latency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "weigh", deny_unknown_fields)]
pub enum Aim {
    /// Wait for missing shards until the deadline of the request.
    #[default]
    Coverage,
    /// Respond without the slowest shards once enough of them have replied.
    Latency {
        /// Share of shards that suffices for a response, percent.
        enough_percent: u32,
    },
}

/// Limits of each warm leaf of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Number of requests that a leaf runs concurrently.
    pub slots: u32,
    /// Number of connections that a leaf accepts.
    pub connections: u32,
    /// Time that a leaf spends on a new connection, milliseconds.
    #[serde(default)]
    pub connect_cost_ms: u64,
}

/// Limits of a cold target, and when it becomes warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdStart {
    /// Number of requests that a cold leaf runs concurrently.
    pub bears: u32,
    /// Number of replies of one incarnation after which a leaf gets another slot.
    pub warm_after: u32,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            bears: 1,
            warm_after: 16,
        }
    }
}

/// When a hedge is sent to a second replica of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hedge {
    /// Percentile of recent leaf latencies after which a hedge is sent; 0 disables hedging by
    /// percentile.
    pub percentile: u32,
    /// Fixed delay after which a hedge is sent instead, milliseconds; 0 for none.
    pub after_ms: u64,
    /// Budget for hedges and retries, percent of recent sub-requests.
    pub budget_percent: u32,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            percentile: 97,
            after_ms: 0,
            budget_percent: 5,
        }
    }
}

/// Deadlines of a service's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deadlines {
    /// Deadline of requests that state none, milliseconds.
    pub default_ms: u64,
    /// Longest deadline that a request may state, milliseconds.
    pub longest_ms: u64,
}

impl Default for Deadlines {
    fn default() -> Self {
        Self {
            default_ms: 1_000,
            longest_ms: 10_000,
        }
    }
}

impl Deadlines {
    /// Returns the deadline of requests that state none.
    #[must_use]
    pub fn default_time(&self) -> Duration {
        Duration::from_millis(self.default_ms)
    }
}

/// An instance that serves shards of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique among the targets of all services.
    pub name: Name,
    /// Failure domain of the target.
    pub domain: Name,
    /// Whether the target may get new work.
    #[serde(default)]
    pub state: TargetState,
    /// Leaves of the target.
    pub leaves: Vec<Leaf>,
}

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// In service.
    #[default]
    Serving,
    /// Being taken out of service; gets no new work.
    Leaving,
}

/// A replica of one shard at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaf {
    /// Shard that the leaf serves, counted from 0.
    pub shard: u32,
    /// Address on which the leaf listens.
    pub address: SocketAddr,
}

impl Declaration {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns all problems found. A document that is too long, or is not YAML of this form, has
    /// one.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        if text.len() > DOCUMENT_LIMIT {
            let message = format!(
                "{} bytes are too many; use at most {DOCUMENT_LIMIT}",
                text.len()
            );
            return Err(Problems(vec![Problem::of_document(message)]));
        }
        let parsed: Self = serde_yaml_ng::from_str(text)
            .map_err(|error| Problems(vec![Problem::syntax(&error)]))?;
        let problems = problem::find_problems(&parsed, text);
        if problems.is_empty() {
            Ok(parsed)
        } else {
            Err(Problems(problems))
        }
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Returns the names of the domains that are out of service.
    #[must_use]
    pub fn domains_out(&self) -> Set<Name> {
        self.domains
            .iter()
            .filter(|domain| domain.state == DomainState::Out)
            .map(|domain| domain.name.clone())
            .collect()
    }

    /// Returns the document as YAML.
    ///
    /// # Panics
    ///
    /// Never: every field can be written as YAML.
    #[must_use]
    pub fn to_yaml(&self) -> String {
        serde_yaml_ng::to_string(self).expect("a declaration has a YAML form")
    }
}

/// All problems of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
