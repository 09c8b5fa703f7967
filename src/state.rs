//! What is known: the catalog of leaves, their limits and versions, budgets; and, for
//! hosts that send direct, routes, the roster of leaves and how fast they are.

pub mod allowance;
pub mod budget;
pub mod catalog;
pub mod headcount;
pub mod health;
pub mod latency;
pub mod leaves;
pub mod pace;
pub mod quarantine;
pub mod ramp;
pub mod refusals;
pub mod roster;
pub mod routes;
pub mod versions;
pub mod warmup;
