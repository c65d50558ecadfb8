//! The datagrams that nodes send each other.

use std::sync::Arc;

use base::Millis;
use place::{PeerLimit, PeerLoad, PeerPace};
use relay::Uptime;
use serde::{Deserialize, Serialize};

/// Maximum datagram size, below the smallest MTU of the networks between nodes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// What a datagram describes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The sender.
    #[default]
    Node,
    /// All nodes of the sender's availability zone, for the hubs of the other zones.
    Zone(Arc<str>),
    /// All nodes of the other zones, for the nodes of the sender's zone.
    Outside {
        /// Whether every other zone was heard from recently.
        is_complete: bool,
    },
}

/// Replicas that nodes of an availability zone cannot reach.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreachable {
    /// The zone of the nodes.
    pub zone: Arc<str>,
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Hashes of the ids of the replicas.
    pub replicas: Vec<u64>,
}

/// An endpoint whose replicas nodes of an availability zone cannot reach.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CutOff {
    /// The zone of the nodes.
    pub zone: Arc<str>,
    /// The endpoint.
    pub endpoint: Arc<str>,
}

/// A datagram.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Incarnation of the sender.
    pub from: u64,
    /// Sequence number within the scope. Older datagrams that arrive late are dropped.
    pub number: u64,
    /// What it describes.
    pub scope: Scope,
    /// Tokens admitted since the sender started, by workspace.
    pub used: Vec<(Arc<str>, u64)>,
    /// Requests in flight at each replica, by endpoint.
    pub loads: Vec<(Arc<str>, Vec<PeerLoad>)>,
    /// Replicas that cannot be reached.
    pub unreachable: Vec<Unreachable>,
    /// How long the store has answered the sender, or in sums the nodes that they describe; `None` before the first answer.
    pub uptime: Option<Uptime>,
    /// Rate limits that replicas named, by endpoint.
    pub limits: Vec<(Arc<str>, Vec<PeerLimit>)>,
    /// Crashes of replicas under requests, and blocked requests and prompt parts.
    pub poison: poison::Digest,
    /// Endpoints of which the sender can't reach any replica, or in sums none of the nodes that they describe.
    pub cut_off: Vec<CutOff>,
    /// Samples of the replicas' speed that were not told before, by endpoint.
    pub paces: Vec<(Arc<str>, Vec<PeerPace>)>,
}

/// The encoding of the last fields where they are absent or empty. Earlier builds send no samples of the replicas' speed,
/// nor, earlier, endpoints that they can't reach, nor, still earlier, the digest of crashes, which has three lists, nor the two fields before it. What is left over is ignored.
const EMPTY_LAST_FIELDS: [u8; 7] = [0; 7];

impl Datagram {
    /// Decodes a datagram, also of a build that does not send the last fields.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
            .or_else(|_incomplete| postcard::from_bytes(&[bytes, &EMPTY_LAST_FIELDS].concat()))
    }

    /// Encodes the datagram. If it is too large, the smallest loads are left out, then unreachable replicas, then the oldest
    /// rate limits.
    pub fn encode(&mut self) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = postcard::to_stdvec(self)?;
        while bytes.len() > MAX_DATAGRAM_BYTES && self.loads.iter().any(|(_, loads)| !loads.is_empty()) {
            metrics::counter!("bilberrylatch_peer_loads_left_out_total").increment(1);
            for (_, loads) in &mut self.loads {
                loads.sort_by_key(|load| std::cmp::Reverse((load.unread_tokens, load.in_flight)));
                loads.truncate(loads.len() * 3 / 4);
            }
            bytes = postcard::to_stdvec(self)?;
        }
        if bytes.len() > MAX_DATAGRAM_BYTES {
            self.paces.clear();
            self.unreachable.clear();
            bytes = postcard::to_stdvec(self)?;
        }
        while bytes.len() > MAX_DATAGRAM_BYTES && self.limits.iter().any(|(_, limits)| !limits.is_empty()) {
            for (_, limits) in &mut self.limits {
                limits.sort_by_key(|limit| limit.age);
                limits.truncate(limits.len() / 2);
            }
            bytes = postcard::to_stdvec(self)?;
        }
        if bytes.len() > MAX_DATAGRAM_BYTES {
            self.poison.crashes.clear();
            bytes = postcard::to_stdvec(self)?;
        }
        Ok(bytes)
    }

    /// Whether it says the same as another, apart from its number and the time that passed.
    pub fn is_same(&self, other: &Self) -> bool {
        self.used == other.used
            && self.loads == other.loads
            && self.unreachable == other.unreachable
            && self.cut_off == other.cut_off
            && self.paces.is_empty()
            && self.has_same_limits(other)
            && self.poison.is_same(&other.poison)
    }

    /// Whether the limits are the same, apart from their ages.
    fn has_same_limits(&self, other: &Self) -> bool {
        let without_age = |datagram: &Self| -> Vec<PeerLimit> {
            let limits = datagram.limits.iter().flat_map(|(_, limits)| limits);
            let age = Millis::ZERO;
            limits.map(|limit| PeerLimit { age, ..*limit }).collect()
        };
        without_age(self) == without_age(other)
    }
}
