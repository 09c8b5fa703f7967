//! The cases.

pub mod cold;
pub mod evacuation;
pub mod gone;
pub mod keys;
pub mod leaving;
pub mod limit;
