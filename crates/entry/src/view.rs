//! What a node believes: configuration, replicas, other nodes, moves of versions.

mod freshness;
mod peer;
mod rollouts;
mod state;

pub use freshness::Freshness;
pub use peer::{Peer, Peers};
pub use rollouts::{Rollout, Rollouts, Stage, Versions};
pub use state::{InternalRecord, View};
