//! State that routing reads: the catalog of leaves with their limits, versions and retry
//! budgets; and, for hosts that send to leaves directly, the routes, the roster of leaves
//! and their relative latency.

pub mod budget;
pub mod catalog;
pub mod copy_proof;
pub mod fleet_budget;
pub mod health;
pub mod host_count;
pub mod latency;
pub mod leaf_capacity;
pub mod leaf_contact;
pub mod leaf_limit;
pub mod leaves;
pub mod organisations;
pub mod placements;
pub mod quarantine;
pub mod quota_allocator;
pub mod quota_bucket;
pub mod ramp;
pub mod rate_allocator;
pub mod rejections;
pub mod relative_latency;
pub mod revision;
pub mod rollout_reports;
pub mod rollouts;
pub mod roster;
pub mod routes;
pub mod service_contact;
pub mod suspects;
pub mod unproven_ends;
pub mod versions;
pub mod warmup;
