//! Access to the platform: the key-value service and the cloud.

pub mod catalogue;
pub mod cloud;
pub mod load;
pub mod nodes;
pub mod registration;
pub mod rollout;
pub mod vm;

use base::Name;
use member::node::State;
use member::role::rank;

use crate::actor::members::Nodes;
use crate::shared::Shared;

/// Number of nodes per availability zone that watch the platform.
const WATCHERS_PER_ZONE: usize = 2;

/// Whether this node watches the platform for its availability zone.
///
/// Two nodes per zone do, chosen by rendezvous hashing over its live nodes. A temporary third watcher is
/// harmless, so no lease is needed.
pub async fn is_watcher(shared: &Shared) -> bool {
    let Ok(nodes) = shared.members.ask(Nodes).await else {
        return false;
    };
    let zone = &shared.settings.zone;
    let alive = nodes
        .iter()
        .filter(|node| node.state == State::Alive && node.zone == *zone);
    let role = Name::new(format!("watcher/{zone}"));
    rank(&role, shared.incarnation, alive.map(|node| node.incarnation))
        .is_none_or(|rank| rank < WATCHERS_PER_ZONE)
}
