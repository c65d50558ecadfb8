//! Registrations of all nodes at the platform.

use std::time::Duration;

use indexmap::IndexSet;
use member::Node;
use member::node::{Registration, State};
use store::{Condition, Write};
use tokio::time::sleep;

use super::is_watcher;
use super::registration::{ALIVE_PREFIX, NODE_PREFIX, alive_key, node_key};
use crate::actor::members::{Nodes, RegistrationsListed};
use crate::shared::Shared;

/// Interval between listings.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Lists registrations while this node is a watcher of its zone.
pub async fn watch(shared: Shared) {
    loop {
        if is_watcher(&shared).await {
            match list(&shared).await {
                Ok(registrations) => {
                    delete_expired(&shared, &registrations).await;
                    let _gone = shared.members.tell(RegistrationsListed(registrations)).await;
                }
                Err(error) => log::debug!("failed to list registrations: {error}"),
            }
        }
        sleep(LIST_INTERVAL).await;
    }
}

/// Lists all registrations, and whether their leases have expired.
///
/// NB: nodes are listed before leases, so that a node that registers in between does not look expired.
pub async fn list(shared: &Shared) -> Result<Vec<Registration>, store::Error> {
    let nodes = shared.store.list(NODE_PREFIX).await?;
    let alive = shared.store.list(ALIVE_PREFIX).await?;
    let alive: IndexSet<&str> = alive.entries.iter().map(|entry| entry.key.as_str()).collect();
    let nodes = nodes
        .entries
        .iter()
        .filter_map(|entry| serde_json::from_slice::<Node>(&entry.value).ok());
    let registration = |node: Node| {
        let lease_expired = !alive.contains(alive_key(node.incarnation).as_str());
        Registration { node, lease_expired }
    };
    Ok(nodes.map(registration).collect())
}

/// Deletes the records of incarnations that are gone, which are no longer needed.
async fn delete_expired(shared: &Shared, registrations: &[Registration]) {
    let expired: Vec<&Node> = registrations
        .iter()
        .filter(|registration| registration.lease_expired)
        .map(|registration| &registration.node)
        .collect();
    if expired.is_empty() {
        return;
    }
    let Ok(known) = shared.members.ask(Nodes).await else {
        return;
    };
    let is_gone = |node: &Node| {
        known
            .iter()
            .any(|view| view.incarnation == node.incarnation && view.state == State::Gone)
    };
    for node in expired.into_iter().filter(|node| is_gone(node)) {
        // Another watcher may have deleted the record already.
        let _deleted = shared
            .store
            .write_once(&Write::delete(node_key(node), Condition::Any))
            .await;
    }
}
