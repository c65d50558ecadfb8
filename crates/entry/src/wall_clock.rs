//! True time: an estimate that outlives jumps of the time of day.

use std::collections::VecDeque;

use base::Millis;

/// Samples that the estimate is the median of.
const SAMPLES: usize = 61;

/// Offset between the process's monotonic clock and Unix time: the median of samples taken at a steady pace, so that a
/// jump that lasts for less than half of them changes nothing.
#[derive(Clone, Debug, Default)]
pub struct WallClock {
    offsets: VecDeque<i64>,
}

impl WallClock {
    /// No sample yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the time of day, in Unix milliseconds, at a point of the monotonic clock.
    pub fn record_sample(&mut self, now: Millis, unix_ms: u64) {
        if self.offsets.len() == SAMPLES {
            self.offsets.pop_front();
        }
        self.offsets.push_back(unix_ms as i64 - now.0 as i64);
    }

    /// Unix milliseconds at a point of the monotonic clock; `None` before the first sample.
    pub fn unix_ms(&self, now: Millis) -> Option<u64> {
        let mut sorted: Vec<i64> = self.offsets.iter().copied().collect();
        sorted.sort_unstable();
        let median = sorted.get(sorted.len() / 2)?;
        u64::try_from(now.0 as i64 + median).ok()
    }
}
