//! Tracks which nodes have not applied a catalogue generation yet.
//!
//! Nodes report their applied generation to the collectors of their availability zone, and each collector publishes
//! the lowest one to all nodes. A collector's count is used only if it covers the same nodes as the local view of the
//! zone.

use base::Name;

use crate::Generation;
use crate::item::{Applied, Body};
use crate::node::State;
use crate::view::View;

/// Progress of one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// The region.
    pub region: Name,
    /// The availability zone.
    pub zone: Name,
    /// The highest generation known to be applied by all nodes of the zone that are not gone.
    pub generation: Generation,
    /// Number of nodes that are not gone.
    pub nodes: u32,
    /// Nodes that are suspect, but not known to be gone.
    pub unreachable: Vec<Name>,
    /// Wrapping sum of the counted incarnations.
    incarnation_sum: u64,
}

/// Progress of every availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Acks {
    zones: Vec<Zone>,
}

impl Acks {
    /// Counts the nodes of `view` by zone and applies the collectors' counts found in `bodies`.
    pub fn new<'a, B>(view: &View, bodies: B) -> Self
    where
        B: IntoIterator<Item = &'a Body>,
    {
        let mut acks = Self::default();
        for member in view.present() {
            acks.count_member(member);
        }
        for body in bodies {
            if let Body::Applied { applied, .. } = body {
                acks.apply_report(applied);
            }
        }
        acks
    }

    /// Returns the highest generation applied by every node that is not gone.
    pub fn in_force(&self) -> Option<Generation> {
        self.zones.iter().map(|zone| zone.generation).min()
    }

    /// Returns the zones where some node is not known to have applied `generation`.
    pub fn zones_behind(&self, generation: Generation) -> Vec<&Zone> {
        let zones = self.zones.iter();
        zones.filter(|zone| zone.generation < generation).collect()
    }

    /// Returns all zones.
    pub fn zones(&self) -> &[Zone] {
        &self.zones
    }

    fn count_member(&mut self, member: &crate::view::Member) {
        let node = member.node();
        let index = self.position(&node.region, &node.zone).unwrap_or_else(|| {
            self.zones.push(Zone {
                region: node.region.clone(),
                zone: node.zone.clone(),
                generation: Generation(0),
                nodes: 0,
                unreachable: Vec::new(),
                incarnation_sum: 0,
            });
            self.zones.len() - 1
        });
        let zone = &mut self.zones[index];
        zone.nodes += 1;
        zone.incarnation_sum = zone.incarnation_sum.wrapping_add(node.incarnation.0);
        if member.state() == State::Suspect {
            zone.unreachable.push(node.name.clone());
        }
    }

    fn apply_report(&mut self, applied: &Applied) {
        let Some(index) = self.position(&applied.region, &applied.zone) else {
            return;
        };
        let zone = &mut self.zones[index];
        if applied.nodes == zone.nodes && applied.incarnation_sum == zone.incarnation_sum {
            zone.generation = zone.generation.max(applied.generation);
        }
    }

    fn position(&self, region: &Name, zone: &Name) -> Option<usize> {
        self.zones
            .iter()
            .position(|it| it.region == *region && it.zone == *zone)
    }
}
