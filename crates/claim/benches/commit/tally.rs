//! Counts of one run.

use std::fmt;

use crate::{RUN_SECS, WARM_SECS};

/// What happened in the counted part of a run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub creates: u64,
    pub others: u64,
    pub bytes: u64,
    pub reads: u64,
    pub refused: u64,
    /// Time from arrival to grant, in microseconds.
    pub waits: Vec<u64>,
}

impl Tally {
    pub const HEAD: &'static str = "granted_per_s,refused_per_s,creates_per_s,other_writes_per_s,reads_per_s,claims_per_create,kb_per_s,p50_ms,p99_ms";

    fn quantile(&self, share: f64) -> f64 {
        let place = (self.waits.len() as f64 * share) as usize;
        self.waits.get(place).map_or(0.0, |wait| *wait as f64 / 1e3)
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut sorted = self.clone();
        sorted.waits.sort_unstable();
        let secs = (RUN_SECS - WARM_SECS) as f64;
        let granted = self.waits.len() as f64;
        let each = granted / (self.creates as f64).max(1.0);
        write!(f, "{:.1},{:.1},", granted / secs, self.refused as f64 / secs)?;
        write!(
            f,
            "{:.1},{:.1},",
            self.creates as f64 / secs,
            self.others as f64 / secs
        )?;
        write!(f, "{:.1},{each:.1},", self.reads as f64 / secs)?;
        write!(f, "{:.1},", self.bytes as f64 / secs / 1e3)?;
        write!(f, "{:.1},{:.1}", sorted.quantile(0.5), sorted.quantile(0.99))
    }
}
