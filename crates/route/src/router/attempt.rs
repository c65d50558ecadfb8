//! A dispatch that has not ended.

use base::Millis;

use crate::key::{CallKey, EndpointKey, Prefix, ReplicaKey, WorkspaceKey};

/// A dispatch that has not ended; it holds a slot of its replica and of its workspace's share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The request, unless its caller is gone.
    pub call: Option<CallKey>,
    pub endpoint: EndpointKey,
    pub workspace: WorkspaceKey,
    pub replica: ReplicaKey,
    pub prefix: Option<Prefix>,
    pub started_at: Millis,
    /// When the answer began.
    pub first_token_at: Option<Millis>,
    /// Whether a byte may have left.
    pub sent: bool,
    /// Whether the node was told to give it up.
    pub cancelled: bool,
}
