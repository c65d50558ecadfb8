//! What a request asks of a replica.

use base::Millis;

use crate::ReplicaKey;

/// One part of a prompt. Requests that share their first parts can share what a replica has cached of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Id of the part's text.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// Which software versions may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFilter<'a> {
    /// Any version.
    Any,
    /// This version only.
    Only(&'a str),
    /// All versions but this one.
    Except(&'a str),
}

impl VersionFilter<'_> {
    /// Whether a version may serve.
    pub fn matches(self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(wanted) => version == wanted,
            Self::Except(excluded) => version != excluded,
        }
    }
}

/// A request as far as the choice of its replica goes.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The prompt in order; the last part belongs to the request itself. Empty for plain requests.
    pub parts: &'a [Part],
    /// Most tokens that are generated.
    pub output_tokens: u32,
    /// Availability zone of the node.
    pub zone: &'a str,
    /// Replicas that this request was sent to before.
    pub tried: &'a [ReplicaKey],
    /// Software versions that may serve it.
    pub version: VersionFilter<'a>,
    /// Time until an answer is of no use.
    pub time_left: Millis,
}

impl Demand<'_> {
    /// Parts that other requests share.
    pub fn shared(&self) -> &[Part] {
        match self.parts {
            [] => &[],
            [shared @ .., _own] => shared,
        }
    }

    /// Tokens that no other request brings.
    pub fn own_tokens(&self) -> u32 {
        self.parts.last().map_or(0, |part| part.tokens)
    }
}
