//! How often replicas have cached what a node takes for cached.

use base::Millis;

/// Age up to which a prompt of this node counts as recent.
const RECENT: Millis = Millis(3_000);
/// Age up to which it was sent some time ago.
const EARLIER: Millis = Millis(12_000);
/// Weight of a sample.
const WEIGHT: f64 = 0.05;
/// Rates before the first samples, by basis.
const INITIAL: [f64; 4] = [0.9, 0.95, 0.8, 0.6];

/// Why the shared parts of a prompt are taken for cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheBasis {
    /// The replica has been the home of the prompt for some time.
    Home,
    /// This node has just sent them there.
    Recent,
    /// This node sent them there some time ago.
    Earlier,
    /// This node sent them there long ago.
    Old,
}

impl CacheBasis {
    /// The basis of parts that this node sent there this long ago.
    pub(crate) fn sent_before(age: Millis) -> Self {
        if age < RECENT {
            Self::Recent
        } else if age < EARLIER {
            Self::Earlier
        } else {
            Self::Old
        }
    }
}

/// Fraction of prompts whose shared parts were cached, by what that was expected from.
///
/// Load pattern: more shared parts than the replicas cache. What a node sent to a replica has been evicted by the prompts of other nodes,
/// and it expects no time for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hits([f64; 4]);

impl Default for Hits {
    fn default() -> Self {
        Self(INITIAL)
    }
}

impl Hits {
    pub const fn rate(&self, basis: CacheBasis) -> f64 {
        self.0[basis as usize]
    }

    /// Records a measured time per token of what was expected to be read. It was more than expected if the time is nearer to that for all
    /// tokens than to that for the expected ones; both are given as multiples of the measured time.
    pub fn record(&mut self, basis: CacheBasis, ratio_if_cached: f64, ratio_if_not: f64) {
        let is_cached = ratio_if_cached * ratio_if_not < 1.0;
        let rate = &mut self.0[basis as usize];
        let target = if is_cached { 1.0 } else { 0.0 };
        *rate += WEIGHT * (target - *rate);
    }
}
