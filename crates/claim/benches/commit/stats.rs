//! Statistics of one run.

use std::fmt;

use crate::{RUN_SECS, WARMUP_SECS};

/// Counts from the measured part of a run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub creates: u64,
    pub other_writes: u64,
    pub bytes: u64,
    pub reads: u64,
    pub refused: u64,
    /// Times from arrival to grant, in microseconds.
    pub waits: Vec<u64>,
}

impl Stats {
    pub const HEADER: &'static str = "granted_per_s,refused_per_s,creates_per_s,other_writes_per_s,reads_per_s,claims_per_create,kb_per_s,p50_ms,p99_ms";

    fn quantile(&self, fraction: f64) -> f64 {
        let index = (self.waits.len() as f64 * fraction) as usize;
        self.waits.get(index).map_or(0.0, |wait| *wait as f64 / 1e3)
    }
}

impl fmt::Display for Stats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut sorted = self.clone();
        sorted.waits.sort_unstable();
        let secs = (RUN_SECS - WARMUP_SECS) as f64;
        let granted = self.waits.len() as f64;
        let claims_per_create = granted / (self.creates as f64).max(1.0);
        write!(f, "{:.1},{:.1},", granted / secs, self.refused as f64 / secs)?;
        write!(
            f,
            "{:.1},{:.1},",
            self.creates as f64 / secs,
            self.other_writes as f64 / secs
        )?;
        write!(f, "{:.1},{claims_per_create:.1},", self.reads as f64 / secs)?;
        write!(f, "{:.1},", self.bytes as f64 / secs / 1e3)?;
        write!(f, "{:.1},{:.1}", sorted.quantile(0.5), sorted.quantile(0.99))
    }
}
