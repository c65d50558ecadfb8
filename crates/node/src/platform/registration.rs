//! This node's registration at the platform.
//!
//! There are two records. `nodes/{name}/{incarnation}` describes the node and exists until the incarnation is
//! gone. `alive/{incarnation}` is bound to a lease and disappears when the node stops renewing it.

use std::time::Duration;

use base::{Incarnation, Millis};
use bytes::Bytes;
use member::{Node, role};
use store::{Condition, Lease, Write};
use tokio::time::sleep;

use crate::actor::members::Renewed;
use crate::actor::rollouts::Leased;
use crate::hash;
use crate::lifecycle::Phase;
use crate::shared::Shared;

/// Key prefix of node records.
pub const NODE_PREFIX: &str = "nodes/";

/// Key prefix of leased records.
pub const ALIVE_PREFIX: &str = "alive/";

/// Time to live of the lease without renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(10);

/// Interval between renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Interval between attempts while the platform is unavailable.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Key of a node's record.
pub fn node_key(node: &Node) -> String {
    format!("{NODE_PREFIX}{}/{}", node.name, node.incarnation)
}

/// Key of a node's leased record.
pub fn alive_key(incarnation: Incarnation) -> String {
    format!("{ALIVE_PREFIX}{incarnation}")
}

/// Renews the registration until the node has ended, then withdraws it.
pub async fn maintain(shared: Shared, node: Node) {
    let mut lease = None;
    loop {
        let pause = match renew(&shared, &node, &mut lease).await {
            Ok(()) => RENEW_INTERVAL,
            Err(error) => {
                log::warn!("registration not renewed: {error}");
                RETRY_INTERVAL
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = shared.lifecycle.wait_for(Phase::Ended) => break,
        }
    }
    withdraw(&shared, &node, lease).await;
}

/// Withdraws the registration. If that fails, the lease expires and a watcher deletes the record.
async fn withdraw(shared: &Shared, node: &Node, lease: Option<Lease>) {
    if let Some(lease) = lease {
        let _ignored = shared.store.revoke(&lease).await;
    }
    let _ignored = shared
        .store
        .write_once(&Write::delete(node_key(node), Condition::Any))
        .await;
}

async fn renew(shared: &Shared, node: &Node, lease: &mut Option<Lease>) -> Result<(), store::Error> {
    let sent_at = shared.clock.now();
    if let Some(held) = lease {
        match shared.store.renew(held).await {
            Ok(()) => {
                publish_lease(shared, held, sent_at).await;
                return Ok(());
            }
            Err(store::Error::LeaseExpired) => *lease = None,
            Err(error) => return Err(error),
        }
    }
    let granted = register(shared, node).await?;
    publish_lease(shared, &granted, sent_at).await;
    *lease = Some(granted);
    Ok(())
}

/// NB: the leased record is written first, so that a node record without it always means an expired lease.
async fn register(shared: &Shared, node: &Node) -> Result<Lease, store::Error> {
    let granted = shared.store.grant(LEASE_TTL).await?;
    let value = Bytes::from(role_lease(&granted).0.to_string());
    let alive = Write::new(alive_key(node.incarnation), value, Condition::Any);
    shared.store.write(&alive.with_lease(granted.clone())).await?;
    let value = serde_json::to_vec(node).map_err(|error| store::Error::Protocol(error.to_string()))?;
    shared
        .store
        .write(&Write::new(node_key(node), Bytes::from(value), Condition::Any))
        .await?;
    Ok(granted)
}

/// Id of the lease, as used by roles.
fn role_lease(lease: &Lease) -> role::Lease {
    role::Lease(hash::stable(&lease.id))
}

/// Whether the lease under which `holder` acquired a role is still alive.
///
/// NB: a node that lost its lease registers again under a new one, which must not be taken for the first.
pub async fn is_alive(
    shared: &Shared,
    holder: Incarnation,
    lease: role::Lease,
) -> Result<bool, store::Error> {
    let record = shared.store.get(&alive_key(holder)).await?;
    Ok(record.is_some_and(|record| record.value.as_ref() == lease.0.to_string().as_bytes()))
}

/// Reports the renewed lease to the actors. Roles are valid until the lease expires, counted from the time at
/// which the renewal was sent.
async fn publish_lease(shared: &Shared, lease: &Lease, sent_at: Millis) {
    let until = sent_at + Millis(LEASE_TTL.as_millis() as u64);
    let leased = Leased {
        lease: role_lease(lease),
        until,
    };
    let _gone = shared.rollouts.tell(leased).await;
    let _gone = shared.members.tell(Renewed).await;
}
