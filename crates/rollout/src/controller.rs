//! The role that moves an endpoint's traffic from one version to another.

use base::Millis;

use crate::{Action, Event};

/// Runs one endpoint's rollouts; a leased role that any node can take up from the stored record.
#[derive(Clone, Debug, Default)]
pub struct Controller {}

impl Controller {
    /// A controller that does not hold the role yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an event in; what to do about it.
    pub fn step(&mut self, _now: Millis, _event: Event) -> Vec<Action> {
        Vec::new()
    }
}
