//! Blocked combinations of requests and prompt parts.

use base::Millis;
use serde::{Deserialize, Serialize};

/// A combination of ids, of a request and of parts, whose requests are refused, or were until a request that has all of them was processed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// The ids, in ascending order. Requests that have all of them are refused.
    pub parts: Vec<u64>,
    /// Time since it was blocked, or since the block was lifted.
    pub age: Millis,
    /// Whether the block was lifted.
    pub is_lifted: bool,
}
