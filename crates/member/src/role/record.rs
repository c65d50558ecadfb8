//! The record of a role in the key-value service.

use base::Incarnation;
use serde::{Deserialize, Serialize};

/// A fencing token, higher for each new holder than for all earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence(pub u64);

impl Fence {
    /// Returns the token of the next holder.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A lease in the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease(pub u64);

/// Identifies a write, so that a later read shows whether an unanswered write took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WriteId(pub u64);

/// The revision of a record, used for compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// The record of a role. It is never deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The holder; `None` after a release.
    pub holder: Option<Incarnation>,
    /// The fencing token of the last holder.
    pub fence: Fence,
    /// The holder's lease.
    pub lease: Lease,
    /// The write that stored this record.
    #[serde(rename = "write")]
    pub write_id: WriteId,
}

/// A record as read from the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observed {
    /// The record.
    pub record: Record,
    /// Its revision.
    pub revision: Revision,
    /// Whether its lease was alive when the record was read.
    pub lease_alive: bool,
}

impl Observed {
    /// Whether the role may be acquired.
    pub const fn is_vacant(&self) -> bool {
        self.record.holder.is_none() || !self.lease_alive
    }
}
