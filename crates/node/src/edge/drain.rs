//! A graceful stop: the address is withdrawn, accepted work is finished, keys are handed over.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::handover;
use crate::actor::claims::Drain;
use crate::actor::members::{Leaving, Stopped};
use crate::actor::traffic::OpenRequests;
use crate::lifecycle::Phase;
use crate::shared::Shared;

/// Span between two looks at what is left.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time kept back before a reclaim for handing over.
const HANDOVER_TIME: Duration = Duration::from_secs(1);

/// Least time for which the node still answers after its address is withdrawn.
const WITHDRAWAL_MIN: Duration = Duration::from_millis(500);

/// When the drain must be over: as set, or before the VM is taken away, with time left to hand over.
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

/// Drains the node; ends when nothing is left or the time is over.
pub async fn run(shared: &Shared) {
    shared.lifecycle.advance(Phase::Draining);
    log::info!("draining: the address is withdrawn, accepted requests go on");
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
