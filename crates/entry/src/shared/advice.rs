//! What replicas say of themselves in their responses.

use std::sync::Arc;

use place::Destination;

use super::Shared;
use crate::edge::Advice;

impl Shared {
    /// Records what a replica said of itself in a response that this node received.
    pub fn record_advice(&self, endpoint: &Arc<str>, replica: &Destination, advice: Advice) {
        let now = self.now();
        let (key, id) = (replica.replica, &replica.id);
        let before = self.with_pool(endpoint, |pool| {
            pool.record_rate_limit(now, key, advice.rate_limit)
        });
        if let Some(before) = before {
            log::info!(replica:% = id, endpoint:%, per_s = advice.rate_limit.unwrap_or(-1.0),
                before_per_s = before.unwrap_or(-1.0); "rate limit of a replica changed");
        }
        if let Some(pause) = advice.pause {
            let left_out = self.with_pool(endpoint, |pool| pool.record_pause(now, key, pause));
            metrics::counter!("bilberrylatch_replica_pauses_total").increment(1);
            log::info!(replica:% = id, endpoint:%, asked_ms = pause.0, left_out_ms = left_out.0;
                "replica wants no requests");
        }
        if advice.leaves && self.with_pool(endpoint, |pool| pool.record_leaving(key)) {
            log::info!(replica:% = id, endpoint:%; "replica says that it is leaving");
        }
    }
}
