//! A fixed-size sketch of recent latencies.

use base::Millis;

/// Buckets for each doubling of the latency: an error of at most a quarter.
const BUCKETS_PER_DOUBLING: u32 = 4;
/// Buckets in all: up to 2^20 ms, about 17 minutes.
const BUCKETS: usize = 20 * BUCKETS_PER_DOUBLING as usize;

/// Counts of latencies in buckets of geometric width; old ones decay by halving.
#[derive(Clone, Debug)]
pub struct Histogram {
    buckets: [u32; BUCKETS],
    count: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKETS],
            count: 0,
        }
    }
}

impl Histogram {
    /// Takes a latency in.
    pub const fn record(&mut self, latency: Millis) {
        self.buckets[bucket_index(latency)] += 1;
        self.count += 1;
    }

    /// Halves every count.
    pub fn decay(&mut self) {
        for bucket in &mut self.buckets {
            *bucket /= 2;
        }
        self.count = self.buckets.iter().sum();
    }

    /// How many latencies it holds, faded.
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Upper bound of the bucket that holds the quantile `per_mille`; zero if empty.
    pub fn quantile(&self, per_mille: u32) -> Millis {
        let rank = (u64::from(self.count) * u64::from(per_mille)).div_ceil(1_000);
        let mut seen = 0;
        for (index, count) in self.buckets.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= rank && seen > 0 {
                return upper_bound(index);
            }
        }
        Millis::ZERO
    }
}

/// The bucket of a latency: the power of two below it, and the quarter of the way to the next.
const fn bucket_index(latency: Millis) -> usize {
    let value = if latency.0 == 0 { 1 } else { latency.0 };
    let power = value.ilog2();
    let quarter = ((value - (1 << power)) * BUCKETS_PER_DOUBLING as u64) >> power;
    let index = (power * BUCKETS_PER_DOUBLING) as usize + quarter as usize;
    if index < BUCKETS { index } else { BUCKETS - 1 }
}

/// The largest latency of a bucket.
const fn upper_bound(index: usize) -> Millis {
    let power = index as u64 / BUCKETS_PER_DOUBLING as u64;
    let quarter = index as u64 % BUCKETS_PER_DOUBLING as u64 + 1;
    let bound = (1 << power) + (quarter << power).div_ceil(BUCKETS_PER_DOUBLING as u64);
    Millis(bound - 1)
}
