//! What replicas say of themselves in their responses.

use std::sync::Arc;

use base::Millis;
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
        let before = self.with_pool(endpoint, |pool| pool.record_brittleness(key, advice.brittleness));
        if let Some(before) = before {
            let label = |it: Option<u32>| it.map_or(-1, i64::from);
            log::info!(replica:% = id, endpoint:%, per_s = label(advice.brittleness), before_per_s = label(before);
                "brittleness of a replica changed");
        }
        if advice.had_no_room
            && let Some(left_out) = self.with_pool(endpoint, |pool| pool.record_no_room(now, key))
        {
            metrics::counter!("bilberrylatch_brittle_refusals_total").increment(1);
            log::info!(replica:% = id, endpoint:%, per_s = advice.brittleness.map_or(-1, i64::from),
                left_out_ms = left_out.0; "brittle replica turned a request away");
        }
        if let Some(pause) = advice.pause {
            let left_out = self.with_pool(endpoint, |pool| pool.record_pause(now, key, pause));
            metrics::counter!("bilberrylatch_replica_pauses_total").increment(1);
            log::info!(replica:% = id, endpoint:%, asked_ms = pause.0, left_out_ms = left_out.0;
                "replica wants no requests");
        }
        if let Some(left) = advice.cold
            // A response that was sent before the replica became cold may arrive afterwards.
            && self.with_pool(endpoint, |pool| pool.record_cold(now, id, left, left > Millis::ZERO))
        {
            log::info!(replica:% = id, endpoint:%, said_ms = left.0; "replica is cold");
        }
        if advice.leaves && self.with_pool(endpoint, |pool| pool.record_leaving(key)) {
            log::info!(replica:% = id, endpoint:%; "replica says that it is leaving");
        }
    }
}
