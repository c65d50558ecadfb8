//! Registrations of all nodes, as the platform lists them.

use std::time::Duration;

use indexmap::IndexSet;
use member::Node;
use member::node::{Registration, State};
use store::{Condition, Write};
use tokio::time::sleep;

use super::is_watcher;
use super::registration::{ALIVE, NODES, alive_key, node_key};
use crate::actor::members::{Nodes, RegistrationsListed};
use crate::shared::Shared;

/// Span between two listings.
const PERIOD: Duration = Duration::from_secs(2);

/// Lists registrations while this node watches for its zone.
pub async fn watch(shared: Shared) {
    loop {
        if is_watcher(&shared).await {
            match list(&shared).await {
                Ok(registrations) => {
                    clean(&shared, &registrations).await;
                    let _gone = shared.members.tell(RegistrationsListed(registrations)).await;
                }
                Err(error) => log::debug!("registrations not listed: {error}"),
            }
        }
        sleep(PERIOD).await;
    }
}

/// All registrations, each with whether its lease has lapsed.
///
/// NB: nodes are listed before leases, so that a node that registers in between does not look lapsed.
pub async fn list(shared: &Shared) -> Result<Vec<Registration>, store::Error> {
    let nodes = shared.store.list(NODES).await?;
    let alive = shared.store.list(ALIVE).await?;
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

/// Deletes records of incarnations that are gone; nobody needs them any more.
async fn clean(shared: &Shared, registrations: &[Registration]) {
    let lapsed: Vec<&Node> = registrations
        .iter()
        .filter(|one| one.lease_expired)
        .map(|one| &one.node)
        .collect();
    if lapsed.is_empty() {
        return;
    }
    let Ok(known) = shared.members.ask(Nodes).await else {
        return;
    };
    let is_gone = |node: &Node| {
        known
            .iter()
            .any(|line| line.incarnation == node.incarnation && line.state == State::Gone)
    };
    for node in lapsed.into_iter().filter(|node| is_gone(node)) {
        // Another watcher may have been faster.
        let _deleted = shared
            .store
            .write_once(&Write::delete(node_key(node), Condition::Any))
            .await;
    }
}
