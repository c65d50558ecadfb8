//! API for operators, under `/v1/admin`.

pub mod catalogue;
pub mod keys;
pub mod lists;
pub mod metrics;
pub mod rollouts;
