//! Sums of totals that several nodes report.

use std::hash::Hash;

use indexmap::IndexMap;

/// Sums totals by key (a workspace or a replica) over nodes that come, go and restart.
///
/// A node's total falls only by refunds, and a restarted node reports under another id. What a node had admitted before
/// its first report is not counted, as for a single peer. A node that is gone keeps its part of the sums.
#[derive(Clone, Debug)]
pub struct Totals<K> {
    reported: IndexMap<u64, IndexMap<K, u64>>,
    sums: IndexMap<K, i64>,
}

impl<K> Default for Totals<K> {
    fn default() -> Self {
        Self {
            reported: IndexMap::new(),
            sums: IndexMap::new(),
        }
    }
}

impl<K> Totals<K>
where
    K: Clone + Eq + Hash,
{
    /// Records the totals that a node reports.
    pub fn record(&mut self, node: u64, totals: &[(K, u64)]) {
        let is_known = self.reported.contains_key(&node);
        let reported = self.reported.entry(node).or_default();
        for (key, total) in totals {
            // What a known node did not report before had a total of zero.
            let before = reported.insert(key.clone(), *total);
            let before = before.unwrap_or(if is_known { 0 } else { *total });
            let sum = self.sums.entry(key.clone()).or_default();
            *sum += *total as i64 - before as i64;
        }
    }

    /// Forgets nodes that are gone. Their part of the sums remains.
    pub fn retain<F>(&mut self, mut is_live: F)
    where
        F: FnMut(u64) -> bool,
    {
        self.reported.retain(|node, _| is_live(*node));
    }

    /// Forgets a node. Its part of the sums remains, and its next totals count as its first.
    pub fn forget(&mut self, node: u64) {
        self.reported.swap_remove(&node);
    }

    /// The sums by key.
    pub fn sums(&self) -> Vec<(K, u64)> {
        let sums = self.sums.iter();
        sums.map(|(key, sum)| (key.clone(), (*sum).max(0) as u64))
            .collect()
    }
}
