//! Sums of datagrams, by which the availability zones of a large cluster hear of each other.
//!
//! The nodes of a zone send each other datagrams. One node of each zone, its hub, sends their sums to the hubs of the
//! other zones, and the sums of the other zones to its own. Every node keeps the state of a hub, so that another can
//! take over at once.

use std::sync::Arc;

use base::{Incarnation, Millis};
use indexmap::IndexMap;
use place::{PeerLimit, PeerLoad, PeerPace};
use quota::Totals;
use relay::Uptime;

use super::PEER_TIMEOUT;
use super::datagram::{CutOff, Datagram, Scope, Unreachable};
use super::paces::Paces;

/// Time without a datagram after which a zone counts as disconnected.
pub const DIGEST_TIMEOUT: Millis = Millis(800);
/// Maximum number of loads of an endpoint in a datagram.
const MAX_LOADS: usize = 128;
/// Maximum number of replicas in a datagram with samples of their speed; five datagrams per second tell of 30.
const MAX_PACES: usize = 6;
/// Endpoint and hash of a replica's id.
type ReplicaKey = (Arc<str>, u64);

/// Time without a datagram after which a node's loads are left out.
const LOAD_TTL: Millis = Millis(1_000);

/// How the totals of a datagram are applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Not at all.
    Nothing,
    /// As a baseline, of which nothing is counted.
    Baseline,
    /// By their growth since the last datagram of the sender.
    Difference,
}

/// The latest datagram of a sender.
#[derive(Clone, Debug)]
struct Heard {
    at: Millis,
    datagram: Datagram,
}

impl Heard {
    /// The uptime that the sender reported, as of now.
    fn uptime(&self, now: Millis) -> Option<Uptime> {
        let age = now.since(self.at);
        self.datagram.uptime.map(|uptime| Uptime {
            first: uptime.first + age,
            last: uptime.last + age,
        })
    }
}

/// Datagrams of the nodes of the own zone and of the hubs of other zones.
#[derive(Debug, Default)]
pub struct Hub {
    nodes: IndexMap<u64, Heard>,
    node_totals: Totals<Arc<str>>,
    node_sent: Totals<ReplicaKey>,
    /// The latest sums of each other zone.
    zones: IndexMap<Arc<str>, Heard>,
    zone_totals: Totals<Arc<str>>,
    zone_sent: Totals<ReplicaKey>,
    /// The latest sums of the other zones from the hub of the own zone.
    outside: Option<Heard>,
    /// Samples of the own zone's nodes for the other zones.
    zone_paces: Paces,
    /// Samples of the other zones for the own one.
    outside_paces: Paces,
}

impl Hub {
    /// Takes a datagram, and returns how it is to be applied: a zone's sums count once, also while two nodes take
    /// themselves for its hub, and when a node becomes the hub again. `hubs` are the zones' hubs in this node's view.
    pub fn record(&mut self, now: Millis, datagram: &Datagram, hubs: &[Incarnation]) -> Use {
        let heard = Heard {
            at: now,
            datagram: datagram.clone(),
        };
        match &datagram.scope {
            Scope::Node => {
                self.node_totals.record(datagram.from, &datagram.used);
                self.node_sent.record(datagram.from, &sent_totals(datagram));
                self.zone_paces.record(now, &datagram.paces);
                match self.nodes.insert(datagram.from, heard) {
                    Some(_) => Use::Difference,
                    None => Use::Baseline,
                }
            }
            Scope::Zone(zone) => {
                let how = use_of_sums(now, self.zones.get(zone), datagram, hubs);
                if how == Use::Nothing {
                    return how;
                }
                if how == Use::Baseline {
                    self.zone_totals.forget(datagram.from);
                    self.zone_sent.forget(datagram.from);
                }
                self.zone_totals.record(datagram.from, &datagram.used);
                self.zone_sent.record(datagram.from, &sent_totals(datagram));
                self.outside_paces.record(now, &datagram.paces);
                self.zones.insert(Arc::clone(zone), heard);
                how
            }
            Scope::Outside { .. } => {
                let how = use_of_sums(now, self.outside.as_ref(), datagram, hubs);
                if how != Use::Nothing {
                    self.outside = Some(heard);
                }
                how
            }
        }
    }

