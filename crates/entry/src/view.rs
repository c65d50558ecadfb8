//! A node's view of the store: configuration, other nodes, rollouts and internal records.

mod freshness;
mod peer;
mod rollouts;
mod state;

pub use freshness::Freshness;
pub use peer::{Peer, Peers};
pub use rollouts::{Rollout, Rollouts, Stage, Versions};
pub use state::{InternalRecord, View};
