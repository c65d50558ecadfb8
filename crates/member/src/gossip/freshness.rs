//! Freshness of local knowledge: the newest answer of the platform to any node, and the last contact with each zone.

use base::{Millis, Name};
use indexmap::IndexMap;

use crate::Generation;
use crate::frame::{Confirmed, ZoneContact};
use crate::hash;
use crate::node::Node;
use crate::timestamp::Timestamp;

/// An answer of the platform, with its time on the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Answer {
    generation: Generation,
    at: Timestamp,
}

/// The newest answer of the platform and the last contact with each zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Freshness {
    answer: Option<Answer>,
    zones: IndexMap<u32, Timestamp>,
}

#[derive(Hash)]
struct Zone<'a> {
    region: &'a Name,
    zone: &'a Name,
}

/// Returns the hash that identifies a node's zone in messages.
pub(crate) fn zone_hash(node: &Node) -> u32 {
    let zone = Zone {
        region: &node.region,
        zone: &node.zone,
    };
    hash::of(&zone) as u32
}

impl Freshness {
    /// Merges an answer of the platform, relayed by a peer or, with age zero, received directly.
    ///
    /// The head's generation never decreases, so of two answers the one with the higher generation is the later one.
    pub(crate) fn merge_confirmed(&mut self, now: Millis, allowance: Millis, confirmed: Confirmed) {
        let at = Timestamp::before(now, allowance.0 + u64::from(confirmed.age));
        let generation = confirmed.generation;
        self.answer = self.answer.max(Some(Answer { generation, at }));
    }

    pub(crate) fn confirmed(&self, now: Millis) -> Option<Confirmed> {
        let answer = self.answer?;
        Some(Confirmed {
            generation: answer.generation,
            age: answer.at.age_millis(now),
        })
    }

    pub(crate) fn record_contact(&mut self, now: Millis, zone: u32) {
        self.zones.insert(zone, Timestamp::at(now));
    }

    pub(crate) fn merge_contacts(&mut self, now: Millis, allowance: Millis, contacts: &[ZoneContact]) {
        for it in contacts {
            let at = Timestamp::before(now, allowance.0 + u64::from(it.age));
            let known = self.zones.entry(it.zone).or_insert(at);
            *known = at.max(*known);
        }
    }

    pub(crate) fn contacts(&self, now: Millis) -> Vec<ZoneContact> {
        let contact = |zone: &u32, at: &Timestamp| ZoneContact {
            zone: *zone,
            age: at.age_millis(now),
        };
        self.zones.iter().map(|(zone, at)| contact(zone, at)).collect()
    }

    /// Whether the last contact with `zone` was no longer than `within` ago.
    pub(crate) fn is_recent(&self, now: Millis, within: Millis, zone: u32) -> bool {
        self.zones.get(&zone).is_some_and(|at| at.age(now) <= within)
    }

    /// Retains only the zones that have nodes.
    pub(crate) fn retain<F>(&mut self, has_nodes: F)
    where
        F: Fn(u32) -> bool,
    {
        self.zones.retain(|zone, _| has_nodes(*zone));
    }
}