    /// Records what this node has measured, for the sums of its zone.
    pub fn record_own_paces(&mut self, now: Millis, paces: &[(Arc<str>, Vec<PeerPace>)]) {
        self.zone_paces.record(now, paces);
    }

    /// Takes the samples for the sums of the own zone and of the others. Each is passed on once.
    pub fn take_paces(&mut self, now: Millis) -> [Vec<(Arc<str>, Vec<PeerPace>)>; 2] {
        [&mut self.zone_paces, &mut self.outside_paces].map(|paces| paces.take(now, MAX_PACES))
    }

    /// Forgets nodes and zones that are neither registered nor were heard from recently.
    ///
    /// Load pattern: nodes that are cut off from the store. They are no longer registered, but go on admitting requests
    /// until their views are too old, and what they report must be counted.
    pub fn retain<N, Z>(&mut self, now: Millis, is_registered: N, is_zone: Z)
    where
        N: Fn(Incarnation) -> bool,
        Z: Fn(&str) -> bool,
    {
        let is_fresh = |heard: &Heard| now.since(heard.at) < PEER_TIMEOUT;
        self.nodes
            .retain(|node, heard| is_registered(Incarnation(*node)) || is_fresh(heard));
        self.zones.retain(|zone, heard| is_zone(zone) || is_fresh(heard));
        let nodes = &self.nodes;
        let is_member = |node: u64| nodes.contains_key(&node);
        self.node_totals.retain(is_member);
        self.node_sent.retain(is_member);
        let zones = &self.zones;
        let is_sender = |node: u64| zones.values().any(|heard| heard.datagram.from == node);
        self.zone_totals.retain(is_sender);
        self.zone_sent.retain(is_sender);
    }

    /// The sums of the own zone; `own` is this node's datagram.
    pub fn zone_digest(&self, now: Millis, zone: &Arc<str>, own: &Datagram) -> Datagram {
        let fresh = || self.nodes.values().filter(|it| now.since(it.at) < LOAD_TTL);
        let members: Vec<&Datagram> = fresh().map(|it| &it.datagram).chain([own]).collect();
        let mut sent = self.node_sent.sums();
        sent.extend(sent_totals(own));
        let heard = fresh().map(|it| (now.since(it.at), &it.datagram));
        let limits = merge_limits(heard.chain([(Millis::ZERO, own)]), &sent);
        let mut used = self.node_totals.sums();
        for (workspace, total) in &own.used {
            match used.iter_mut().find(|(name, _)| name == workspace) {
                Some((_, sum)) => *sum += total,
                None => used.push((Arc::clone(workspace), *total)),
            }
        }
        Datagram {
            scope: Scope::Zone(Arc::clone(zone)),
            used,
            loads: sum_loads(&members),
            unreachable: merge_unreachable(&members),
            limits,
            cut_off: common_cut_off(&members),
            ..Datagram::default()
        }
    }

    /// The sums of the other zones, of which there are `zones`.
    pub fn outside_digest(&self, now: Millis, zones: usize) -> Datagram {
        let fresh = || self.zones.values().filter(|it| now.since(it.at) < DIGEST_TIMEOUT);
        let digests: Vec<&Datagram> = fresh().map(|it| &it.datagram).collect();
        let heard = fresh().map(|it| (now.since(it.at), &it.datagram));
        let limits = merge_limits(heard, &self.zone_sent.sums());
        Datagram {
            scope: Scope::Outside {
                is_complete: digests.len() >= zones,
            },
            used: self.zone_totals.sums(),
            loads: sum_loads(&digests),
            unreachable: merge_unreachable(&digests),
            limits,
            cut_off: digests.iter().flat_map(|it| it.cut_off.clone()).collect(),
            ..Datagram::default()
        }
    }

