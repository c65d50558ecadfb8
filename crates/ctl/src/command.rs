//! Commands of the tool, one module each.

pub mod catalogue;
pub mod configuration;
pub mod keys;
pub mod margins;
pub mod nodes;
pub mod platform;
pub mod replicas;
pub mod rollout;
