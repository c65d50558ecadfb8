//! Compact keys of endpoints, replicas, workspaces and requests.

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

new_key_type! {
    /// Key of an endpoint in one router.
    pub struct EndpointKey;
    /// Key of one incarnation of a replica in one router. A restarted replica gets a new key.
    pub struct ReplicaKey;
    /// Key of a workspace in one router.
    pub struct WorkspaceKey;
}

/// Name of an availability zone, interned by one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneKey(pub(crate) u32);

/// Name of a version, interned by one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionKey(pub(crate) u32);

/// Key of a caller's request. The node assigns the numbers and never uses one twice in a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallKey(pub u64);

/// Id of one dispatch of a request to a replica, never used twice in a router.
///
/// It is unique within one process only; replicas also need the node's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DispatchId(pub u64);

/// Hash of the prompt prefix that a request shares with others; equal on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Prefix(pub u64);
