//! Registrations of all nodes, as the platform lists them.

use std::time::Duration;

use member::Node;
use tokio::time::sleep;

use super::is_watcher;
use super::registration::PREFIX;
use crate::actor::members::Registered;
use crate::shared::Shared;

/// Span between two listings.
const PERIOD: Duration = Duration::from_secs(2);

/// Lists registrations while this node watches for its zone.
pub async fn watch(shared: Shared) {
    loop {
        if is_watcher(&shared).await {
            match shared.store.list(PREFIX).await {
                Ok(listing) => {
                    let nodes: Vec<Node> = listing
                        .entries
                        .iter()
                        .filter_map(|entry| serde_json::from_slice(&entry.value).ok())
                        .collect();
                    if shared.members.tell(Registered(nodes)).await.is_err() {
                        return;
                    }
                }
                Err(error) => log::debug!("registrations not listed: {error}"),
            }
        }
        sleep(PERIOD).await;
    }
}
