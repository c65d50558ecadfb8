//! The properties of a request that replica selection uses.

use std::sync::Arc;

use admission::Urgency;
use base::Millis;

use crate::ReplicaKey;

/// A part of a prompt. Requests whose prompts start with the same parts can share what a replica has cached of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Id of the part's text; equal texts have equal ids.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Filter for the software versions that may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFilter<'a> {
    /// Any version.
    Any,
    /// Only this version.
    Only(&'a str),
    /// All versions except these.
    Except(&'a [Arc<str>]),
}

impl VersionFilter<'_> {
    /// Returns whether a replica of this version may serve the request.
    pub fn matches(self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(wanted) => version == wanted,
            Self::Except(excluded) => excluded.iter().all(|it| **it != *version),
        }
    }
}

/// A request as replica selection sees it.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Parts of the prompt in order; the last one is specific to the request. Empty for requests without a prompt.
    pub parts: &'a [Part],
    /// Maximum number of tokens to generate.
    pub output_tokens: u32,
    /// Availability zone of the node that handles the request.
    pub zone: &'a str,
    /// Replicas to which the request was already sent.
    pub tried: &'a [ReplicaKey],
    /// Software versions that may serve the request.
    pub version: VersionFilter<'a>,
    /// Availability zones in which the request may be processed; `None` if it may be in any.
    pub zones: Option<&'a [Arc<str>]>,
    /// Time until the deadline of the request.
    pub time_left: Millis,
    /// Whether other nodes reach the replicas that this one can't connect to, as far as is known.
    pub has_detour: bool,
    /// How urgent it is; `None` if it takes any capacity there is.
    pub urgency: Option<Urgency>,
}

impl Demand<'_> {
    /// Returns whether the request may be processed in an availability zone.
    pub fn allows_zone(&self, zone: &Arc<str>) -> bool {
        self.zones.is_none_or(|zones| zones.contains(zone))
    }

    /// Returns the parts that other requests may share.
    pub fn shared(&self) -> &[Part] {
        match self.parts {
            [] => &[],
            [shared @ .., _own] => shared,
        }
    }

    /// Returns the number of tokens in the parts that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        self.shared().iter().map(|part| u64::from(part.tokens)).sum()
    }

    /// Returns the number of tokens of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Returns the number of tokens in the part that is specific to the request.
    pub fn own_tokens(&self) -> u32 {
        self.parts.last().map_or(0, |part| part.tokens)
    }
}
