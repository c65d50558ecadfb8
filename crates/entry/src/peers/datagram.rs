//! The datagrams that nodes send each other.

use std::sync::Arc;

use place::PeerLoad;
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
    /// How long the store has answered the sender; `None` in sums, and before its first answer.
    pub uptime: Option<Uptime>,
}

/// An absent uptime, which earlier builds do not send.
const NO_UPTIME: u8 = 0;

impl Datagram {
    /// Decodes a datagram, also of a build that does not send the last field.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes).or_else(|_| {
            let mut extended = bytes.to_vec();
            extended.push(NO_UPTIME);
            postcard::from_bytes(&extended)
        })
    }

    /// Encodes the datagram. If it is too large, the smallest loads are left out: limits and unreachable replicas take
    /// precedence.
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
            self.unreachable.clear();
            bytes = postcard::to_stdvec(self)?;
        }
        Ok(bytes)
    }

    /// Whether it says the same as another, apart from its number and the time that passed.
    pub fn is_same(&self, other: &Self) -> bool {
        self.used == other.used && self.loads == other.loads && self.unreachable == other.unreachable
    }
}
