//! BUDGET: requests that a node sends to a replica which wants none.

use super::Context;
use crate::{Bounded, Event, Margin, Name, Place, Time};

/// Maximum number of pauses that have not ended.
const MAX_PAUSES: usize = 1 << 17;

/// The margin of requests inside such a time.
#[derive(Debug)]
pub struct Pause {
    margin: Margin,
    pauses: Bounded<(Name, Name), Span>,
    /// When pauses that have ended were dropped last.
    cleared: Time,
}

/// Time in which a replica wants no requests of a node.
#[derive(Clone, Copy, Debug)]
struct Span {
    start: Time,
    end: Time,
    requests: u64,
}

/// Interval at which pauses that have ended are dropped.
const CLEAR_INTERVAL_MS: i64 = 10_000;

impl Default for Pause {
    fn default() -> Self {
        Self {
            margin: Margin::new("BUDGET", "requests of a node to a replica that wanted none"),
            pauses: Bounded::new(MAX_PAUSES),
            cleared: Time::MIN,
        }
    }
}

impl Pause {
    /// Judges an event.
    pub fn apply(&mut self, at: Time, event: &Event, context: Context<'_>) {
        let bound = context.bounds.pause_requests;
        match event {
            Event::Paused {
                node,
                replica,
                asked_ms,
            } => {
                self.clear(at);
                let Some(grace_ms) = context.bounds.pause_grace_ms.map(|it| it as i64) else {
                    return self.margin.skip();
                };
                let span = Span {
                    start: at + grace_ms,
                    end: at + *asked_ms,
                    requests: 0,
                };
                let key = (*node, *replica);
                let is_inside = self.pauses.get(&key).is_some_and(|own| at < own.end);
                let Some(own) = self.pauses.get_or_insert_with(key, || span) else {
                    return;
                };
                if is_inside {
                    own.end = own.end.max(span.end);
                    return;
                }
                *own = span;
                self.margin.open(bound);
            }
            Event::Ready { node, replica, .. } => {
                self.pauses.remove(&(*node, *replica));
            }
            Event::Started { node, .. } => self.pauses.retain(|(owner, _), _| owner != node),
            Event::Sent(dispatch) => {
                let Some(span) = self.pauses.get_mut(&(dispatch.node, dispatch.replica)) else {
                    return;
                };
                if at < span.start || at >= span.end {
                    return;
                }
                span.requests += 1;
                let place = Place::new(at)
                    .with_node(dispatch.node)
                    .with_subject(dispatch.replica)
                    .with_request(&dispatch.request);
                self.margin.raise(span.requests as f64, bound, place);
            }
            _ => {}
        }
    }

    /// The margin.
    pub const fn margin(&self) -> &Margin {
        &self.margin
    }

    /// Number of pauses that there was no room for.
    pub const fn overflow(&self) -> u64 {
        self.pauses.overflow()
    }

    fn clear(&mut self, now: Time) {
        if now.since(self.cleared) < CLEAR_INTERVAL_MS {
            return;
        }
        self.cleared = now;
        self.pauses.retain(|_, span| span.end > now);
    }
}
