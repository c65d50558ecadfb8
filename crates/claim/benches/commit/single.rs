//! The baseline: one create a claim, no results, no deletes.

use base::Seed;

use super::group::{PATIENCE, SEED, gap};
use super::service::Service;
use super::tally::Tally;
use crate::{RUN_SECS, WARM_SECS};

/// One create a claim.
pub struct Single {
    rate: u64,
    service: Service,
}

impl Single {
    pub const fn new(rate: u64, latency_ms: u64) -> Self {
        let service = Service::new(latency_ms);
        Self { rate, service }
    }

    pub fn run(mut self) -> Tally {
        let mut tally = Tally::default();
        let mut generator = Seed(SEED).generator();
        let mut now = gap(&mut generator, self.rate);
        while now < RUN_SECS * 1_000_000 {
            self.claim(now, &mut tally);
            now += gap(&mut generator, self.rate);
        }
        tally
    }

    /// A claim that would wait too long is refused without a write, as an ideal client would.
    fn claim(&mut self, now: u64, tally: &mut Tally) {
        let counted = now >= WARM_SECS * 1_000_000;
        if self.service.backlog(now) >= PATIENCE {
            tally.refused += u64::from(counted);
            return;
        }
        let answered = self.service.write(now);
        if counted {
            tally.creates += 1;
            tally.waits.push(answered - now);
        }
    }
}
