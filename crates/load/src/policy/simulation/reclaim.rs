//! Zone reclaims: notice, interruption of calls and replacement of replicas.

use super::{Call, Simulation, US_PER_MS};
use crate::policy::config::Reclaim;
use crate::policy::node::End;
use crate::policy::pool::{Phase, Replica};

impl Simulation<'_> {
    pub(super) fn notify_reclaim(&mut self, reclaim: &Reclaim) {
        for replica in 0..self.pool.replicas.len() {
            let entry = &mut self.pool.replicas[replica];
            if entry.zone != reclaim.zone || entry.phase != Phase::Live {
                continue;
            }
            entry.phase = Phase::Draining;
            for node in 0..self.nodes.len() {
                self.with_node(node, |node, now, commands| node.drain(now, replica, commands));
            }
        }
    }

    pub(super) fn reclaim(&mut self, reclaim: &Reclaim) {
        for replica in 0..self.pool.replicas.len() {
            let entry = &mut self.pool.replicas[replica];
            if entry.zone == reclaim.zone && entry.phase == Phase::Draining {
                entry.phase = Phase::Reclaimed;
                self.interrupt_calls(replica, reclaim);
            }
        }
    }

    /// Interrupts all calls at a replica. With export enabled, KV caches are saved for as many calls as fit into the
    /// notice period.
    fn interrupt_calls(&mut self, replica: usize, reclaim: &Reclaim) {
        let on_replica = |call: &Call| call.dispatch.is_some_and(|dispatch| dispatch.replica == replica);
        let calls = (0..self.calls.len()).filter(|index| on_replica(&self.calls[*index]));
        let calls = calls.collect::<Vec<_>>();
        let mut export_budget_us = if reclaim.export {
            reclaim.notice_ms * US_PER_MS
        } else {
            0
        };
        for index in calls {
            let engine = &self.pool.replicas[replica].engine;
            let computed = engine.computed(index as u64).unwrap_or(0);
            let cost = u64::from(computed) * engine.config().export_us;
            let exported = reclaim.export && cost <= export_budget_us;
            if exported {
                export_budget_us -= cost;
            }
            let call = &mut self.calls[index];
            call.imported_tokens = if exported { computed } else { 0 };
            let tokens = call.dispatch_tokens;
            self.finish_dispatch(index, End::Interrupted { tokens });
        }
    }

    pub(super) fn replace(&mut self, reclaim: &Reclaim) {
        let reclaimed = |replica: &Replica| replica.zone == reclaim.zone && replica.phase != Phase::Live;
        let count = self
            .pool
            .replicas
            .iter()
            .filter(|replica| reclaimed(replica))
            .count();
        for _ in 0..count {
            self.add_replica(&reclaim.zone);
        }
    }
}
