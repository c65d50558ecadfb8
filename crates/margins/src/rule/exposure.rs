//! EXPOSURE: requests to a version that turned out to be bad.

use super::Context;
use crate::{Bounded, Event, Margin, Name, Place, Time};

/// Maximum number of replicas, and of endpoints.
const MAX_REPLICAS: usize = 1 << 18;
const MAX_ENDPOINTS: usize = 1 << 14;

/// The margins of bad versions.
#[derive(Debug)]
pub struct Exposure {
    share: Margin,
    after: Margin,
    /// Version of each replica.
    replicas: Bounded<Name, Name>,
    orders: Bounded<Name, Order>,
}

/// A rollout of an endpoint.
#[derive(Debug)]
struct Order {
    target: Name,
    end: Time,
    requests: u64,
    to_target: u64,
    is_undone: bool,
    /// The last request to the new version.
    last: Option<Place>,
}

impl Default for Exposure {
    fn default() -> Self {
        Self {
            share: Margin::new("EXPOSURE", "requests to a version that was undone, all nodes"),
            after: Margin::new("EXPOSURE", "ms from the 50th bad answer to the last request")
                .with_lacks("which answers of the new version were bad")
                .blind(),
            replicas: Bounded::new(MAX_REPLICAS),
            orders: Bounded::new(MAX_ENDPOINTS),
        }
    }
}

impl Exposure {
    /// Judges an event.
    pub fn apply(&mut self, at: Time, event: &Event, context: Context<'_>) {
        match event {
            Event::Ready {
                replica,
                version: Some(version),
                ..
            } => {
                if let Some(own) = self.replicas.get_or_insert_with(*replica, || *version) {
                    *own = *version;
                }
            }
            Event::Ordered {
                endpoint,
                target,
                within_ms,
            } => self.order(at, *endpoint, *target, *within_ms, context),
            Event::Undone { endpoint } => {
                if let Some(order) = self.orders.get_mut(endpoint) {
                    order.is_undone = true;
                }
            }
            Event::Sent(dispatch) => {
                let Some(order) = self.orders.get_mut(&dispatch.endpoint) else {
                    return;
                };
                if at > order.end {
                    return;
                }
                order.requests += 1;
                if self.replicas.get(&dispatch.replica) == Some(&order.target) {
                    order.to_target += 1;
                    let place = Place::new(at)
                        .with_node(dispatch.node)
                        .with_subject(dispatch.endpoint)
                        .with_request(&dispatch.request);
                    order.last = Some(place);
                }
            }
            _ => {}
        }
    }

    /// Judges the rollouts that were not followed by another.
    pub fn finish(&mut self, context: Context<'_>) {
        for (_, order) in self.orders.iter() {
            order.judge(&mut self.share, context);
        }
    }

    /// The margins.
    pub const fn margins(&self) -> [&Margin; 2] {
        [&self.share, &self.after]
    }

    /// Number of replicas and endpoints that there was no room for.
    pub const fn overflow(&self) -> u64 {
        self.replicas.overflow() + self.orders.overflow()
    }

    /// Begins a rollout when the first node knows of it.
    fn order(&mut self, at: Time, endpoint: Name, target: Name, within_ms: i64, context: Context<'_>) {
        let create = || Order {
            target,
            end: at + within_ms,
            requests: 0,
            to_target: 0,
            is_undone: false,
            last: None,
        };
        let Some(order) = self.orders.get_or_insert_with(endpoint, create) else {
            return;
        };
        // The other nodes know of the same rollout a little later.
        if order.target != target || at > order.end {
            order.judge(&mut self.share, context);
            *order = create();
        }
    }
}

impl Order {
    fn judge(&self, margin: &mut Margin, context: Context<'_>) {
        if !self.is_undone {
            return;
        }
        let bounds = context.bounds;
        let bound = bounds
            .canary_share
            .zip(bounds.canary_slack)
            .map(|(share, slack)| share.mul_add(self.requests as f64, slack));
        margin.open(bound);
        if let Some(place) = &self.last {
            margin.raise(self.to_target as f64, bound, place.clone());
        }
    }
}
