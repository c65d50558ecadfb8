//! What the next incarnation of the same process keeps.

use std::sync::Arc;

use member::{Config, Gossip};

use crate::snapshot::Snapshot;

/// Knowledge of other nodes and of the catalogue; nothing of the ended incarnation's own work.
#[derive(Clone, Debug)]
pub struct Heritage {
    /// What is known of other nodes.
    pub gossip: Gossip,
    /// What is known of generations.
    pub config: Config,
    /// The catalogue in force.
    pub snapshot: Arc<Snapshot>,
}
