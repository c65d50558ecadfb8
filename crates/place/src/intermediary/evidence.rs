//! What requests through other nodes have shown of the replicas that these reach.

use std::sync::Arc;

use base::Millis;
use indexmap::IndexMap;

/// Time for which a node counts as one that reaches an endpoint, after a response came through it or another node named it.
const REACHED_TTL: Millis = Millis(2_000);
/// Time for which a node is left out for an endpoint after it declined because it is cut off. It doubles with each decline.
const MIN_DECLINED_PAUSE: Millis = Millis(1_000);
const MAX_DECLINED_PAUSE: Millis = Millis(4_000);
/// Weight of the latest request in the decline rate.
const RATE_WEIGHT: f64 = 0.2;
/// Maximum decline rate that is assumed of a node of which nothing is known.
const MAX_RATE: f64 = 0.875;

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Until when the node counts as one that reaches the endpoint.
    reached_until: Millis,
    /// Until when it is left out.
    declined_until: Millis,
    /// Declines in a row.
    declines: u32,
}

/// What is known of nodes by requests through them.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    known: IndexMap<(u64, Arc<str>), Known>,
    /// Fraction of the latest requests through nodes of which nothing was known that were declined.
    decline_rate: f64,
}

impl Evidence {
    /// Whether a node has shown lately that it reaches an endpoint, or another node has named it.
    pub fn is_reached(&self, now: Millis, node: u64, endpoint: &Arc<str>) -> bool {
        self.of(node, endpoint).is_some_and(|it| now < it.reached_until)
    }

    /// Whether a node is left out for an endpoint.
    pub fn is_declined(&self, now: Millis, node: u64, endpoint: &Arc<str>) -> bool {
        self.of(node, endpoint).is_some_and(|it| now < it.declined_until)
    }

    /// Expected number of nodes to ask, of those of which nothing is known, until one takes a request.
    pub fn expected_asks(&self) -> f64 {
        1.0 / (1.0 - self.decline_rate.min(MAX_RATE))
    }

    /// Records that a response came through a node.
    pub fn record_response(&mut self, now: Millis, node: u64, endpoint: &Arc<str>) {
        self.record_ask(now, node, endpoint, false);
        self.record_reached(now, node, endpoint);
    }

    /// Records that a node reaches an endpoint.
    pub fn record_reached(&mut self, now: Millis, node: u64, endpoint: &Arc<str>) {
        let reached = Known {
            reached_until: now + REACHED_TTL,
            ..Known::default()
        };
        self.known.insert((node, Arc::clone(endpoint)), reached);
    }

    /// Records that a node declined because it is cut off from an endpoint.
    pub fn record_decline(&mut self, now: Millis, node: u64, endpoint: &Arc<str>) {
        self.record_ask(now, node, endpoint, true);
        self.known
            .retain(|_, it| now.since(it.declined_until) < MAX_DECLINED_PAUSE || now < it.reached_until);
        let known = self.known.entry((node, Arc::clone(endpoint))).or_default();
        let pause = MIN_DECLINED_PAUSE.0 << known.declines.min(8);
        known.declines += 1;
        known.reached_until = Millis::ZERO;
        known.declined_until = now + Millis(pause).min(MAX_DECLINED_PAUSE);
    }

    fn record_ask(&mut self, now: Millis, node: u64, endpoint: &Arc<str>, is_declined: bool) {
        if !self.is_reached(now, node, endpoint) {
            let latest = f64::from(u8::from(is_declined));
            self.decline_rate += RATE_WEIGHT * (latest - self.decline_rate);
        }
    }

    fn of(&self, node: u64, endpoint: &Arc<str>) -> Option<&Known> {
        self.known.get(&(node, Arc::clone(endpoint)))
    }
}
