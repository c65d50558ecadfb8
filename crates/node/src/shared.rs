//! Handles shared by all components of a node.

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

/// Handles to the actors, the clients and the catalogue in force. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Settings of the node.
    pub settings: Arc<Settings>,
    /// Incarnation of this node.
    pub incarnation: Incarnation,
    /// Clock of the process.
    pub clock: Clock,
    /// Routing, limits, queues and the effects of rollouts.
    pub traffic: ActorRef<Traffic>,
    /// Idempotency keys.
    pub claims: ActorRef<Claims>,
    /// Membership and gossip.
    pub members: ActorRef<Members>,
    /// Rollout controllers.
    pub rollouts: ActorRef<Rollouts>,
    /// The catalogue in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Whether new work may be accepted.
    pub serving: watch::Receiver<Serving>,
    /// Client of the key-value service.
    pub store: store::Client,
    /// Transport to other nodes.
    pub peers: wire::Transport,
    /// HTTP client for replicas and the cloud; never retries on its own.
    pub http: reqwest::Client,
    /// Lifecycle of the node.
    pub lifecycle: Lifecycle,
}

impl Shared {
    /// The catalogue in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot.borrow())
    }
}
