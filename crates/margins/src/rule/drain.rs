//! DRAIN: requests to a replica that leaves.

mod replica;

use self::replica::Replica;
use super::Context;
use crate::event::Knowledge;
use crate::{Bounded, Event, Margin, Name, Place, Time};

/// Maximum number of replicas that left.
const MAX_REPLICAS: usize = 1 << 17;
/// Interval at which outdated knowledge of single nodes is dropped.
const CLEAR_INTERVAL_MS: i64 = 10_000;

/// The margins of replicas that leave.
#[derive(Debug)]
pub struct Drain {
    /// By the store: what the first node knew holds for all.
    store: Margin,
    replicas: Bounded<Name, Replica>,
    /// By an answer: what a node knows holds for that node.
    answer: Margin,
    told: Bounded<(Name, Name), Time>,
    /// When outdated knowledge of single nodes was dropped last.
    cleared: Time,
}

impl Default for Drain {
    fn default() -> Self {
        const LACKS: &str = "time of sending, when a body is slow to arrive";
        Self {
            store: Margin::new(
                "DRAIN",
                "ms from the first node that knew to the last request, all nodes",
            )
            .with_lacks(LACKS),
            replicas: Bounded::new(MAX_REPLICAS),
            answer: Margin::new(
                "DRAIN",
                "ms from the replica's own answer to the last request, that node",
            )
            .with_lacks(LACKS),
            told: Bounded::new(MAX_REPLICAS),
            cleared: Time::MIN,
        }
    }
}

impl Drain {
    /// Judges an event.
    pub fn apply(&mut self, at: Time, event: &Event, context: Context<'_>) {
        let bound = context.bounds.drain_ms;
        match event {
            Event::Leaving {
                node,
                replica,
                knowledge: Knowledge::Store,
            } => {
                self.clear(at);
                let Some(state) = self.replicas.get_or_insert_with(*replica, Replica::default) else {
                    return;
                };
                if state.leave(at, *node) {
                    self.store.open(bound);
                }
            }
            Event::Leaving {
                node,
                replica,
                knowledge: Knowledge::Answer,
            } => {
                self.tell(at, *node, *replica, bound);
            }
            Event::Ready { node, replica, .. } => {
                self.told.remove(&(*node, *replica));
                if let Some(state) = self.replicas.get_mut(replica) {
                    state.come_back(at, *node);
                }
            }
            Event::Started { node, .. } => self.told.retain(|(teller, _), _| teller != node),
            Event::Sent(dispatch) if !dispatch.is_misdirected => {
                let place = || {
                    Place::new(at)
                        .with_node(dispatch.node)
                        .with_subject(dispatch.replica)
                        .with_request(&dispatch.request)
                };
                let left = self.replicas.get(&dispatch.replica).and_then(Replica::left);
                if let Some(left) = left {
                    self.store.raise(at.since(left) as f64, bound, place());
                }
                if let Some(told) = self.told.get(&(dispatch.node, dispatch.replica)) {
                    self.answer.raise(at.since(*told) as f64, bound, place());
                }
            }
            _ => {}
        }
    }

    fn clear(&mut self, now: Time) {
        if now.since(self.cleared) < CLEAR_INTERVAL_MS {
            return;
        }
        self.cleared = now;
        for replica in self.replicas.values_mut() {
            replica.forget_nodes(now);
        }
    }

    /// Records that a replica said to a node that it leaves.
    fn tell(&mut self, at: Time, node: Name, replica: Name, bound: Option<f64>) {
        let is_known = self.told.get(&(node, replica)).is_some();
        if !is_known && self.told.get_or_insert_with((node, replica), || at).is_some() {
            self.answer.open(bound);
        }
    }

    /// The margins.
    pub const fn margins(&self) -> [&Margin; 2] {
        [&self.store, &self.answer]
    }

    /// Number of replicas that there was no room for.
    pub const fn overflow(&self) -> u64 {
        self.replicas.overflow() + self.told.overflow()
    }
}
