//! The platform: key-value service and cloud.

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

/// Nodes of an availability zone that watch the platform for it.
const WATCHERS_PER_ZONE: usize = 2;

/// Whether this node watches the platform for its availability zone.
///
/// Two nodes of a zone do, by rendezvous over those alive. A third that watches for a while does no harm, so
/// this needs no lease.
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
