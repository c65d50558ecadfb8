//! What a node still takes that is about to end.
//!
//! Load: callers that go on sending to a node that leaves, on open connections and new ones, until its process is gone.
//! What runs at that moment would lose its answer, and its caller could not know whether it ran.

use base::Millis;

/// Time for callers to learn that a node leaves. What is sent later is sent by callers that don't learn.
pub const LEARN: Millis = Millis(2_500);
/// Time that a request needs at most, while callers learn, to be taken whatever its caller's patience: longer than the
/// aims of all routes of both sites.
const WORK: Millis = Millis(2_000);

/// The end of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leave {
    /// When it was told to end.
    pub since: Millis,
    /// When its last answers must be on their way.
    pub end: Millis,
}

/// When the answer to a request is due that arrives now; none if it must be refused, since the node is about to end.
///
/// A request is taken if it can use all of the time that its caller gives it. While callers learn that the node leaves,
/// it is enough that it can be answered as a rule.
pub fn due(now: Millis, due: Millis, leave: Option<Leave>) -> Option<Millis> {
    let Some(leave) = leave else { return Some(due) };
    let mut needed = due.since(now);
    if now.since(leave.since) < LEARN {
        needed = needed.min(WORK);
    }
    (leave.end.since(now) >= needed && now < leave.end).then(|| due.min(leave.end))
}
