//! Small keys that stand for endpoints, replicas, workspaces and requests.

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

new_key_type! {
    /// An endpoint of the catalogue, in one router.
    pub struct EndpointKey;
    /// One incarnation of a replica, in one router; a restarted replica gets a new key.
    pub struct ReplicaKey;
    /// A workspace, in one router.
    pub struct WorkspaceKey;
}

/// An availability zone's name as interned by one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneKey(pub(crate) u32);

/// A version's name as interned by one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionKey(pub(crate) u32);

/// A caller's request. The node numbers them; a number is never used twice in one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallKey(pub u64);

/// One sending of a request to a replica; never used twice in one router.
///
/// NB: it is unique in one process only. Towards replicas, send it with the node's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DispatchId(pub u64);

/// Hash of the part of a prompt that other requests share; equal on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Prefix(pub u64);
