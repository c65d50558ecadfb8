//! How fast each replica reads prompts, learned from the times to first events and shared by the nodes.
//!
//! Load pattern: replicas of one endpoint that differ in speed by a factor of two, some of them for good and some for half a second,
//! in front of many nodes, each of which gets a first token from a given replica once in half a minute.

mod engine;
mod estimate;
mod hits;
mod moment;
mod presence;
mod report;
mod share;

use base::Millis;

pub(crate) use engine::Engine;
pub(crate) use estimate::Estimate;
pub use hits::CacheBasis;
pub(crate) use hits::Hits;
pub(crate) use moment::Moment;
pub(crate) use presence::{Presence, Standing};
pub use report::PeerPace;
pub(crate) use share::{STEPS, Share, factor, index};

/// Minimum length of a prompt to measure: the time for shorter ones depends mostly on its fixed part.
pub(crate) const MIN_TOKENS: u32 = 2_000;

/// The time to the first event of one prompt that found no other prompt waiting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Sample {
    /// Prompt tokens that the replica had to process if what was taken for cached was.
    pub tokens: u32,
    /// Why some were taken for cached, and their number.
    pub cached: Option<(CacheBasis, u32)>,
    /// Time from sending the request to its first event, in milliseconds.
    pub latency_ms: f64,
    /// Time that work took at that moment by the replica's report, as a multiple of the usual time.
    pub reported: f64,
    /// The same, or 1 if the replica's reports are not believed.
    pub factor: f64,
}

/// What the first event of a dispatch tells of the replica's speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Measurement {
    /// Nothing, since more than the replica's speed affects its time.
    Disturbed,
    /// As far as was known when the request was sent, its time will tell.
    Expected,
    /// A sample, which counts once the dispatch has succeeded.
    Taken(Sample),
}

/// What is known of a replica's speed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    /// What changes slowly.
    pub estimate: Estimate,
    /// What it reports of the moment.
    pub moment: Moment,
    /// The share of prompts that prefer it.
    pub share: Share,
    /// Since when it can be preferred.
    pub presence: Presence,
}

impl Pace {
    /// Time per prompt token now, in milliseconds.
    pub fn token_ms(&self, now: Millis) -> f64 {
        self.estimate.token_ms() * self.moment.factor(now)
    }
}
