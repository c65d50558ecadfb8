//! Periodic messages to actors.

use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use tokio::time::{MissedTickBehavior, interval};

/// Sends `tick` to `actor` every `period` until the actor ends. A late tick delays the following ones.
pub fn start<A, T>(actor: &ActorRef<A>, period: Duration, tick: T)
where
    A: Actor + Message<T>,
    T: Copy + Send + Sync + 'static,
{
    let weak = actor.downgrade();
    tokio::spawn(async move {
        let mut interval = interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let Some(actor) = weak.upgrade() else { return };
            if actor.tell(tick).await.is_err() {
                return;
            }
        }
    });
}
