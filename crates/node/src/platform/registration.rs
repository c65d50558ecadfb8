//! This node's registration at the platform.
//!
//! Two records: `nodes/{name}/{incarnation}` says where the node is and stands until its incarnation is gone;
//! `alive/{incarnation}` is bound to a lease and vanishes when the node stops renewing it.

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

/// Keys of nodes' records start with this.
pub const NODE_PREFIX: &str = "nodes/";

/// Keys of leased records start with this.
pub const ALIVE_PREFIX: &str = "alive/";

/// Lifetime of a lease without renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(10);

/// Span between renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Span between attempts while the platform is down.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Key of a node's record.
pub fn node_key(node: &Node) -> String {
    format!("{NODE_PREFIX}{}/{}", node.name, node.incarnation)
}

/// Key of a node's leased record.
pub fn alive_key(incarnation: Incarnation) -> String {
    format!("{ALIVE_PREFIX}{incarnation}")
}

/// Keeps the registration until the node has ended, then withdraws it.
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

/// Without an answer the lease lapses on its own, and a watcher deletes the record.
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

/// NB: the leased record comes first, so that a node whose record is listed without it has really lapsed.
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

/// The lease as roles name it.
fn role_lease(lease: &Lease) -> role::Lease {
    role::Lease(hash::stable(&lease.0))
}

/// Whether the lease under which `holder` took a role up still lives.
///
/// NB: a node that lost its lease registers again under another one; that says nothing about the first.
pub async fn is_alive(
    shared: &Shared,
    holder: Incarnation,
    lease: role::Lease,
) -> Result<bool, store::Error> {
    let record = shared.store.get(&alive_key(holder)).await?;
    Ok(record.is_some_and(|record| record.value.as_ref() == lease.0.to_string().as_bytes()))
}

/// Roles last as long as the lease, reckoned from when its renewal was sent.
async fn publish_lease(shared: &Shared, lease: &Lease, sent_at: Millis) {
    let until = sent_at + Millis(LEASE_TTL.as_millis() as u64);
    let leased = Leased {
        lease: role_lease(lease),
        until,
    };
    let _gone = shared.rollouts.tell(leased).await;
    let _gone = shared.members.tell(Renewed).await;
}
