//! Statistics as a text table.

use std::fmt;

use super::Stats;

/// Table of statistics, one row per run.
#[derive(Debug)]
pub struct Table<'a>(pub &'a [Stats]);

impl fmt::Display for Table<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:>5} {:>8} {:>8} {:>7} {:>8} {:>8} {:>9} {:>9} {:>9} {:>10} {:>10} {:>10}",
            "policy",
            "seed",
            "arrived",
            "answered",
            "refused",
            "attempts",
            "in time",
            "p50 ms",
            "p95 ms",
            "p99 ms",
            "delivered",
            "prefilled",
            "recomputed"
        )?;
        for row in self.0 {
            writeln!(
                f,
                "{:<16} {:>5} {:>8} {:>8} {:>7} {:>8.3} {:>7.2}% {:>9.1} {:>9.1} {:>9.1} {:>10} {:>10} {:>10}",
                row.policy.as_str(),
                row.seed,
                row.arrived,
                row.answered,
                row.refused,
                row.attempts,
                row.in_time * 100.0,
                row.p50_ms,
                row.p95_ms,
                row.p99_ms,
                row.delivered,
                row.prefilled,
                row.recomputed
            )?;
        }
        Ok(())
    }
}
