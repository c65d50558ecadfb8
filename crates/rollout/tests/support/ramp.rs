//! Baselines for comparison: a ramp driven by the clock, with common kinds of alarms.

use base::Millis;
use rollout::{Arm, Share};

/// The alarm that undoes the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Alarm {
    /// No alarm.
    None,
    /// Compares failures and mean latency of the last seconds with those from before the rollout.
    PastRates,
    /// Runs a two-proportion test at p = 0.001 every second on all failures and slow requests so far.
    RepeatedTest,
}

#[derive(Clone, Copy, Debug, Default)]
struct Stats {
    requests: f64,
    failed: f64,
    slow: f64,
    latency: f64,
}

/// A ramp driven by the clock.
#[derive(Clone, Debug)]
pub struct Ramp {
    alarm: Alarm,
    before: Stats,
    old: Stats,
    new: Stats,
    recent: Stats,
    pub undone: bool,
}

impl Ramp {
    pub fn new(alarm: Alarm) -> Self {
        let empty = Stats::default();
        Self {
            alarm,
            before: empty,
            old: empty,
            new: empty,
            recent: empty,
            undone: false,
        }
    }

    /// The share when `passed` of `time_allowed` is over; it doubles in six equal steps, from 5%.
    pub fn share(&self, passed: Millis, time_allowed: Millis) -> Share {
        let step = passed.0 * 6 / time_allowed.0.max(1);
        match step {
            _ if self.undone => Share::ZERO,
            5.. => Share::FULL,
            _ => Share::from_percent(5 << step),
        }
    }

    pub fn end(&mut self, drawn: Option<Arm>, latency: Millis, failed: bool, mean_latency_ms: f64) {
        let add = |sum: &mut Stats| {
            sum.requests += 1.0;
            sum.failed += f64::from(u8::from(failed));
            sum.slow += f64::from(u8::from(latency.0 as f64 > mean_latency_ms * 1.6));
            sum.latency += latency.0 as f64 / mean_latency_ms;
        };
        match drawn {
            None => add(&mut self.before),
            Some(Arm::Old) => add(&mut self.old),
            Some(Arm::New) => {
                add(&mut self.new);
                add(&mut self.recent);
            }
        }
    }

    /// Evaluates the alarm; called every second.
    pub fn tick_second(&mut self) {
        self.undone |= match self.alarm {
            Alarm::None => false,
            Alarm::PastRates => self.recent.requests >= 20.0 && worse_than_before(&self.recent, &self.before),
            Alarm::RepeatedTest => {
                differs(self.new.failed, self.old.failed, &self.new, &self.old)
                    || differs(self.new.slow, self.old.slow, &self.new, &self.old)
            }
        };
        if self.recent.requests >= 20.0 {
            self.recent = Stats::default();
        }
    }
}

fn worse_than_before(now: &Stats, before: &Stats) -> bool {
    let failed = now.failed / now.requests > before.failed / before.requests + 0.1;
    let slower = now.latency / now.requests > 1.5 * before.latency / before.requests;
    failed || slower
}

fn differs(new_count: f64, old_count: f64, new: &Stats, old: &Stats) -> bool {
    if new.requests < 20.0 || old.requests < 20.0 {
        return false;
    }
    let rate = (new_count + old_count) / (new.requests + old.requests);
    let spread = (rate * (1.0 - rate) * (1.0 / new.requests + 1.0 / old.requests)).sqrt();
    new_count / new.requests - old_count / old.requests > 3.09 * spread
}
