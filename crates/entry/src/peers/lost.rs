//! Nodes whose registrations ran out.

use base::{Incarnation, Millis};
use indexmap::IndexMap;

use super::Topology;
use crate::view::{Peer, Peers};

/// A node that was lost, or only lost its registration.
#[derive(Clone, Debug)]
struct Loss {
    name: String,
    zone: String,
    until: Millis,
}

/// Nodes that were ready when their registrations were deleted. They may go on admitting requests by their views of before.
///
/// Load pattern: nodes are cut off from the store and from the other nodes. Once their registrations are gone, the others take
/// the limits for theirs alone, while they still use their even shares.
#[derive(Clone, Debug, Default)]
pub struct LostNodes {
    registered: Peers,
    lost: IndexMap<Incarnation, Loss>,
}

impl LostNodes {
    /// Records the registrations. A node that is lost counts as such for `time`, or until it has registered again. Returns the
    /// number of nodes that are new among the lost ones.
    pub fn observe(&mut self, now: Millis, peers: &Peers, time: Millis) -> usize {
        self.lost.retain(|_, loss| loss.until > now);
        if self.registered == *peers {
            return 0;
        }
        let before = std::mem::replace(&mut self.registered, peers.clone());
        let is_back = |node: &Incarnation, name: &str| {
            peers.contains_key(node) || peers.values().any(|peer| peer.name == name)
        };
        self.lost.retain(|node, loss| !is_back(node, &loss.name));
        let is_lost = |(node, peer): &(Incarnation, Peer)| peer.ready && !is_back(node, &peer.name);
        let known = self.lost.len();
        for (node, Peer { name, zone, .. }) in before.into_iter().filter(is_lost) {
            let until = now + time;
            self.lost.insert(node, Loss { name, zone, until });
        }
        self.lost.len() - known
    }

    /// Fraction of a limit that the registered nodes share. The rest stays free for lost nodes.
    ///
    /// Of the lost nodes that would be heard directly, only the silent ones can't report what they admit; the lost nodes of other
    /// zones are taken to be silent as often.
    pub fn shared_fraction<F>(&self, now: Millis, topology: &Topology, zone: &str, is_heard: F) -> f64
    where
        F: Fn(Incarnation) -> bool,
    {
        let lost = || self.lost.iter().filter(|(_, loss)| loss.until > now);
        let direct = lost().filter(|(_, loss)| !topology.is_layered || loss.zone == zone);
        let (mut all, mut silent) = (0_u32, 0_u32);
        for (node, _) in direct {
            all += 1;
            silent += u32::from(!is_heard(*node));
        }
        if silent == 0 {
            return 1.0;
        }
        let registered = self.registered.len().max(1) as f64;
        let kept_free = lost().count() as f64 * f64::from(silent) / f64::from(all);
        registered / (registered + kept_free)
    }
}
