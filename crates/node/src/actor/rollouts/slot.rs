//! One endpoint's role and controller on this node.

use base::{Incarnation, Millis, Seed};
use catalogue::{Endpoint, Fencing};
use indexmap::IndexMap;
use member::role::{Role, Settings};
use rollout::{Controller, Id};
use tokio::sync::oneshot;

use super::Reply;
use crate::platform::registration::LEASE_TTL;

/// Longest time that an order to a replica is under way.
const MAX_ORDER_TIME: Millis = Millis::from_secs(5);

/// The role for an endpoint, and the controller that acts while this node holds it.
#[derive(Debug)]
pub struct Slot {
    /// The role.
    pub role: Role,
    /// The controller.
    pub controller: Controller,
    /// Operators that wait for their declaration or undo to take effect.
    pub pending: IndexMap<Id, oneshot::Sender<Reply>>,
    /// Whether the controller has been told that the role is held.
    pub activated: bool,
}

impl Slot {
    /// A slot that is not held.
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

    /// Answers an operator that waits for `id`.
    pub fn answer(&mut self, id: Id, reply: Reply) {
        if let Some(pending) = self.pending.swap_remove(&id) {
            // An operator that went away asks again.
            let _gone = pending.send(reply);
        }
    }
}
