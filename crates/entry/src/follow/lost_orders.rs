//! Rollout orders from before the store was restored, which operators write again.

use base::Millis;

use crate::edge::RolloutOrder;
use crate::view::{Rollout, Rollouts};

/// Time after a restore in which an order with the same content is the same order.
const REWRITE_TIME: Millis = Millis(10_000);

/// What was known of an order when the store was restored.
#[derive(Clone, Debug)]
pub(super) struct LostOrder {
    order: RolloutOrder,
    /// Its revision.
    pub revision: u64,
    /// The record of its rollout.
    pub record: Option<Rollout>,
    /// Whether this node found its version to be bad.
    pub is_vetoed: bool,
    until: Millis,
}

/// The orders of the time before a restore.
#[derive(Debug, Default)]
pub(super) struct LostOrders {
    list: Vec<LostOrder>,
}

impl LostOrders {
    /// Remembers the orders that are known, as the store may have lost them.
    pub fn remember(&mut self, now: Millis, rollouts: &Rollouts) {
        self.list.retain(|lost| now < lost.until);
        for (endpoint, (order, revision)) in &rollouts.orders {
            let record = rollouts.records.get(endpoint);
            let lost = LostOrder {
                order: order.clone(),
                revision: *revision,
                record: record.filter(|record| record.order == *revision).cloned(),
                is_vetoed: rollouts.vetoed.get(endpoint) == Some(revision),
                until: now + REWRITE_TIME,
            };
            self.list.retain(|it| it.order != *order);
            self.list.push(lost);
        }
    }

    /// What was known of an order that has been written again.
    pub fn find(&self, now: Millis, order: &RolloutOrder) -> Option<&LostOrder> {
        let mut known = self.list.iter().filter(|lost| now < lost.until);
        known.find(|lost| lost.order == *order)
    }
}
