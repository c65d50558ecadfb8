//! Parts of a role's state.

use base::Millis;

use super::record::{Fence, Lease, Observed, Record};

/// A role that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Holding {
    pub(super) fence: Fence,
    pub(super) lease: Lease,
    pub(super) from: Millis,
}

/// A swap that is not settled yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pending {
    pub(super) record: Record,
    /// Whether the wait of a new holder is due if it took effect.
    pub(super) wait: Millis,
    pub(super) sent: Millis,
    pub(super) unanswered: bool,
}

/// The own lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OwnLease {
    pub(super) lease: Lease,
    pub(super) until: Millis,
}

/// A vacancy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Vacancy {
    pub(super) observed: Option<Observed>,
    pub(super) since: Millis,
}
