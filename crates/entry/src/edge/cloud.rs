//! Calls to the cloud's API, made by the leader.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;
use indexmap::IndexMap;

/// Requests that began to run in a usage window, by workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of the usage window.
    pub window: u64,
    /// Request counts by workspace name.
    pub counts: IndexMap<Arc<str>, u64>,
}

/// An order for a number of replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replicas {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Availability zone of the replicas.
    pub zone: Arc<str>,
    /// Whether the cloud may reclaim the replicas.
    pub reclaimable: bool,
    /// Desired number of replicas.
    pub count: u32,
}

/// Error of a call to the cloud's API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudError {
    /// No replicas are available at the moment.
    SoldOut,
    /// The call had no effect and may be retried.
    Unavailable(String),
    /// No response was received; the call may have taken effect.
    Indeterminate(String),
    /// The call was rejected and must not be retried.
    Refused(String),
    /// This node lost the leader role before the call was sent.
    NotPermitted,
}

impl fmt::Display for CloudError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SoldOut => f.write_str("no replicas available in this zone at the moment"),
            Self::Unavailable(cause) => write!(f, "cloud API unavailable: {cause}"),
            Self::Indeterminate(cause) => write!(f, "no response from the cloud API: {cause}"),
            Self::Refused(cause) => write!(f, "rejected by the cloud API: {cause}"),
            Self::NotPermitted => f.write_str("leader role lost before the call was sent"),
        }
    }
}

/// Returns the role's fencing token for a call that is sent now; `None` if no call may be sent.
pub type Permit<'a> = &'a (dyn Fn() -> Option<u64> + Send + Sync);

/// The cloud's API. Every call carries the node's name and the role's fencing token.
///
/// The permit is asked once the connection is established, immediately before the call is written. A node can be suspended
/// while it connects, and another one may hold the role when it goes on.
pub trait Cloud: std::fmt::Debug + Send + Sync {
    /// Reports the usage of a window.
    fn report<'a>(&'a self, permit: Permit<'a>, usage: &'a Usage) -> BoxFuture<'a, Result<(), CloudError>>;

    /// Orders a number of replicas.
    fn order<'a>(
        &'a self,
        permit: Permit<'a>,
        replicas: &'a Replicas,
    ) -> BoxFuture<'a, Result<(), CloudError>>;
}
