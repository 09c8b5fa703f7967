//! The cases.

pub mod cold;
pub mod keys;
pub mod limit;
pub mod refused;
