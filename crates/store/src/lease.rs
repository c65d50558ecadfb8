//! Leases: records bound to one vanish when it lapses.

/// Id of a lease at the service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease(pub String);
