//! Cold replicas, and the nodes that send to them.

use std::sync::Arc;

use base::Millis;
use place::{ColdRate, Pool, Times};
use table::Endpoint;

use super::{Shared, lock};
use crate::register::MIN_EXPIRY_OUTAGE;

impl Shared {
    /// What cold replicas of an endpoint take.
    pub(super) fn cold_rate(&self, endpoint: &Endpoint) -> Option<ColdRate> {
        let settings = self.settings();
        endpoint.cold.map(|cold| ColdRate {
            start: cold.start,
            per_s: cold.rate,
            max_in_second: cold.rate.mul_add(settings.cold_overshoot, settings.cold_slack),
        })
    }

    /// Tells the replica pools which nodes send to cold replicas. Does nothing if no endpoint has cold replicas.
    pub(super) fn update_senders(&self) {
        let now = self.now();
        let senders = {
            let view = self.view();
            let Some(table) = &view.table else { return };
            if table.endpoints().all(|it| it.cold.is_none()) {
                return;
            }
            let registered = view.peers.keys().map(|node| node.0);
            let times = Times {
                settle: self.settings().apply_time,
                min_outage: MIN_EXPIRY_OUTAGE,
            };
            let confirmed_at = view.freshness.age(now).map(|age| now - age);
            let mut roster = lock(&self.roster);
            Arc::new(roster.observe(now, self.incarnation.0, times, confirmed_at, registered))
        };
        self.with_pools(|pools| {
            for (endpoint, pool) in pools {
                pool.set_senders(&senders);
                report_cold(now, endpoint, pool);
            }
        });
    }
}

fn report_cold(now: Millis, endpoint: &Arc<str>, pool: &Pool) {
    for (zone, count) in pool.cold_replicas(now) {
        metrics::gauge!("bilberrylatch_cold_replicas", "endpoint" => endpoint.to_string(), "zone" => zone.to_string())
            .set(count as f64);
    }
}
