//! The commands.

pub mod catalogue;
pub mod keys;
pub mod nodes;
pub mod replicas;
pub mod rollout;
