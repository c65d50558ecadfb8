//! Samples of the replicas' speed that a hub passes on.

use std::sync::Arc;

use base::Millis;
use indexmap::IndexMap;
use place::PeerPace;

/// Age at which samples that were not passed on are dropped.
const MAX_AGE: Millis = Millis(6_000);
/// Maximum number of replicas with samples. Those that came first are dropped.
const MAX_REPLICAS: usize = 512;

/// Samples by endpoint and replica, in the order in which the first one came.
///
/// Load pattern: many nodes, each with a few samples per second. Their sums take no more room than there are replicas, and each sample
/// is passed on once.
#[derive(Clone, Debug, Default)]
pub struct Paces(IndexMap<(Arc<str>, u32), (Millis, PeerPace)>);

impl Paces {
    /// Adds samples. Estimates are left out, since only nodes of the own zone take them over.
    pub fn record(&mut self, now: Millis, paces: &[(Arc<str>, Vec<PeerPace>)]) {
        let samples = paces
            .iter()
            .flat_map(|(endpoint, paces)| paces.iter().map(move |it| (endpoint, it)));
        for (endpoint, pace) in samples.filter(|(_, it)| it.count > 0) {
            let sum = self.0.entry((Arc::clone(endpoint), pace.replica));
            sum.and_modify(|(_, sum)| *sum = sum.join(*pace))
                .or_insert((now, *pace));
        }
        let is_old = |at: Millis| now.since(at) >= MAX_AGE;
        let old = self.0.values().take_while(|(at, _)| is_old(*at)).count();
        let excess = self.0.len().saturating_sub(MAX_REPLICAS);
        self.0.drain(..old.max(excess));
    }

    /// Takes up to this many, the first ones first.
    pub fn take(&mut self, now: Millis, max: usize) -> Vec<(Arc<str>, Vec<PeerPace>)> {
        self.record(now, &[]);
        let count = self.0.len().min(max);
        let mut taken: IndexMap<Arc<str>, Vec<PeerPace>> = IndexMap::new();
        for ((endpoint, _), (_, pace)) in self.0.drain(..count) {
            taken.entry(endpoint).or_default().push(pace);
        }
        taken.into_iter().collect()
    }
}
