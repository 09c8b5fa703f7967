//! Network clients and servers: callers, entry hosts, leaves, the registry, daemons,
//! targets, the platform and operators.

pub mod body;
pub mod caller;
pub mod connection;
pub mod fleet;
pub mod hosts;
pub mod http;
pub mod intake;
pub mod leaf;
pub mod operator;
pub mod peers;
pub mod registry;
pub mod store;
pub mod targets;
