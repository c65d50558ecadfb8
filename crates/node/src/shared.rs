//! What every part of a node can reach.

use std::sync::Arc;

use base::Incarnation;
use kameo::actor::ActorRef;
use tokio::sync::watch;

use crate::actor::{Claims, Members, Rollouts, Traffic};
use crate::lifecycle::Lifecycle;
use crate::serving::Serving;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use clock::Clock;

/// Handles to the actors, clients and the catalogue in force. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Settings of the node.
    pub settings: Arc<Settings>,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The process's clock.
    pub clock: Clock,
    /// Routing, limits, queues and rollouts.
    pub traffic: ActorRef<Traffic>,
    /// Idempotency keys.
    pub claims: ActorRef<Claims>,
    /// Nodes and what they tell each other.
    pub members: ActorRef<Members>,
    /// Controllers of rollouts.
    pub rollouts: ActorRef<Rollouts>,
    /// The catalogue in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Whether new work may be taken.
    pub serving: watch::Receiver<Serving>,
    /// The key-value service.
    pub store: store::Client,
    /// Other nodes.
    pub peers: wire::Transport,
    /// Client towards replicas and the cloud; never repeats a request on its own.
    pub http: reqwest::Client,
    /// The phase of the node's life.
    pub lifecycle: Lifecycle,
}

impl Shared {
    /// The catalogue in force now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot.borrow())
    }
}
