//! LIMIT: requests to a replica that named a limit.

use std::collections::VecDeque;

use super::Context;
use crate::window::Window;
use crate::{Bounded, Event, Margin, Name, Place, Time};

/// Maximum number of replicas that named a limit.
const MAX_REPLICAS: usize = 1 << 16;

/// The margin of requests against limits.
#[derive(Debug)]
pub struct Limit {
    margin: Margin,
    replicas: Bounded<Name, Replica>,
}

/// A replica that named a limit, and the requests to it since then.
#[derive(Debug, Default)]
struct Replica {
    /// Its limits and since when each holds; empty if it names none any more.
    limits: VecDeque<(Time, f64)>,
    sent: Window,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            margin: Margin::new(
                "LIMIT",
                "requests to a replica with a limit in a window, all nodes",
            ),
            replicas: Bounded::new(MAX_REPLICAS),
        }
    }
}

impl Limit {
    /// Judges an event.
    pub fn apply(&mut self, at: Time, event: &Event, context: Context<'_>) {
        match event {
            Event::Limited { replica, per_s } => {
                if let Some(replica) = self.replicas.get_or_insert_with(*replica, Replica::default) {
                    replica.set_limit(at, *per_s);
                }
            }
            Event::Sent(dispatch) => {
                let replica = self.replicas.get_mut(&dispatch.replica);
                let Some(replica) = replica.filter(|it| !it.limits.is_empty()) else {
                    return;
                };
                let Some(window_ms) = context.bounds.limit_window_ms.map(|it| it as i64) else {
                    return self.margin.skip();
                };
                replica.sent.push(at, 1);
                let start = at - window_ms;
                replica.trim(start);
                let limit = replica.limits.iter().map(|(_, per_s)| *per_s).fold(0.0, f64::max);
                let bound = context.bounds.limit(limit);
                let place = Place::new(at)
                    .with_node(dispatch.node)
                    .with_subject(dispatch.replica)
                    .with_request(&dispatch.request);
                self.margin.see(replica.sent.sum(start, at) as f64, bound, place);
            }
            _ => {}
        }
    }

    /// The margin.
    pub const fn margin(&self) -> &Margin {
        &self.margin
    }

    /// Number of replicas and requests that there was no room for.
    pub fn overflow(&self) -> u64 {
        let windows = self.replicas.iter().map(|(_, replica)| replica.sent.overflow());
        self.replicas.overflow() + windows.sum::<u64>()
    }
}

impl Replica {
    fn set_limit(&mut self, at: Time, per_s: Option<f64>) {
        let Some(per_s) = per_s else {
            self.limits.clear();
            self.sent.clear();
            return;
        };
        let current = self.limits.back().map(|(_, own)| *own);
        if current.is_none_or(|own| own.total_cmp(&per_s).is_ne()) {
            self.limits.push_back((at, per_s));
        }
    }

    /// Drops the requests up to `start`, and the limits that were replaced by then.
    fn trim(&mut self, start: Time) {
        self.sent.trim(start);
        while self.limits.get(1).is_some_and(|(since, _)| *since <= start) {
            self.limits.pop_front();
        }
    }
}
