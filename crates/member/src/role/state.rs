//! Parts of the state of a role.

use base::Millis;

use super::record::{Fence, Lease, Observed, Record};

/// The role while this node holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Holding {
    pub(super) fence: Fence,
    pub(super) lease: Lease,
    pub(super) from: Millis,
}

/// A swap whose outcome is not known yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pending {
    pub(super) record: Record,
    /// Wait before the first order if the swap takes effect.
    pub(super) wait: Millis,
    pub(super) sent: Millis,
    pub(super) unanswered: bool,
}

/// This node's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OwnLease {
    pub(super) lease: Lease,
    pub(super) until: Millis,
}

/// A vacant role: the record last read, and since when it has been seen vacant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Vacancy {
    pub(super) observed: Option<Observed>,
    pub(super) since: Millis,
}
