//! Wall clock estimate that is robust against jumps of the system clock.

use std::collections::VecDeque;

use base::Millis;

/// Number of samples that the median is taken over.
const SAMPLES: usize = 61;

/// Offset between the process's monotonic clock and Unix time. It is the median of samples taken at a fixed interval,
/// so a jump that affects less than half of the samples has no effect.
#[derive(Clone, Debug, Default)]
pub struct WallClock {
    offsets: VecDeque<i64>,
}

impl WallClock {
    /// Creates an estimate without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the system time, in Unix milliseconds, at a time of the monotonic clock.
    pub fn record_sample(&mut self, now: Millis, unix_ms: u64) {
        if self.offsets.len() == SAMPLES {
            self.offsets.pop_front();
        }
        self.offsets.push_back(unix_ms as i64 - now.0 as i64);
    }

    /// Unix milliseconds at a time of the monotonic clock; `None` before the first sample.
    pub fn unix_ms(&self, now: Millis) -> Option<u64> {
        let mut sorted: Vec<i64> = self.offsets.iter().copied().collect();
        sorted.sort_unstable();
        let median = sorted.get(sorted.len() / 2)?;
        u64::try_from(now.0 as i64 + median).ok()
    }
}
