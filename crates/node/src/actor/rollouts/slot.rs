//! Role and rollout controller of one endpoint on this node.

use base::{Incarnation, Millis, Seed};
use catalogue::{Endpoint, Fencing};
use indexmap::IndexMap;
use member::role::{Role, Settings};
use rollout::{Controller, Id};
use tokio::sync::oneshot;

use super::Reply;
use crate::platform::registration::LEASE_TTL;

/// Maximum time for which an order to a replica may be in transit.
const MAX_ORDER_TIME: Millis = Millis::from_secs(5);

/// The role for an endpoint, and the controller that acts while this node holds it.
#[derive(Debug)]
pub struct Slot {
    /// Role of the controller.
    pub role: Role,
    /// Rollout controller.
    pub controller: Controller,
    /// Reply channels of operators whose commands have not taken effect yet.
    pub pending: IndexMap<Id, oneshot::Sender<Reply>>,
    /// Whether loading the rollout's record for the held role has begun, or is done.
    pub activated: bool,
}

impl Slot {
    /// A slot whose role is not held.
    pub fn new(endpoint: &Endpoint, incarnation: Incarnation, seed: Seed) -> Self {
        let settings = match endpoint.fencing {
            Fencing::Checked => Settings::new(),
            Fencing::Ignored => {
                Settings::new().without_fencing(Millis(LEASE_TTL.as_millis() as u64), MAX_ORDER_TIME)
            }
        };
        Self {
            role: Role::new(incarnation, seed, settings),
            controller: Controller::new(),
            pending: IndexMap::new(),
            activated: false,
        }
    }

    /// Replies to the operator whose command on rollout `id` is pending.
    pub fn answer(&mut self, id: Id, reply: Reply) {
        if let Some(pending) = self.pending.swap_remove(&id) {
            // An operator that has disconnected repeats the command.
            let _gone = pending.send(reply);
        }
    }
}
