//! The crashes that blame a part.

use base::Millis;
use indexmap::IndexSet;

use crate::crash::Event;

/// Crashes within this time may have a common cause other than a part.
pub(crate) const SAME_TIME: Millis = Millis(500);
/// Number of them with the part from which it does not matter that others may follow.
const MANY_CRASHES: usize = 5;
/// Share of these crashes that must have the part if each is to count.
const COMMON_SHARE: f64 = 0.8;

/// The crashes that blame a part.
#[derive(Clone, Debug, Default)]
pub(crate) struct Blame {
    pub crashes: IndexSet<u64>,
    /// When they occurred.
    times: Vec<Millis>,
    /// The parts that all their requests have in common.
    pub common: Vec<u64>,
}

impl Blame {
    pub fn record(&mut self, event: &Event) {
        if self.crashes.is_empty() {
            self.common.clone_from(&event.parts);
        }
        if self.crashes.insert(event.crash) {
            self.times.push(event.at);
        }
        self.common.retain(|part| event.parts.contains(part));
    }

    /// Number of crashes, given the times of those of all parts. Those at the same time count once if many of the replicas that
    /// crashed then had no request with the part, and while more may be heard of.
    ///
    /// Those of a part that has been processed before always count once: many replicas lost at once say little of a part that
    /// many requests have.
    pub fn weight(&self, now: Millis, all: &[Millis], is_survivor: bool) -> usize {
        let mut times = self.times.clone();
        times.sort_unstable();
        let mut weight = 0;
        while let Some(first) = times.first().copied() {
            let is_together = |time: &Millis| *time >= first && time.since(first) < SAME_TIME;
            let own = times.iter().filter(|time| is_together(time)).count();
            let together = all.iter().filter(|time| is_together(time)).count();
            let is_known = now.since(first) >= SAME_TIME || own >= MANY_CRASHES;
            let is_common = !is_survivor && is_known && own as f64 >= COMMON_SHARE * together as f64;
            weight += if is_common { own } else { 1 };
            times.drain(..own);
        }
        weight
    }
}