    /// Uptimes that the nodes of the own zone reported lately.
    pub fn zone_uptimes(&self, now: Millis) -> Vec<Uptime> {
        let fresh = self.nodes.values().filter(|it| now.since(it.at) < LOAD_TTL);
        fresh.filter_map(|heard| heard.uptime(now)).collect()
    }

    /// Uptimes that the hubs of other zones reported lately.
    pub fn outside_uptimes(&self, now: Millis) -> Vec<Uptime> {
        let fresh = self.zones.values().filter(|it| now.since(it.at) < DIGEST_TIMEOUT);
        fresh.filter_map(|heard| heard.uptime(now)).collect()
    }

    /// Age of the latest datagram of a node; `None` if there is none.
    pub fn node_age(&self, now: Millis, node: Incarnation) -> Option<Millis> {
        self.nodes.get(&node.0).map(|heard| now.since(heard.at))
    }

    /// Whether a node of the own zone was heard from lately and reaches replicas of an endpoint, as far as it has said.
    pub fn node_reaches(&self, now: Millis, node: Incarnation, endpoint: &str) -> bool {
        let heard = self
            .nodes
            .get(&node.0)
            .filter(|it| now.since(it.at) < PEER_TIMEOUT);
        heard.is_some_and(|it| !it.datagram.cut_off.iter().any(|it| *it.endpoint == *endpoint))
    }

    /// Whether a node of another zone reaches replicas of an endpoint, as far as the zones' latest sums say.
    ///
    /// NB: a node keeps the sums that it heard as a hub, and those that it heard before it became one.
    pub fn zone_reaches(&self, now: Millis, zone: &str, endpoint: &str) -> bool {
        let sums = self.zones.values().chain(&self.outside);
        let fresh = sums.filter(|heard| now.since(heard.at) < DIGEST_TIMEOUT);
        let mut cut_off = fresh.flat_map(|heard| &heard.datagram.cut_off);
        !cut_off.any(|it| *it.zone == *zone && *it.endpoint == *endpoint)
    }

    /// Age of the latest sums of other zones; `None` if there are none.
    pub fn outside_age(&self, now: Millis) -> Option<Millis> {
        let sums = self.zones.values().chain(&self.outside);
        sums.map(|heard| now.since(heard.at)).min()
    }

    /// Whether all other zones, of which there are `zones`, were heard from recently: by way of the own zone's hub, or
    /// directly if this node is the hub.
    pub fn hears_other_zones(&self, now: Millis, is_hub: bool, zones: usize) -> bool {
        if is_hub {
            let is_fresh = |it: &&Heard| now.since(it.at) < DIGEST_TIMEOUT;
            return self.zones.values().filter(is_fresh).count() >= zones;
        }
        self.outside.as_ref().is_some_and(|outside| {
            let is_complete = outside.datagram.scope == Scope::Outside { is_complete: true };
            is_complete && now.since(outside.at) < DIGEST_TIMEOUT
        })
    }
}

/// How sums are applied.
///
/// Load pattern: a hub that is cut off from the store. It goes on sending its sums beside the hub that has taken over,
/// and soon hears only some of the other zones.
///
/// NB: a sender that was silent goes on with its old sums. What it counted meanwhile, another hub has sent as well.
fn use_of_sums(now: Millis, heard: Option<&Heard>, sums: &Datagram, hubs: &[Incarnation]) -> Use {
    let Some(heard) = heard.filter(|heard| now.since(heard.at) < DIGEST_TIMEOUT) else {
        return Use::Baseline;
    };
    if heard.datagram.from == sums.from {
        Use::Difference
    } else if preference(sums, hubs) > preference(&heard.datagram, hubs) {
        Use::Baseline
    } else {
        Use::Nothing
    }
}

/// Which of several senders of the same sums is used: one that hears all zones, then the hub in this node's view.
fn preference(sums: &Datagram, hubs: &[Incarnation]) -> (bool, bool) {
    let is_complete = sums.scope != Scope::Outside { is_complete: false };
    (is_complete, hubs.contains(&Incarnation(sums.from)))
}

