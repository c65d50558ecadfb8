//! What a node still takes that is about to end.
//!
//! Load: callers that go on sending to a node that leaves, on open connections and new ones, until its process is gone.
//! What runs at that moment would lose its answer, and its caller could not know whether it ran.

use base::Millis;

/// Time for callers to learn that a node leaves. What is sent later is sent by callers that don't learn.
pub const DISCOVERY_TIME: Millis = Millis(2_500);
/// Time that a request needs at most, while callers learn, to be taken whatever its caller's patience: longer than the
/// aims of all routes of both sites.
const MAX_REQUIRED_TIME: Millis = Millis(2_000);

/// The end of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When it was told to end.
    pub started: Millis,
    /// When its last answers must be on their way.
    pub deadline: Millis,
}

/// When the answer to a request is due that arrives now; none if it must be refused, since the node is about to end.
///
/// A request is taken if it can use all of the time that its caller gives it. While callers learn that the node leaves,
/// it is enough that it can be answered as a rule.
pub fn answer_deadline(now: Millis, requested: Millis, shutdown: Option<Shutdown>) -> Option<Millis> {
    let Some(shutdown) = shutdown else {
        return Some(requested);
    };
    let mut needed = requested.since(now);
    if now.since(shutdown.started) < DISCOVERY_TIME {
        needed = needed.min(MAX_REQUIRED_TIME);
    }
    (shutdown.deadline.since(now) >= needed && now < shutdown.deadline)
        .then(|| requested.min(shutdown.deadline))
}
