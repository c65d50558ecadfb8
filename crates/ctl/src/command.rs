//! The commands.

pub mod catalogue;
pub mod nodes;
pub mod replicas;
pub mod rollout;
