//! Tasks that only the elected node performs: usage reports, orders for replicas and rollouts.
//!
//! The node that holds the role runs the tasks. Every call carries the role's fencing token, and the role is checked
//! right before the call is sent.

mod election;
mod rollouts;
mod scaler;
mod usage;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::interval;

use self::election::Election;
use self::rollouts::RolloutController;
use self::scaler::Scaler;
use self::usage::UsageReporter;
pub use self::usage::newest_recorded_window;
use crate::Shared;
use crate::lifecycle::Phase;
use crate::register::HeldLease;

/// Interval at which the tasks run.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the tasks whenever this node holds the role, until the node starts to leave.
pub async fn run(shared: Arc<Shared>, leases: watch::Receiver<Option<HeldLease>>) {
    let mut election = Election::new(Arc::clone(&shared), leases);
    let mut usage = UsageReporter::new(Arc::clone(&shared));
    let mut scaler = Scaler::new(Arc::clone(&shared));
    let mut rollouts = RolloutController::new(Arc::clone(&shared));
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            _tick = ticks.tick() => {}
            () = shared.lifecycle.reached(Phase::Leaving) => break,
        }
        election.tick().await;
        usage.tick(&election).await;
        scaler.tick(&election).await;
        rollouts.tick(&election).await;
    }
    election.release().await;
    // No other node takes the role before its record is cleared or this node's registration ends.
    while election.needs_clearing() {
        tokio::select! {
            _tick = ticks.tick() => {}
            () = shared.lifecycle.reached(Phase::Ended) => return,
        }
        election.tick().await;
    }
}
