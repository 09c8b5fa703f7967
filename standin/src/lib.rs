//! Stand-ins for the systems around briarquay: the platform's store and host
//! list, targets with slots and cold starts, and callers.
//!
//! Each stand-in records events in a [`History`]; the functions of [`check`]
//! then report where a run violated the guarantees of the query tier.
//! The tests, the demo and the load tool of briarquay all use these stand-ins.

pub mod check;
pub mod client;
pub mod fleet;
pub mod history;
pub mod http;
pub mod load;
pub mod register;
pub mod relay;
pub mod report;
pub mod store;
pub mod target;

pub use self::{
    fleet::Fleet,
    history::{Event, History},
    relay::Relay,
    store::StoreStandin,
    target::TargetStandin,
};
