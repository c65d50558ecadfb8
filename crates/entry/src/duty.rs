//! What one node at a time does for all: usage reports, orders for replicas, moves of versions.
//!
//! The node that holds the role does it; every call carries the role's fencing number and is checked against the role
//! right before it leaves.

mod holder;
mod moves;
mod orders;
mod usage;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::interval;

use self::holder::Holder;
use self::moves::Mover;
use self::orders::Orders;
use self::usage::Usage;
use crate::Shared;
use crate::register::HeldLease;
use crate::stop::Phase;

/// Pace of the duties.
const PACE: Duration = Duration::from_millis(200);

/// Takes up the duties whenever this node holds their role, until it leaves.
pub async fn run(shared: Arc<Shared>, leases: watch::Receiver<Option<HeldLease>>) {
    let mut holder = Holder::new(Arc::clone(&shared), leases);
    let mut usage = Usage::new(Arc::clone(&shared));
    let mut orders = Orders::new(Arc::clone(&shared));
    let mut mover = Mover::new(Arc::clone(&shared));
    let mut ticks = interval(PACE);
    loop {
        tokio::select! {
            _tick = ticks.tick() => {}
            () = shared.stop.reached(Phase::Leaving) => break,
        }
        holder.tick().await;
        usage.tick(&holder).await;
        orders.tick(&holder).await;
        mover.tick(&holder).await;
    }
    holder.release().await;
}
