//! Whether the store had an outage, or only some nodes were cut off from it.

use base::Millis;

use crate::Uptime;

/// A span without an outage, on the node's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Span {
    first: Millis,
    last: Millis,
}

impl Span {
    fn of(now: Millis, uptime: Uptime) -> Self {
        Self {
            first: now - uptime.first,
            last: now - uptime.last,
        }
    }

    fn uptime(self, now: Millis) -> Uptime {
        Uptime {
            first: now.since(self.first),
            last: now.since(self.last),
        }
    }

    /// Returns the latest span without an outage, of which an outage of at least `min_outage` is noticed.
    fn join(self, other: Self, min_outage: Millis) -> Self {
        let (earlier, later) = if self.first <= other.first {
            (self, other)
        } else {
            (other, self)
        };
        if later.first.since(earlier.last) >= min_outage {
            return later;
        }
        Self {
            first: earlier.first,
            last: earlier.last.max(later.last),
        }
    }
}

/// When the store has been up, by the answers to this node and to others.
///
/// Load pattern: single nodes are cut off from the store while replicas come and go. A node that only knows of its own
/// calls can't tell this from an outage of the store, in which leases of live replicas expire. The other nodes can.
#[derive(Clone, Copy, Debug)]
pub struct Availability {
    /// Shortest outage in which a lease may expire.
    min_outage: Millis,
    /// By answers to this node.
    own: Option<Span>,
    /// By answers to any node.
    known: Span,
    /// When this node noticed the last restore of the store, which loses registrations like an outage.
    restored_at: Option<Millis>,
    /// When another node last reported its uptime.
    reported_at: Option<Millis>,
}

impl Availability {
    /// Creates the state of a node that knows of no outage. Leases do not expire in outages shorter than `min_outage`.
    pub const fn new(now: Millis, min_outage: Millis) -> Self {
        Self {
            min_outage,
            own: None,
            known: Span {
                first: Millis::ZERO,
                last: now,
            },
            restored_at: None,
            reported_at: None,
        }
    }

    /// Records that the store was restored from a copy. Unlike an outage, other nodes can't take that back.
    pub const fn record_restore(&mut self, now: Millis) {
        self.restored_at = Some(now);
    }

    /// Records that the store answered this node.
    pub fn record_answer(&mut self, now: Millis) {
        let answer = Span {
            first: now,
            last: now,
        };
        self.own = Some(self.own.map_or(answer, |own| own.join(answer, self.min_outage)));
        self.known = self.known.join(answer, self.min_outage);
    }

    /// Records the uptime that another node reports from its own calls, or that a hub reports of other nodes.
    pub fn record_report(&mut self, now: Millis, report: Uptime) {
        let span = Span::of(now, report);
        self.known = self.known.join(span, self.min_outage);
        self.reported_at = Some(now);
    }

    /// Age of the last report of another node; `None` if there was none.
    pub fn report_age(&self, now: Millis) -> Option<Millis> {
        self.reported_at.map(|at| now.since(at))
    }

    /// The uptime by this node's own calls. What others report is left out, so that no report is passed on in circles.
    pub fn report(&self, now: Millis) -> Option<Uptime> {
        self.own.map(|own| own.uptime(now))
    }

    /// The latest uptime of a group of nodes; `None` if there are no reports.
    ///
    /// Load pattern: an availability zone is cut off from the store as a whole. Its nodes hear of other zones by sums only.
    pub fn join_reports<R>(&self, now: Millis, reports: R) -> Option<Uptime>
    where
        R: IntoIterator<Item = Uptime>,
    {
        let mut spans: Vec<Span> = reports.into_iter().map(|report| Span::of(now, report)).collect();
        spans.sort_by_key(|span| span.first);
        let joined = spans
            .into_iter()
            .reduce(|joined, span| joined.join(span, self.min_outage));
        joined.map(|span| span.uptime(now))
    }

    /// When the last outage of the store ended, or it was restored, if either is known.
    pub fn up_since(&self) -> Option<Millis> {
        let outage_ended = Some(self.known.first).filter(|first| *first > Millis::ZERO);
        outage_ended.max(self.restored_at)
    }
}
