//! Admission of requests by a node that is shutting down.
//!
//! Load pattern: callers keep sending requests to the node, on open and on new connections, until its process ends. A
//! request that is running at that moment would lose its answer, and its caller could not know whether it ran.

use base::Millis;

pub use crate::durations::Durations;

/// Time for callers to discover the shutdown. Later requests come from callers that do not react to it.
pub const DISCOVERY_TIME: Millis = Millis(2_500);
/// Time until the shutdown deadline that is sufficient to accept a request during the discovery time, even if the
/// request has a later deadline. It is longer than the target latencies of all routes at both sites.
const MAX_REQUIRED_TIME: Millis = Millis(2_000);

/// A request may take longer than the longest recent one by this part of its time.
const MARGIN_DIVISOR: u64 = 4;

/// Time between two looks at the clock, which are much closer, from which the process was suspended.
const MIN_SUSPENSION: Millis = Millis(200);
/// Time in which a node that was suspended writes the responses that arrived meanwhile.
const WAKE_TIME: Millis = Millis(200);

/// Until when a node that shuts down waits for its requests.
///
/// Load pattern: the node is suspended while it shuts down, until its time is over. Responses of replicas have arrived in its
/// sockets, and none has been read.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    deadline: Millis,
    seen_at: Millis,
    is_extended: bool,
}

impl Limit {
    /// A limit that ends at `deadline`. The process runs now.
    pub const fn new(now: Millis, deadline: Millis) -> Self {
        Self {
            deadline,
            seen_at: now,
            is_extended: false,
        }
    }

    /// Records that the process runs. Returns how long it was suspended before, if it was.
    pub fn observe(&mut self, now: Millis) -> Option<Millis> {
        let gap = now.since(self.seen_at);
        self.seen_at = now;
        if gap < MIN_SUSPENSION {
            return None;
        }
        // Once only, as a process that is short of processor time must end, too.
        if now + WAKE_TIME > self.deadline && !self.is_extended {
            self.deadline = now + WAKE_TIME;
            self.is_extended = true;
        }
        Some(gap)
    }

    /// Time that is left.
    pub fn left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }
}

/// Shutdown of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When the shutdown started.
    pub started: Millis,
    /// When the last answers must be sent.
    pub deadline: Millis,
}

/// Returns the deadline for the answer to a request that arrives now, or `None` if the request must be refused because
/// of the shutdown. `longest` is the longest time that recent answers of its kind took, if any is known.
///
/// A request is accepted if the time until its requested deadline is available. During the discovery time,
/// `MAX_REQUIRED_TIME` is sufficient, which is enough for most requests, or somewhat more than the longest time if that is
/// longer.
pub fn answer_deadline(
    now: Millis,
    requested: Millis,
    longest: Option<Millis>,
    shutdown: Option<Shutdown>,
) -> Option<Millis> {
    let Some(shutdown) = shutdown else {
        return Some(requested);
    };
    let mut needed = requested.since(now);
    if now.since(shutdown.started) < DISCOVERY_TIME {
        let longest = longest.map_or(Millis::ZERO, |it| it + Millis(it.0 / MARGIN_DIVISOR));
        needed = needed.min(MAX_REQUIRED_TIME.max(longest));
    }
    (shutdown.deadline.since(now) >= needed && now < shutdown.deadline)
        .then(|| requested.min(shutdown.deadline))
}
