//! Assignment of watchers: each node sends heartbeats to a few nodes only, so that their cost does not grow with the
//! cluster.

use base::{Incarnation, Millis, Name};
use indexmap::IndexMap;

use crate::hash;
use crate::node::{Node, State};
use crate::view::View;

/// Number of watchers in the ring of all nodes, and likewise in the ring of the node's zone.
const WATCHERS: usize = 2;
/// Number of collectors in a zone, which gather the reports of the zone's nodes.
const COLLECTORS: usize = 2;

/// The watchers, collectors and watched nodes of this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watch {
    /// The nodes that expect this node's heartbeats.
    pub(crate) watchers: Vec<Incarnation>,
    /// The collectors of this node's zone; the first one is the primary.
    pub(crate) collectors: Vec<Incarnation>,
    /// The nodes whose heartbeats this node expects, with the time of the last contact or else of the assignment.
    pub(crate) watched: IndexMap<Incarnation, Millis>,
}

/// A position in the hash ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    hash: u64,
    incarnation: Incarnation,
}

impl Position {
    fn of(incarnation: Incarnation) -> Self {
        let hash = hash::of(&incarnation);
        Self { hash, incarnation }
    }
}

impl Watch {
    /// Recomputes the assignment. Nodes that were already watched keep their last contact.
    pub(crate) fn rebuild(&mut self, now: Millis, me: &Node, view: &View) {
        let all = ring(me, view, None);
        let zone = ring(me, view, Some(&me.zone));
        self.watchers = neighbours(&all, me.incarnation, Side::After);
        extend_unique(&mut self.watchers, neighbours(&zone, me.incarnation, Side::After));
        self.collectors = zone
            .iter()
            .take(COLLECTORS)
            .map(|position| position.incarnation)
            .collect();
        let mut watched = neighbours(&all, me.incarnation, Side::Before);
        extend_unique(&mut watched, neighbours(&zone, me.incarnation, Side::Before));
        let since = |it: Incarnation| self.watched.get(&it).copied().unwrap_or(now);
        self.watched = watched.into_iter().map(|it| (it, since(it))).collect();
    }

    /// Whether this node collects the reports of its zone.
    pub(crate) fn is_collector(&self, me: Incarnation) -> bool {
        self.collectors.contains(&me)
    }
}

#[derive(Clone, Copy, Debug)]
enum Side {
    Before,
    After,
}

/// Builds the hash ring of the reachable nodes, of one zone or of all zones. This node always has a position.
fn ring(me: &Node, view: &View, zone: Option<&Name>) -> Vec<Position> {
    let in_zone = |node: &Node| zone.is_none_or(|zone| node.zone == *zone && node.region == me.region);
    let others = view.iter().filter(|it| {
        matches!(it.state(), State::Alive | State::Leaving) && it.node().incarnation != me.incarnation
    });
    let mut positions: Vec<Position> = others
        .filter(|it| in_zone(it.node()))
        .map(|it| Position::of(it.node().incarnation))
        .collect();
    positions.push(Position::of(me.incarnation));
    positions.sort_unstable();
    positions
}

fn neighbours(ring: &[Position], me: Incarnation, side: Side) -> Vec<Incarnation> {
    let Ok(own_index) = ring.binary_search(&Position::of(me)) else {
        return Vec::new();
    };
    let count = WATCHERS.min(ring.len() - 1);
    (1..=count)
        .map(|step| match side {
            Side::After => (own_index + step) % ring.len(),
            Side::Before => (own_index + ring.len() - step) % ring.len(),
        })
        .map(|position| ring[position].incarnation)
        .collect()
}

fn extend_unique(into: &mut Vec<Incarnation>, from: Vec<Incarnation>) {
    for it in from {
        if !into.contains(&it) {
            into.push(it);
        }
    }
}
