//! Selects the node addresses returned to a caller.

use std::net::SocketAddr;

use base::seed::Generator;
use base::{Incarnation, Millis, Name, Seed};
use indexmap::IndexMap;
use rand::RngExt;

use crate::node::{Node, State};
use crate::view::{Member, View};

/// The address of one node, as returned to callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Address {
    /// The node's incarnation.
    pub node: Incarnation,
    /// The address on which the node accepts callers.
    pub caller: SocketAddr,
    /// The node's availability zone.
    pub zone: Name,
    /// The node's region.
    pub region: Name,
}

/// An ordered address list with its lifetime.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    /// The addresses, best first.
    pub addresses: Vec<Address>,
    /// How long the caller may cache the list.
    pub lifetime: Millis,
}

/// The caller that requests a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The caller's region.
    pub region: Name,
    /// The caller's availability zone, or that of the node that answers if the caller's is unknown.
    pub zone: Name,
    /// Seed of the random order, which distributes callers over the nodes.
    pub seed: Seed,
}

/// Length and lifetime of address lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of addresses in a list.
    pub max_addresses: usize,
    /// Lifetime of a list in normal operation. Random jitter shortens each list's lifetime by up to a fifth.
    pub lifetime: Millis,
    /// Lifetime of a list while nodes of the caller's zone are leaving or suspect, before jitter.
    pub short_lifetime: Millis,
}

impl Settings {
    /// Returns the default settings.
    pub const fn new() -> Self {
        Self {
            max_addresses: 6,
            lifetime: Millis::from_secs(30),
            short_lifetime: Millis::from_secs(5),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new()
    }
}

/// Distance of a node from the caller; a lower value is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
    /// More nodes of the zone are leaving or suspect than alive, as when the cloud reclaims its VMs.
    ReclaimedZone,
}

/// Number of nodes in a zone by health.
#[derive(Clone, Copy, Debug, Default)]
struct Zone {
    alive: usize,
    unavailable: usize,
}

impl Zone {
    const fn is_reclaimed(self) -> bool {
        self.unavailable > self.alive
    }
}

/// A node considered for the list.
#[derive(Clone, Debug)]
struct Candidate {
    distance: Distance,
    /// Order among candidates of equal distance, ascending.
    sort_key: f64,
    address: Address,
}

impl List {
    /// Builds the list for `caller` from the alive nodes of `view`. `load` maps nodes to their utilization from 0 to 1.
    pub fn new(view: &View, load: &IndexMap<Incarnation, f64>, caller: &Caller, settings: &Settings) -> Self {
        let mut generator = caller.seed.generator();
        let zones = count_zones(view);
        let alive = view.iter().filter(|it| it.state() == State::Alive);
        let mut candidates: Vec<Candidate> = alive
            .map(|it| rate_candidate(it.node(), &zones, load, caller, &mut generator))
            .collect();
        candidates.sort_by(|a, b| {
            a.distance
                .cmp(&b.distance)
                .then(a.sort_key.total_cmp(&b.sort_key))
        });
        let caller_zone = zones.get(&zone_key(&caller.region, &caller.zone));
        let has_unavailable = caller_zone.is_some_and(|zone| zone.unavailable > 0);
        let lifetime = if has_unavailable {
            settings.short_lifetime
        } else {
            settings.lifetime
        };
        Self {
            addresses: select(candidates, settings.max_addresses),
            lifetime: Millis(lifetime.0 - generator.random_range(0..=lifetime.0 / 5)),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ZoneKey {
    region: Name,
    zone: Name,
}

fn zone_key(region: &Name, zone: &Name) -> ZoneKey {
    ZoneKey {
        region: region.clone(),
        zone: zone.clone(),
    }
}

fn count_zones(view: &View) -> IndexMap<ZoneKey, Zone> {
    let mut zones: IndexMap<ZoneKey, Zone> = IndexMap::new();
    for member in view.present() {
        let zone = zones
            .entry(zone_key(&member.node().region, &member.node().zone))
            .or_default();
        match member.state() {
            State::Alive => zone.alive += 1,
            State::Leaving | State::Suspect | State::Gone => zone.unavailable += 1,
        }
    }
    zones
}

fn rate_candidate(
    node: &Node,
    zones: &IndexMap<ZoneKey, Zone>,
    load: &IndexMap<Incarnation, f64>,
    caller: &Caller,
    generator: &mut Generator,
) -> Candidate {
    /// Weight of a fully loaded node relative to an idle one, so that it still receives some callers.
    const MIN_WEIGHT: f64 = 0.05;
    let zone = zones
        .get(&zone_key(&node.region, &node.zone))
        .copied()
        .unwrap_or_default();
    let distance = match () {
        () if zone.is_reclaimed() => Distance::ReclaimedZone,
        () if node.region != caller.region => Distance::OtherRegion,
        () if node.zone != caller.zone => Distance::SameRegion,
        () => Distance::SameZone,
    };
    let utilization = load.get(&node.incarnation).copied().unwrap_or(0.0);
    let weight = (1.0 - utilization).max(MIN_WEIGHT);
    // Weighted random order: the smallest of these exponential samples belongs to a given node with a probability
    // proportional to its weight.
    let draw = generator.random_range(f64::MIN_POSITIVE..1.0);
    Candidate {
        distance,
        sort_key: -draw.ln() / weight,
        address: Address {
            node: node.incarnation,
            caller: node.caller,
            zone: node.zone.clone(),
            region: node.region.clone(),
        },
    }
}

/// Returns the first `max` candidates. If all of them are in one zone, the last is replaced by the first candidate of
/// another zone, so that the list survives the loss of a zone.
fn select(candidates: Vec<Candidate>, max: usize) -> Vec<Address> {
    let mut remaining = candidates.into_iter().map(|it| it.address);
    let mut list: Vec<Address> = remaining.by_ref().take(max).collect();
    let Some(first) = list.first() else { return list };
    let is_elsewhere = |it: &Address| it.zone != first.zone || it.region != first.region;
    if list.len() == max
        && max > 1
        && !list.iter().any(is_elsewhere)
        && let Some(other) = remaining.find(is_elsewhere)
    {
        list.pop();
        list.push(other);
    }
    list
}

impl Address {
    /// Whether the address of `member` may be returned to callers.
    pub fn is_offered(member: &Member) -> bool {
        member.state() == State::Alive
    }
}
