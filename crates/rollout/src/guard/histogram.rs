//! A fixed-size histogram of recent latencies.

use base::Millis;

/// Buckets per doubling of the latency, which limit the error of a quantile to a quarter.
const BUCKETS_PER_DOUBLING: u32 = 4;
/// Total number of buckets, for latencies up to 2^20 ms, about 17 minutes.
const BUCKETS: usize = 20 * BUCKETS_PER_DOUBLING as usize;

/// Counts of latencies in buckets of geometric width. Old latencies lose weight by halving all counts.
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
    /// Adds a latency.
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

    /// Sum of all counts after decay.
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Upper bound of the bucket with the quantile `per_mille`; zero if the histogram is empty.
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

/// Index of the bucket of a latency, by the power of two below it and the quarter between that and the next.
const fn bucket_index(latency: Millis) -> usize {
    let value = if latency.0 == 0 { 1 } else { latency.0 };
    let power = value.ilog2();
    let quarter = ((value - (1 << power)) * BUCKETS_PER_DOUBLING as u64) >> power;
    let index = (power * BUCKETS_PER_DOUBLING) as usize + quarter as usize;
    if index < BUCKETS { index } else { BUCKETS - 1 }
}

/// Largest latency in a bucket.
const fn upper_bound(index: usize) -> Millis {
    let power = index as u64 / BUCKETS_PER_DOUBLING as u64;
    let quarter = index as u64 % BUCKETS_PER_DOUBLING as u64 + 1;
    let bound = (1 << power) + (quarter << power).div_ceil(BUCKETS_PER_DOUBLING as u64);
    Millis(bound - 1)
}
