//! Load that other nodes put on a replica, estimated from its delayed reports.

use base::Millis;

use super::Report;

/// Age from which a report is ignored.
const REPORT_MAX_AGE: Millis = Millis(5_000);

/// Requests of other nodes at the time of the last report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    other_nodes: f32,
    measured_at: Millis,
}

impl Load {
    /// Applies a report unless a newer one is known. `own_in_flight` is this node's number of requests in flight.
    pub fn update(&mut self, now: Millis, report: Report, own_in_flight: u32) {
        let measured_at = now - report.age;
        if measured_at < self.measured_at {
            return;
        }
        let total = report.running.saturating_add(report.queued);
        self.other_nodes = total.saturating_sub(own_in_flight) as f32;
        self.measured_at = measured_at;
    }

    /// Returns the requests of other nodes, scaled down linearly with the age of the report.
    pub fn other_nodes(&self, now: Millis) -> f32 {
        let age = now.since(self.measured_at).0 as f32;
        let weight = 1.0 - age / REPORT_MAX_AGE.0 as f32;
        self.other_nodes * weight.max(0.0)
    }
}
