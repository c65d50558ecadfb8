//! Cost of sending a request to a replica: its own wait and its effect on other requests.

use base::Millis;

use super::Pool;
use super::home::Home;
use crate::{CacheBasis, Demand, ReplicaKey};

/// Assumed latency before the first measurement.
const INITIAL_LATENCY_MS: f64 = 20.0;
/// Cost per request at a replica with a prompt cache: generating tokens for it slows the others down.
const RUNNING_REQUEST_COST_MS: f64 = 1.0;
/// Minimum retry delay given to a refused caller.
const MIN_RETRY_WAIT: Millis = Millis(100);

/// Cost of sending a request to a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    /// Expected time to the answer or its first event, in milliseconds.
    pub wait_ms: f64,
    /// Wait plus the costs for other requests, in milliseconds.
    pub total_ms: f64,
    /// Prompt tokens that the replica has to process.
    pub prefill_tokens: u32,
    /// Why shared parts are taken for cached, and their tokens.
    pub cached: Option<(CacheBasis, u32)>,
}

impl Pool {
    pub(super) fn cost(&self, now: Millis, key: ReplicaKey, home: Home, demand: &Demand<'_>) -> Cost {
        let replica = &self.replicas[key];
        let zone_ms = if &*replica.spec.zone == demand.zone {
            0.0
        } else {
            self.settings.cross_zone_cost.0 as f64
        };
        let warmup_ms = if replica.spec.warmup_remaining > Millis::ZERO {
            50.0
        } else {
            0.0
        };
        if !self.caches_prompts() {
            let latency_ms = replica.latency_ms().unwrap_or(INITIAL_LATENCY_MS);
            let slots = f64::from(replica.spec.slots.max(1));
            let load = replica.load(now) as f64;
            let rounds = (load / slots).floor();
            let wait_ms = latency_ms * (1.0 + rounds);
            return Cost {
                wait_ms,
                total_ms: latency_ms.mul_add(load / slots, wait_ms) + zone_ms + warmup_ms,
                prefill_tokens: 0,
                cached: None,
            };
        }
        let is_home = home.preferred == Some(key);
        let uncached = if is_home && self.is_warm(now, key, demand) {
            0
        } else {
            replica.uncached_tokens(demand.shared())
        };
        let cached = self.expected_cached(now, replica, is_home, uncached, demand);
        let uncached = uncached + self.evicted(cached);
        let prefill_tokens = uncached + demand.own_tokens();
        let prefill_ms = |tokens| self.prefill_ms(now, replica, tokens);
        let queue_ms = prefill_ms(replica.unread_tokens(now) as f64) + replica.delay_ms(now);
        let wait_ms = self.fixed_ms() + queue_ms + prefill_ms(f64::from(prefill_tokens));
        // Parts that the home replica processes also serve the requests of other nodes. Where speeds are learned, the time is that of a
        // replica of mean speed: the time of a fast one is worth more, and it caches no more than others.
        let reread_ms = if home.includes(key) {
            0.0
        } else {
            self.mean_prefill_ms(f64::from(uncached)) * self.reread_weight()
        };
        let running_ms = RUNNING_REQUEST_COST_MS * replica.load(now) as f64;
        Cost {
            wait_ms,
            total_ms: wait_ms + reread_ms + running_ms + zone_ms + warmup_ms,
            prefill_tokens,
            cached,
        }
    }

    /// Returns the time after which a refused request may be retried: half of the shortest queue.
    pub(super) fn retry_wait(&self, now: Millis, demand: &Demand<'_>) -> Millis {
        let queue_ms = |key: &ReplicaKey| {
            let replica = &self.replicas[*key];
            let unread_ms =
                self.prefill_ms(now, replica, replica.unread_tokens(now) as f64) + replica.delay_ms(now);
            unread_ms.max(replica.latency_ms().unwrap_or(INITIAL_LATENCY_MS))
        };
        let shortest = self
            .ids
            .values()
            .filter(|key| self.is_eligible(**key, demand))
            .map(queue_ms)
            .min_by(f64::total_cmp)
            .unwrap_or(INITIAL_LATENCY_MS);
        let max_wait = Millis((demand.time_left.0 / 3).max(MIN_RETRY_WAIT.0));
        Millis((shortest / 2.0) as u64).clamp(MIN_RETRY_WAIT, max_wait)
    }
}
