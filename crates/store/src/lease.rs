//! Leases. The service deletes the records bound to a lease when it expires.

/// A lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// Id of the lease, assigned by the service. It may be assigned again in another era.
    pub id: String,
    /// Era of the service in which the lease was granted. The lease does not outlast it.
    pub era: u64,
}
