//! Time passes for the router.

use std::time::Duration;

use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rollout::guard;
use route::Event;
use tokio::time::{MissedTickBehavior, interval};

use super::Traffic;

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
    let weak = actor.downgrade();
    tokio::spawn(async move {
        let mut interval = interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let Some(actor) = weak.upgrade() else { return };
            if actor.tell(Tick).await.is_err() {
                return;
            }
        }
    });
}