fn sum_loads(datagrams: &[&Datagram]) -> Vec<(Arc<str>, Vec<PeerLoad>)> {
    let mut sums: IndexMap<Arc<str>, IndexMap<u64, PeerLoad>> = IndexMap::new();
    for (endpoint, loads) in datagrams.iter().flat_map(|it| &it.loads) {
        let sums = sums.entry(Arc::clone(endpoint)).or_default();
        for load in loads {
            let sum = sums.entry(load.replica).or_insert(PeerLoad {
                replica: load.replica,
                in_flight: 0,
                unread_tokens: 0,
            });
            sum.in_flight += load.in_flight;
            sum.unread_tokens += load.unread_tokens;
        }
    }
    let sums = sums.into_iter();
    sums.map(|(endpoint, loads)| (endpoint, largest(loads.into_values().collect())))
        .collect()
}

/// The largest loads, about as many as fit into a datagram. With thousands of replicas, encoding all of them to find out
/// which fit takes most of a small VM's processor.
fn largest(mut loads: Vec<PeerLoad>) -> Vec<PeerLoad> {
    loads.sort_unstable_by_key(|load| std::cmp::Reverse((load.unread_tokens, load.in_flight)));
    loads.truncate(MAX_LOADS);
    loads
}

/// What a sender has sent to each replica that named a limit.
fn sent_totals(datagram: &Datagram) -> Vec<(ReplicaKey, u64)> {
    let limits = datagram.limits.iter();
    let by_replica = limits.flat_map(|(endpoint, limits)| limits.iter().map(move |limit| (endpoint, limit)));
    by_replica
        .map(|(endpoint, limit)| ((Arc::clone(endpoint), limit.replica), limit.sent))
        .collect()
}

/// The latest statement of each replica, with the sum of what was sent to it. Datagrams come with their age.
fn merge_limits<'a, D>(datagrams: D, sent: &[(ReplicaKey, u64)]) -> Vec<(Arc<str>, Vec<PeerLimit>)>
where
    D: Iterator<Item = (Millis, &'a Datagram)>,
{
    let mut merged: IndexMap<Arc<str>, IndexMap<u64, PeerLimit>> = IndexMap::new();
    for (datagram_age, datagram) in datagrams {
        for (endpoint, limits) in &datagram.limits {
            let known = merged.entry(Arc::clone(endpoint)).or_default();
            for limit in limits {
                let limit = PeerLimit {
                    age: limit.age + datagram_age,
                    sent: sum_of(sent, endpoint, limit.replica),
                    ..*limit
                };
                let latest = known.entry(limit.replica).or_insert(limit);
                if limit.age < latest.age {
                    *latest = limit;
                }
            }
        }
    }
    let merged = merged.into_iter();
    merged
        .map(|(endpoint, limits)| (endpoint, limits.into_values().collect()))
        .collect()
}

fn sum_of(sent: &[(ReplicaKey, u64)], endpoint: &str, replica: u64) -> u64 {
    let entries = sent
        .iter()
        .filter(|((name, hash), _)| **name == *endpoint && *hash == replica);
    entries.map(|(_, sum)| sum).sum()
}

fn merge_unreachable(datagrams: &[&Datagram]) -> Vec<Unreachable> {
    let mut merged: Vec<Unreachable> = Vec::new();
    for entry in datagrams.iter().flat_map(|it| &it.unreachable) {
        let known = merged
            .iter_mut()
            .find(|it| it.zone == entry.zone && it.endpoint == entry.endpoint);
        match known {
            Some(known) => {
                known.replicas.extend(&entry.replicas);
                known.replicas.sort_unstable();
                known.replicas.dedup();
            }
            None => merged.push(entry.clone()),
        }
    }
    merged
}

/// The endpoints of which none of the nodes reaches a replica.
fn common_cut_off(members: &[&Datagram]) -> Vec<CutOff> {
    let Some((first, others)) = members.split_first() else {
        return Vec::new();
    };
    let common = first
        .cut_off
        .iter()
        .filter(|it| others.iter().all(|other| other.cut_off.contains(it)));
    common.cloned().collect()
}
