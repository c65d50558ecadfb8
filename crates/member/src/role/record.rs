//! The role's record in the key-value service.

use base::Incarnation;
use serde::{Deserialize, Serialize};

/// A fencing number: each new holder's is higher than all before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence(pub u64);

impl Fence {
    /// The number of the next holder.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A lease of the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease(pub u64);

/// The id of one write, by which a lost answer is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WriteId(pub u64);

/// The revision of a record, for compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// The role's record; it is never deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The holder; `None` after a release.
    pub holder: Option<Incarnation>,
    /// The fencing number of the last holder.
    pub fence: Fence,
    /// The holder's lease.
    pub lease: Lease,
    /// The write that put this record.
    #[serde(rename = "write")]
    pub write_id: WriteId,
}

/// A record as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observed {
    /// The record.
    pub record: Record,
    /// Its revision.
    pub revision: Revision,
    /// Whether its lease lived when the record was read.
    pub lease_alive: bool,
}

impl Observed {
    /// Whether the role may be taken up.
    pub const fn is_vacant(&self) -> bool {
        self.record.holder.is_none() || !self.lease_alive
    }
}
