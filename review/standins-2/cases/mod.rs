//! The cases.

pub mod cold;
pub mod deadly;
pub mod keys;
pub mod limit;
pub mod refused;
