//! Statistics of a finished simulation.

use super::{Call, Simulation, State, US_PER_MS};
use crate::policy::Stats;

impl Simulation<'_> {
    pub(super) fn stats(&self) -> Stats {
        let mut latencies = self.calls.iter().filter_map(Call::latency_us).collect::<Vec<_>>();
        latencies.sort_unstable();
        let target_us = self.config.target_ms * US_PER_MS;
        let in_time = latencies.iter().filter(|latency| **latency <= target_us).count();
        let count = |state| self.calls.iter().filter(|call| call.state == state).count() as u64;
        let arrived = self.calls.len().max(1) as f64;
        let dispatches = self
            .calls
            .iter()
            .map(|call| f64::from(call.dispatches))
            .sum::<f64>();
        Stats {
            policy: self.kind,
            seed: self.seed,
            arrived: self.calls.len() as u64,
            answered: count(State::Answered),
            refused: count(State::Refused),
            attempts: dispatches / arrived,
            in_time: in_time as f64 / arrived,
            p50_ms: percentile(&latencies, 50),
            p95_ms: percentile(&latencies, 95),
            p99_ms: percentile(&latencies, 99),
            owed: self.sum_answered(|call| call.question.answer_tokens),
            delivered: self.sum_answered(|call| call.delivered),
            prefilled: self.pool.prefilled(),
            recomputed: self.pool.recomputed(),
        }
    }

    /// Sums a token count over the answered calls.
    fn sum_answered<F>(&self, tokens: F) -> u64
    where
        F: Fn(&Call) -> u32,
    {
        let answered = self.calls.iter().filter(|call| call.state == State::Answered);
        answered.map(|call| u64::from(tokens(call))).sum()
    }
}

/// Returns a percentile, in milliseconds, of sorted values in microseconds.
fn percentile(sorted: &[u64], percent: usize) -> f64 {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    let value = sorted.get(index).copied().unwrap_or(0);
    value as f64 / US_PER_MS as f64
}
