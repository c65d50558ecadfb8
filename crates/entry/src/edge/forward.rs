//! What the node adds to a request for a replica.

use base::Millis;

/// Values that the node sets, whatever the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// Id of the replica that is meant; another one at the same address refuses.
    pub replica: &'a str,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Time that is left.
    pub time_left: Millis,
    /// Priority at the engine, 0 first.
    pub priority: Option<u8>,
    /// Last event that the caller has, if the stream goes on here.
    pub resume_after: Option<u64>,
}
