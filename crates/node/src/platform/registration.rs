//! This node's registration: a record that vanishes with the node's lease.

use std::time::Duration;

use base::Millis;
use bytes::Bytes;
use member::Node;
use store::{Condition, Lease, Write};
use tokio::time::sleep;

use crate::actor::rollouts::Leased;
use crate::hash;
use crate::shared::Shared;
use crate::stop::Phase;

/// Keys of registrations start with this.
pub const PREFIX: &str = "nodes/";

/// Lifetime of a registration without renewal.
pub const TTL: Duration = Duration::from_secs(10);

/// Span between renewals.
const RENEW: Duration = Duration::from_secs(3);

/// Span between attempts while the platform is down.
const RETRY: Duration = Duration::from_secs(1);

/// Keeps the registration until the node has ended, then withdraws it.
pub async fn keep(shared: Shared, node: Node) {
    let mut lease = None;
    loop {
        let pause = match renew(&shared, &node, &mut lease).await {
            Ok(()) => RENEW,
            Err(error) => {
                log::warn!("registration not renewed: {error}");
                RETRY
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = shared.stop.reached(Phase::Ended) => break,
        }
    }
    if let Some(lease) = lease {
        // Without an answer the lease lapses on its own.
        let _unanswered = shared.store.revoke(&lease).await;
    }
}

async fn renew(shared: &Shared, node: &Node, lease: &mut Option<Lease>) -> Result<(), store::Error> {
    let sent = shared.clock.now();
    if let Some(held) = lease {
        match shared.store.renew(held).await {
            Err(store::Error::Lapsed) => *lease = None,
            Ok(()) => {
                tell(shared, held, sent).await;
                return Ok(());
            }
            Err(error) => return Err(error),
        }
    }
    let granted = shared.store.grant(TTL).await?;
    let value = serde_json::to_vec(node).map_err(|error| store::Error::Protocol(error.to_string()))?;
    let key = format!("{PREFIX}{}", node.name);
    let write = Write::new(key, Bytes::from(value), Condition::Any).with_lease(granted.clone());
    shared.store.write(&write).await?;
    tell(shared, &granted, sent).await;
    *lease = Some(granted);
    Ok(())
}

/// Roles last as long as the lease, reckoned from when its renewal was sent.
async fn tell(shared: &Shared, lease: &Lease, sent: Millis) {
    let until = sent + Millis(TTL.as_millis() as u64);
    let leased = Leased {
        lease: member::role::Lease(hash::stable(&lease.0)),
        until,
    };
    let _gone = shared.rollouts.tell(leased).await;
}
