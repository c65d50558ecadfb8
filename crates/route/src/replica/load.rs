//! The load that other nodes put on a replica, from its lagged reports.

use base::Millis;

use super::Report;

/// Age at which a report says nothing any more.
const REPORT_MAX_AGE: Millis = Millis(5_000);

/// Other nodes' requests at the last report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    other_nodes: f32,
    measured_at: Millis,
}

impl Load {
    /// Takes a report in; `own` is this node's requests in flight.
    pub fn update(&mut self, now: Millis, report: Report, own_in_flight: u32) {
        let measured_at = now - report.age;
        if measured_at < self.measured_at {
            return;
        }
        let total = report.running.saturating_add(report.queued);
        self.other_nodes = total.saturating_sub(own_in_flight) as f32;
        self.measured_at = measured_at;
    }

    /// Other nodes' requests, counted the less the older the report is.
    pub fn other_nodes(&self, now: Millis) -> f32 {
        let age = now.since(self.measured_at).0 as f32;
        let weight = 1.0 - age / REPORT_MAX_AGE.0 as f32;
        self.other_nodes * weight.max(0.0)
    }
}
