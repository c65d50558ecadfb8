//! What a node still takes that is about to end.
//!
//! Load: callers that go on sending to a node that leaves, on open connections and new ones, until its process is gone.
//! What runs at that moment would lose its answer, and its caller could not know whether it ran.

use base::Millis;

/// Time that a request needs at most if it is to be taken whatever its caller's patience: longer than the aims of all
/// routes of both sites.
const WORK: Millis = Millis(2_000);

/// When the answer to a request is due that arrives now at a node that ends at `end`; none if it must be refused.
///
/// A request is taken if it can use all of the time that its caller gives it, or enough to be answered as a rule.
pub fn due(now: Millis, due: Millis, end: Option<Millis>) -> Option<Millis> {
    let Some(end) = end else { return Some(due) };
    let needed = due.since(now).min(WORK);
    (end.since(now) >= needed && now < end).then(|| due.min(end))
}
