//! Declarations and undos of operators.

use base::Name;
use kameo::message::{Context, Message};
use rollout::action::Refusal;
use rollout::{Event, Id, Plan};
use tokio::sync::oneshot;

use super::Rollouts;
use super::announcement::Holder;

/// What an operator asks.
#[derive(Clone, Debug)]
pub enum Command {
    /// Move an endpoint to another version.
    Declare(Box<Plan>),
    /// Take a rollout back.
    Undo {
        /// The endpoint.
        endpoint: Name,
        /// The rollout.
        rollout: Id,
        /// Who asks.
        operator: Name,
    },
}

/// What the operator is told.
#[derive(Clone, Debug)]
pub enum Reply {
    /// It took effect.
    Accepted(Id),
    /// It did not.
    Refused(Refusal),
    /// Another node controls the endpoint.
    OtherController(Holder),
    /// No node is known to control the endpoint yet.
    NoController,
}

impl Command {
    fn endpoint(&self) -> Name {
        match self {
            Self::Declare(plan) => plan.endpoint.clone(),
            Self::Undo { endpoint, .. } => endpoint.clone(),
        }
    }

    const fn id(&self) -> Id {
        match self {
            Self::Declare(plan) => plan.id,
            Self::Undo { rollout, .. } => *rollout,
        }
    }
}

impl Message<Command> for Rollouts {
    type Reply = oneshot::Receiver<Reply>;

    async fn handle(&mut self, command: Command, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let (sender, receiver) = oneshot::channel();
        let now = self.now();
        let endpoint = command.endpoint();
        let is_controller = self
            .slots
            .get(&endpoint)
            .is_some_and(|slot| slot.activated && slot.role.active_fence(now).is_some());
        if !is_controller {
            let other = self
                .holders
                .get(&endpoint)
                .filter(|holder| holder.node != self.incarnation);
            let _gone =
                sender.send(other.map_or(Reply::NoController, |holder| Reply::OtherController(*holder)));
            return receiver;
        }
        if let Some(slot) = self.slots.get_mut(&endpoint) {
            slot.pending.insert(command.id(), sender);
        }
        let event = match command {
            Command::Declare(plan) => Event::Declared(plan),
            Command::Undo {
                rollout, operator, ..
            } => Event::Undo { rollout, operator },
        };
        self.step_controller(&endpoint, event).await;
        receiver
    }
}
