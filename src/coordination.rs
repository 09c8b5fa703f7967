//! Coordination between daemons: membership, leaf ownership, leases, configuration rollout
//! and claims of idempotency keys.
//!
//! The modules are pure state machines: they take typed input and the current time, and
//! return typed actions. They use no sockets, clocks or tasks.

pub mod acks;
pub mod claims;
pub mod lease;
pub mod members;
pub mod peer;
pub mod placement;
pub mod rollout;
