//! Rate limits on the calls of one process to the service.

use std::sync::Mutex;
use std::time::Instant;

use crate::Error;

/// The kind of call to charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A read, a listing or a watch.
    Read,
    /// A write or a lease call.
    Write,
}

/// Token buckets that limit the calls per second, with bursts of up to two seconds' worth of calls.
#[derive(Debug)]
pub struct Budget {
    reads: Bucket,
    writes: Bucket,
}

impl Budget {
    /// Creates a budget of `reads` and `writes` per second.
    pub fn new(reads: f64, writes: f64) -> Self {
        Self {
            reads: Bucket::new(reads),
            writes: Bucket::new(writes),
        }
    }

    /// Charges one call, or fails if the budget is used up.
    pub fn charge(&self, kind: Kind) -> Result<(), Error> {
        let (bucket, label) = match kind {
            Kind::Read => (&self.reads, "read"),
            Kind::Write => (&self.writes, "write"),
        };
        if bucket.try_take() {
            metrics::counter!("bilberrylatch_platform_calls_total", "kind" => label).increment(1);
            Ok(())
        } else {
            metrics::counter!("bilberrylatch_platform_over_budget_total", "kind" => label).increment(1);
            Err(Error::BudgetExceeded)
        }
    }
}

impl Default for Budget {
    /// A share of the service's rate limits that lets 9 nodes use their full budgets at the same time.
    fn default() -> Self {
        const READS_PER_SECOND: f64 = 100.0;
        const WRITES_PER_SECOND: f64 = 25.0;
        Self::new(READS_PER_SECOND, WRITES_PER_SECOND)
    }
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    level: Mutex<Level>,
}

#[derive(Debug)]
struct Level {
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    const BURST_SECONDS: f64 = 2.0;

    fn new(rate: f64) -> Self {
        Self {
            rate,
            level: Mutex::new(Level {
                tokens: rate * Self::BURST_SECONDS,
                refilled_at: Instant::now(),
            }),
        }
    }

    fn try_take(&self) -> bool {
        let Ok(mut level) = self.level.lock() else {
            return false;
        };
        let now = Instant::now();
        let refill = now.duration_since(level.refilled_at).as_secs_f64() * self.rate;
        level.tokens = (level.tokens + refill).min(self.rate * Self::BURST_SECONDS);
        level.refilled_at = now;
        if level.tokens < 1.0 {
            return false;
        }
        level.tokens -= 1.0;
        true
    }
}
