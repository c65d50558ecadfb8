//! Graceful stop: withdraws the address, finishes accepted work and hands over keys.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::handover;
use crate::actor::claims::Drain;
use crate::actor::members::{Leaving, Stopped};
use crate::actor::traffic::OpenRequests;
use crate::lifecycle::Phase;
use crate::shared::Shared;

/// Interval between checks for open requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time reserved for the handover before the VM is reclaimed.
const HANDOVER_TIME: Duration = Duration::from_secs(1);

/// Minimum time for which the node still answers after withdrawing its address.
const WITHDRAWAL_MIN: Duration = Duration::from_millis(500);

/// End of the drain: after the configured time, or earlier if the handover must finish before the VM is
/// reclaimed.
fn deadline(shared: &Shared) -> Instant {
    let latest = Instant::now() + shared.settings.drain;
    match shared
        .lifecycle
        .reclaim_at()
        .and_then(|at| at.checked_sub(HANDOVER_TIME))
    {
        Some(before_reclaim) => latest.min(before_reclaim),
        None => latest,
    }
}

/// Drains the node until no request is open or the deadline has passed, then hands over.
pub async fn run(shared: &Shared) {
    shared.lifecycle.advance(Phase::Draining);
    log::info!("draining: address withdrawn, accepted requests continue");
    let _gone = shared.members.tell(Leaving).await;
    let _gone = shared.claims.tell(Drain).await;
    let deadline = deadline(shared);
    sleep(WITHDRAWAL_MIN.min(shared.settings.drain)).await;
    while Instant::now() < deadline {
        let open = shared.traffic.ask(OpenRequests).await.unwrap_or(0);
        if open == 0 {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    handover::run(shared).await;
    let _gone = shared.members.tell(Stopped).await;
    log::info!("drained");
}
