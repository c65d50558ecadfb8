//! Random selection of peers: mostly from the same zone, fewer from the region's other zones and from other regions.

use std::net::SocketAddr;

use base::Incarnation;
use base::seed::Generator;
use rand::RngExt;

use crate::node::{Node, State};
use crate::view::View;

/// Probability, in percent, of choosing a peer in the same zone.
const OWN_ZONE_PERCENT: u32 = 50;
/// Probability, in percent, of choosing a peer in the same region, the same zone included.
const OWN_REGION_PERCENT: u32 = 80;
/// Probability, in percent, of attempting an exchange with a suspect node, so that a healed partition is detected.
const SUSPECT_PERCENT: u32 = 5;

/// A peer and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
}

impl Peer {
    pub(crate) fn of(node: &Node) -> Self {
        Self {
            incarnation: node.incarnation,
            address: node.peer,
        }
    }
}

/// Peers grouped by distance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    same_zone: Vec<Peer>,
    same_region: Vec<Peer>,
    other_regions: Vec<Peer>,
    suspect: Vec<Peer>,
}

impl Peers {
    pub(crate) fn new(me: &Node, view: &View) -> Self {
        let mut peers = Self::default();
        for member in view.present() {
            let node = member.node();
            if node.incarnation == me.incarnation {
                continue;
            }
            peers.group_of(me, node, member.state()).push(Peer::of(node));
        }
        peers
    }

    fn group_of(&mut self, me: &Node, node: &Node, state: State) -> &mut Vec<Peer> {
        if state == State::Suspect {
            &mut self.suspect
        } else if node.region != me.region {
            &mut self.other_regions
        } else if node.zone != me.zone {
            &mut self.same_region
        } else {
            &mut self.same_zone
        }
    }

    /// Picks a peer that is not suspect. If the chosen group is empty, another group is used.
    pub(crate) fn pick(&self, generator: &mut Generator) -> Option<Peer> {
        let draw = generator.random_range(0..100);
        let order = match draw {
            0..OWN_ZONE_PERCENT => [&self.same_zone, &self.same_region, &self.other_regions],
            OWN_ZONE_PERCENT..OWN_REGION_PERCENT => [&self.same_region, &self.same_zone, &self.other_regions],
            _ => [&self.other_regions, &self.same_region, &self.same_zone],
        };
        let group = order.into_iter().find(|group| !group.is_empty())?;
        choose(group, generator)
    }

    /// Picks a peer for an exchange, occasionally a suspect one.
    pub(crate) fn pick_for_exchange(&self, generator: &mut Generator) -> Option<Peer> {
        if generator.random_range(0..100) < SUSPECT_PERCENT
            && let Some(peer) = choose(&self.suspect, generator)
        {
            return Some(peer);
        }
        self.pick(generator).or_else(|| choose(&self.suspect, generator))
    }

    /// Picks up to `count` distinct peers that are not suspect.
    pub(crate) fn pick_many(&self, count: usize, generator: &mut Generator) -> Vec<Peer> {
        /// Maximum number of random draws per requested peer.
        const DRAWS_PER_PEER: usize = 4;
        let mut picked: Vec<Peer> = Vec::with_capacity(count);
        for _ in 0..count * DRAWS_PER_PEER {
            let Some(peer) = self.pick(generator) else { break };
            if !picked.contains(&peer) {
                picked.push(peer);
            }
            if picked.len() == count {
                break;
            }
        }
        picked
    }
}

fn choose(group: &[Peer], generator: &mut Generator) -> Option<Peer> {
    if group.is_empty() {
        return None;
    }
    Some(group[generator.random_range(0..group.len())])
}
