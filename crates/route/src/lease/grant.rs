//! A lease of a share.

use base::Millis;
use serde::{Deserialize, Serialize};

/// What the ledger answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Term of the ledger's role; higher ones replace lower ones.
    pub term: u64,
    /// Number of the request that it answers.
    pub number: u64,
    /// Requests that the node may have in flight.
    pub amount: u32,
    /// How long, from the moment the node asked.
    pub span: Millis,
    /// Whether it only renews what the node says to hold; it counts only if the node still holds as much.
    pub renews: bool,
}
