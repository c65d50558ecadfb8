//! Results of runs and their range over seeds.

use std::fmt;

use base::Millis;

use crate::run::{Record, Run, TARGET};

/// Requests that arrive in this last part of a run are not counted, as they may not have ended.
const EXCLUDED_TAIL: Millis = Millis::from_secs(5);
const COLUMNS: usize = 9;

/// Results of one run.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    values: [f64; COLUMNS],
}

impl Summary {
    pub fn new(run: &Run) -> Self {
        let last = run.records.last().map_or(Millis(0), |record| record.arrived_at);
        let counted: Vec<&Record> = run
            .records
            .iter()
            .filter(|record| record.arrived_at + EXCLUDED_TAIL < last)
            .collect();
        let small: Vec<&Record> = counted
            .iter()
            .copied()
            .filter(|record| record.workspace == 1)
            .collect();
        let attempts: u32 = counted.iter().map(|record| record.attempts).sum();
        let sent = counted.iter().filter(|record| record.attempts > 0).count() as f64;
        let computed: u64 = run.engines.iter().map(|engine| engine.prefixes_computed).sum();
        Self {
            values: [
                within_target(&counted),
                percentile(&counted, 50),
                percentile(&counted, 95),
                refused(&counted),
                1_000.0 * computed as f64 / run.records.len() as f64,
                f64::from(attempts) / sent,
                within_target(&small),
                percentile(&small, 95),
                refused(&small),
            ],
        }
    }
}

/// Percentage of all requests, including refused ones, whose first token arrived within the target.
fn within_target(records: &[&Record]) -> f64 {
    let within_target = records
        .iter()
        .filter(|record| time_to_first_token(record).is_some_and(|time| time <= TARGET));
    100.0 * within_target.count() as f64 / records.len().max(1) as f64
}

/// Percentage of requests that were refused.
fn refused(records: &[&Record]) -> f64 {
    let refused = records.iter().filter(|record| record.refused).count();
    100.0 * refused as f64 / records.len().max(1) as f64
}

fn time_to_first_token(record: &Record) -> Option<Millis> {
    Some(record.first_token_at?.since(record.arrived_at))
}

/// Percentile of the time to the first token, in milliseconds, over the requests that have one.
fn percentile(records: &[&Record], percent: usize) -> f64 {
    let mut times: Vec<Millis> = records
        .iter()
        .filter_map(|record| time_to_first_token(record))
        .collect();
    times.sort_unstable();
    let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
    times.get(index).map_or(0.0, |time| time.0 as f64)
}

/// Mean, minimum and maximum over seeds.
pub struct Spread<'a> {
    summaries: &'a [Summary],
}

impl<'a> Spread<'a> {
    pub const HEADER: &'static str = "policy            met target %        p50 ms              p95 ms              refused %           prefixes/1000 req   attempts/request    small: met %        p95 ms              refused %";

    pub const fn new(summaries: &'a [Summary]) -> Self {
        Self { summaries }
    }
}

impl fmt::Display for Spread<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for column in 0..COLUMNS {
            let values: Vec<f64> = self
                .summaries
                .iter()
                .map(|summary| summary.values[column])
                .collect();
            let mean = values.iter().sum::<f64>() / values.len() as f64;
            let min = values.iter().copied().fold(f64::MAX, f64::min);
            let max = values.iter().copied().fold(f64::MIN, f64::max);
            let digits = if mean < 10.0 { 2 } else { 0 };
            let cell = format!("{mean:.digits$} ({min:.digits$}..{max:.digits$})");
            write!(f, "  {cell:18}")?;
        }
        Ok(())
    }
}
