//! Reclaims of a trial: notice, cut and replacement.

use super::{Call, MS, Trial};
use crate::policy::config::Reclaim;
use crate::policy::node::End;
use crate::policy::pool::{Phase, Replica};

impl Trial<'_> {
    pub(super) fn notice(&mut self, reclaim: &Reclaim) {
        for replica in 0..self.pool.replicas.len() {
            let entry = &mut self.pool.replicas[replica];
            if entry.zone != reclaim.zone || entry.phase != Phase::Live {
                continue;
            }
            entry.phase = Phase::Leaving;
            for node in 0..self.nodes.len() {
                self.each(node, |node, now, orders| node.leave(now, replica, orders));
            }
        }
    }

    pub(super) fn reclaim(&mut self, reclaim: &Reclaim) {
        for replica in 0..self.pool.replicas.len() {
            let entry = &mut self.pool.replicas[replica];
            if entry.zone == reclaim.zone && entry.phase == Phase::Leaving {
                entry.phase = Phase::Gone;
                self.cut(replica, reclaim);
            }
        }
    }

    /// Cuts all calls at a replica; with export, as much of their KV cache is saved as the notice left time for.
    fn cut(&mut self, replica: usize, reclaim: &Reclaim) {
        let at = |call: &Call| call.dispatch.is_some_and(|dispatch| dispatch.replica == replica);
        let calls = (0..self.calls.len()).filter(|index| at(&self.calls[*index]));
        let calls = calls.collect::<Vec<_>>();
        let mut time_us = if reclaim.export { reclaim.notice_ms * MS } else { 0 };
        for index in calls {
            let engine = &self.pool.replicas[replica].engine;
            let computed = engine.computed(index as u64).unwrap_or(0);
            let cost = u64::from(computed) * engine.config().export_us;
            let saved = reclaim.export && cost <= time_us;
            if saved {
                time_us -= cost;
            }
            let call = &mut self.calls[index];
            call.imported = if saved { computed } else { 0 };
            let tokens = call.tokens;
            self.finish(index, End::Cut { tokens });
        }
    }

    pub(super) fn replace(&mut self, reclaim: &Reclaim) {
        let gone = |replica: &Replica| replica.zone == reclaim.zone && replica.phase != Phase::Live;
        let count = self.pool.replicas.iter().filter(|replica| gone(replica)).count();
        for _ in 0..count {
            self.add_replica(&reclaim.zone);
        }
    }
}
