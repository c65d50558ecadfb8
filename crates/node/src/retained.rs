//! State passed from one incarnation to the next in the same process.

use std::net::TcpListener;
use std::sync::Arc;

use member::{Config, Gossip};

use crate::snapshot::Snapshot;

/// Knowledge about other nodes and the catalogue. It includes none of the ended incarnation's own work.
#[derive(Clone, Debug)]
pub struct Retained {
    /// Gossip state.
    pub gossip: Gossip,
    /// Configuration state.
    pub config: Config,
    /// The catalogue in force.
    pub snapshot: Arc<Snapshot>,
}

/// Sockets and state that an ended incarnation passes to the next one.
#[derive(Debug)]
pub struct Predecessor {
    /// Socket for callers. Connections wait in its queue while no incarnation accepts them.
    pub listener: TcpListener,
    /// Transport to peers, whose socket stays open.
    pub peers: wire::Transport,
    /// Retained state; `None` if the ended incarnation's actor no longer answered.
    pub retained: Option<Retained>,
}
