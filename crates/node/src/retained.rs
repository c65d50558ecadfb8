//! What the next incarnation of the same process keeps.

use std::net::TcpListener;
use std::sync::Arc;

use member::{Config, Gossip};

use crate::snapshot::Snapshot;

/// Knowledge of other nodes and of the catalogue; nothing of the ended incarnation's own work.
#[derive(Clone, Debug)]
pub struct Retained {
    /// What is known of other nodes.
    pub gossip: Gossip,
    /// What is known of generations.
    pub config: Config,
    /// The catalogue in force.
    pub snapshot: Arc<Snapshot>,
}

/// What an ended incarnation leaves to the next one of the same process.
#[derive(Debug)]
pub struct Predecessor {
    /// The socket that callers connect to; connections wait in its queue while no incarnation accepts them.
    pub listener: TcpListener,
    /// The endpoint for peers, whose socket goes on.
    pub peers: wire::Transport,
    /// What the ended incarnation knew; none if it could no longer tell.
    pub retained: Option<Retained>,
}
