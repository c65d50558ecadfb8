//! Rollout commands of operators.

use base::Name;
use kameo::message::{Context, Message};
use rollout::action::Refusal;
use rollout::{Event, Id, Plan};
use tokio::sync::oneshot;

use super::Rollouts;
use super::announcement::Holder;

/// Command of an operator.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start a rollout to another version.
    Declare(Box<Plan>),
    /// Undo a rollout.
    Undo {
        /// Name of the endpoint.
        endpoint: Name,
        /// Id of the rollout.
        rollout: Id,
        /// Operator who requests it.
        operator: Name,
    },
}

/// Reply to the operator.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The command took effect.
    Accepted(Id),
    /// The command was refused.
    Refused(Refusal),
    /// Another node controls the endpoint.
    OtherController(Holder),
    /// No controller of the endpoint is known.
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
