//! The load that other nodes put on a replica, from its lagged reports.

use base::Millis;

use super::Report;

/// Age at which a report says nothing any more.
const REPORT_LIFE: Millis = Millis(5_000);

/// Other nodes' requests at the last report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    others: f32,
    taken_at: Millis,
}

impl Load {
    /// Takes a report in; `own` is this node's requests in flight.
    pub fn take(&mut self, now: Millis, report: Report, own: u32) {
        let taken_at = now - report.age;
        if taken_at < self.taken_at {
            return;
        }
        let total = report.running.saturating_add(report.queued);
        self.others = total.saturating_sub(own) as f32;
        self.taken_at = taken_at;
    }

    /// Other nodes' requests, counted the less the older the report is.
    pub fn others(&self, now: Millis) -> f32 {
        let age = now.since(self.taken_at).0 as f32;
        let weight = 1.0 - age / REPORT_LIFE.0 as f32;
        self.others * weight.max(0.0)
    }
}
