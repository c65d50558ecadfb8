//! Calls to the cloud's API, which one node at a time makes.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;
use indexmap::IndexMap;

/// Requests that began to run in one window, by workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of the window.
    pub window: u64,
    /// Requests by name of the workspace.
    pub counts: IndexMap<Arc<str>, u64>,
}

/// An order for a number of replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replicas {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Availability zone of the replicas.
    pub zone: Arc<str>,
    /// Whether they may be reclaimed.
    pub reclaimable: bool,
    /// How many there should be.
    pub count: u32,
}

/// Why a call to the cloud failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudError {
    /// None are to be had at the moment.
    SoldOut,
    /// Nothing was done; the call may be made again.
    Unavailable(String),
    /// There is no answer; the call may have taken effect.
    Unsettled(String),
    /// The call was refused for good.
    Refused(String),
}

impl fmt::Display for CloudError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SoldOut => f.write_str("none available in this zone at the moment"),
            Self::Unavailable(cause) => write!(f, "cloud API unavailable: {cause}"),
            Self::Unsettled(cause) => write!(f, "no answer of the cloud API: {cause}"),
            Self::Refused(cause) => write!(f, "refused by the cloud API: {cause}"),
        }
    }
}

/// The cloud's API. Every call carries the node's name and the fencing number of its role.
pub trait Cloud: std::fmt::Debug + Send + Sync {
    /// Reports the usage of one window.
    fn report<'a>(&'a self, fence: u64, usage: &'a Usage) -> BoxFuture<'a, Result<(), CloudError>>;

    /// Orders a number of replicas.
    fn order<'a>(&'a self, fence: u64, replicas: &'a Replicas) -> BoxFuture<'a, Result<(), CloudError>>;
}
