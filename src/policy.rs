//! Decisions of an entry host about a request, one per module, as functions of facts.
//! They use no socket, clock or task: ages and times are arguments.

pub mod admission;
pub mod authorization;
pub mod caller_memory;
pub mod delegation;
pub mod hedge;
pub mod helper_failure;
pub mod leaf_selection;
pub mod limit_sharing;
pub mod merge;
pub mod placement;
pub mod proof_renewal;
pub mod quota;
pub mod rejection;
pub mod relaying;
pub mod response_timing;
pub mod retry;
pub mod rollout;
pub mod shutdown;
pub mod sync_source;
pub mod traffic_split;
pub mod waiting;
