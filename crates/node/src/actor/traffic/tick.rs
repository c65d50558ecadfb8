//! Time passes for the router.

use std::time::Duration;

use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rollout::guard;
use route::Event;

use super::Traffic;
use crate::actor::ticker;

/// Span between two ticks; deadlines are met to this precision.
const TICK: Duration = Duration::from_millis(20);

/// Time passed.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

impl Message<Tick> for Traffic {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self, Self::Reply>) {
        let due = self.router.wake_at().is_some_and(|at| at <= self.clock.now());
        if due {
            self.step(Event::Tick);
        }
        self.guard_step(guard::Event::Tick);
    }
}

/// Sends ticks until the actor ends.
pub(super) fn start(actor: &ActorRef<Traffic>) {
    ticker::start(actor, TICK, Tick);
}
