//! The operators' API, below `/v1/admin`.

pub mod catalogue;
pub mod keys;
pub mod lists;
pub mod metrics;
pub mod rollouts;
