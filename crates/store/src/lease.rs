//! Leases. The service deletes the records bound to a lease when it expires.

/// Id of a lease, assigned by the service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease(pub String);
