//! Timer ticks for the router and the rollout guard.

use std::time::Duration;

use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rollout::guard;
use route::Event;

use super::Traffic;
use crate::actor::ticker;

/// Interval between ticks; also the precision of deadlines.
const TICK: Duration = Duration::from_millis(20);

/// Timer tick.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

impl Message<Tick> for Traffic {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self, Self::Reply>) {
        let due = self.router.wake_at().is_some_and(|at| at <= self.clock.now());
        if due {
            self.step(Event::Tick);
        }
        self.step_guard(guard::Event::Tick);
    }
}

/// Starts the ticks, which end with the actor.
pub(super) fn start(actor: &ActorRef<Traffic>) {
    ticker::start(actor, TICK, Tick);
}
