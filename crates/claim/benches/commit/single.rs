//! Baseline: one create per claim, without results or deletes.

use base::Seed;

use super::group::{CLAIM_TIMEOUT, SEED, interarrival};
use super::service::Service;
use super::stats::Stats;
use crate::{RUN_SECS, WARMUP_SECS};

/// One create per claim.
pub struct Single {
    rate: u64,
    service: Service,
}

impl Single {
    pub const fn new(rate: u64, latency_ms: u64) -> Self {
        let service = Service::new(latency_ms);
        Self { rate, service }
    }

    pub fn run(mut self) -> Stats {
        let mut stats = Stats::default();
        let mut generator = Seed(SEED).generator();
        let mut now = interarrival(&mut generator, self.rate);
        while now < RUN_SECS * 1_000_000 {
            self.claim(now, &mut stats);
            now += interarrival(&mut generator, self.rate);
        }
        stats
    }

    /// Refuses a claim that would wait too long without writing it, as an ideal client would.
    fn claim(&mut self, now: u64, stats: &mut Stats) {
        let counted = now >= WARMUP_SECS * 1_000_000;
        if self.service.backlog(now) >= CLAIM_TIMEOUT {
            stats.refused += u64::from(counted);
            return;
        }
        let answered = self.service.write(now);
        if counted {
            stats.creates += 1;
            stats.waits.push(answered - now);
        }
    }
}
