//! Headers that the node adds when it forwards a request to a replica.

use base::Millis;

/// Values set by the node, regardless of what the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// Id of the intended replica. Another replica at the same address refuses the request.
    pub replica: &'a str,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Time left until the deadline.
    pub time_left: Millis,
    /// Scheduling priority at the engine; 0 is the highest.
    pub priority: Option<u8>,
    /// Id of the last event that the caller has, if the replica is to resume the stream.
    pub resume_after: Option<u64>,
}
