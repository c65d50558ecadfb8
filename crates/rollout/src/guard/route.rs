//! State of one route in the guard.

use base::Millis;

use crate::guard::cusum::Cusum;
use crate::guard::histogram::Histogram;
use crate::guard::in_flight::InFlight;
use crate::guard::probe::{Change, Probe};
use crate::guard::settings::Settings;
use crate::summary::RouteTotals;
use crate::{Arm, Assignment, Counts, Evidence, SequentialTest, Share, Signal};

/// Requests needed before a quantile or rate is meaningful.
const MIN_SAMPLES: u32 = 40;
/// Number of latencies at which the counts are halved. With fewer, the quantiles would be too noisy.
const DECAY_SAMPLES: u32 = 400;
/// Quantile of the old version's latency above which a request is slow, per mille.
const SLOW_QUANTILE: u32 = 900;
/// Quantile taken as the longest latency of the old version, per mille.
const HUNG_QUANTILE: u32 = 999;
/// Multiple of the longest latency after which a request is hung.
const HUNG_FACTOR: u64 = 4;
/// Lower limit of the hang threshold.
const MIN_HUNG_THRESHOLD: Millis = Millis(1_000);
/// Hang threshold while the latencies of the old version are unknown.
const DEFAULT_HUNG_THRESHOLD: Millis = Millis(30_000);
/// Weight of the latest window in the baseline rates, which are exponential moving averages.
const RATE_SMOOTHING: f64 = 0.2;

/// A request that ended.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// Assignment of its version.
    pub assignment: Assignment,
    /// Time at which it started.
    pub started: Millis,
    /// Time at which it ended.
    pub ended: Millis,
    /// Whether it failed.
    pub failed: bool,
}

/// Evidence on one route, in memory of fixed size.
#[derive(Clone, Debug)]
pub struct RouteState {
    /// Counters and ratios since the start of the rollout.
    pub totals: RouteTotals,
    /// State of the probe.
    pub probe: Probe,
    tests: [SequentialTest; 3],
    cusums: [Cusum; 3],
    baseline_rates: [f64; 3],
    rates_counted_to: Counts,
    old_latencies: Histogram,
    new_latencies: Histogram,
    slow_threshold: Option<Millis>,
    in_flight: InFlight,
}

impl Default for RouteState {
    fn default() -> Self {
        Self {
            totals: RouteTotals::default(),
            probe: Probe::default(),
            tests: [SequentialTest::default(); 3],
            cusums: [Cusum::default(); 3],
            baseline_rates: [0.0; 3],
            rates_counted_to: Counts::default(),
            old_latencies: Histogram::default(),
            new_latencies: Histogram::default(),
            slow_threshold: None,
            in_flight: InFlight::new(DEFAULT_HUNG_THRESHOLD),
        }
    }
}

impl RouteState {
    /// Resets the state for a new rollout, but keeps the latencies of the old version.
    pub fn start_rollout(&mut self) {
        let old_latencies = std::mem::take(&mut self.old_latencies);
        *self = Self {
            old_latencies,
            ..Self::default()
        };
        self.refresh_baseline();
        self.in_flight = InFlight::new(self.hung_threshold());
    }

    /// Makes the new version the baseline, after a rollout that was done.
    pub fn promote(&mut self) {
        self.old_latencies = std::mem::take(&mut self.new_latencies);
        self.start_rollout();
    }

    /// Records the latency of a request outside any running rollout.
    pub const fn record_baseline(&mut self, latency: Millis) {
        self.old_latencies.record(latency);
    }

    /// Records the start of a request.
    pub const fn start(&mut self, now: Millis, assignment: Assignment) {
        self.counts_mut(assignment.arm).started += 1;
        self.in_flight.start(now, assignment.arm, assignment.share);
    }

    /// Records the end of a request and returns whether it had any signal.
    pub fn end(&mut self, completion: Completion) -> bool {
        let Assignment { arm, share, .. } = completion.assignment;
        if self.in_flight.end(completion.started, arm) {
            return false;
        }
        let latency = completion.ended.since(completion.started);
        self.counts_mut(arm).ended += 1;
        self.latencies_mut(arm).record(latency);
        let slow = self.slow_threshold.is_some_and(|bound| latency > bound);
        let hung = latency > self.in_flight.threshold();
        self.observe(Signal::Failed, arm, share, completion.failed);
        self.observe(Signal::Slow, arm, share, slow);
        self.observe(Signal::Hung, arm, share, hung);
        completion.failed || slow || hung
    }

    /// Counts requests that have become hung.
    pub fn count_hung(&mut self, now: Millis) {
        for hung in self.in_flight.take_hung(now) {
            self.counts_mut(hung.arm).ended += u64::from(hung.requests);
            for _ in 0..hung.requests {
                self.observe(Signal::Hung, hung.arm, hung.share, true);
            }
        }
    }

    /// Updates the thresholds and baseline rates from the latest window, and decays old latencies.
    pub fn refresh_baseline(&mut self) {
        self.refresh_rates();
        if self.old_latencies.count() >= MIN_SAMPLES {
            self.slow_threshold = Some(self.old_latencies.quantile(SLOW_QUANTILE));
        }
        for histogram in [&mut self.old_latencies, &mut self.new_latencies] {
            if histogram.count() >= DECAY_SAMPLES {
                histogram.decay();
            }
        }
        if self.in_flight.threshold() == DEFAULT_HUNG_THRESHOLD
            && self.hung_threshold() != DEFAULT_HUNG_THRESHOLD
        {
            self.in_flight = InFlight::new(self.hung_threshold());
        }
    }

    /// Evidence against the new version, if that of one signal reaches `threshold`.
    pub fn finding(&self, threshold: f64) -> Option<Evidence> {
        let signal = Signal::ALL
            .into_iter()
            .find(|signal| self.evidence(*signal) >= threshold)?;
        Some(Evidence::Compared {
            signal,
            old: self.totals.old,
            new: self.totals.new,
        })
    }

    /// A signal whose rate on the new version has increased, if any.
    pub fn suspected_signal(&self) -> Option<Signal> {
        let mut signals = Signal::ALL.into_iter();
        signals.find(|signal| self.cusums[*signal as usize].is_alarmed())
    }

    /// Starts or ends a probe, if it is time to.
    pub fn step_probe(
        &mut self,
        now: Millis,
        suspected: Option<Signal>,
        share: Share,
        settings: &Settings,
    ) -> Option<Change> {
        let change = self.probe.step(now, suspected, share, settings)?;
        self.cusums = [Cusum::default(); 3];
        self.totals.probing = u32::from(matches!(change, Change::Hold(_)));
        Some(change)
    }

    fn evidence(&self, signal: Signal) -> f64 {
        let index = signal as usize;
        self.tests[index].evidence(&self.totals.ratios[index])
    }

    fn observe(&mut self, signal: Signal, arm: Arm, share: Share, has_signal: bool) {
        let index = signal as usize;
        if arm == Arm::New {
            self.cusums[index].observe(has_signal, self.baseline_rates[index], signal);
        }
        if !has_signal {
            return;
        }
        self.counts_mut(arm).add(signal, 1);
        self.totals.ratios[index].observe(arm, share);
        if self.tests[index].restart(&self.totals.ratios[index]) {
            self.probe.clear_suspicion(signal);
        }
    }

    fn refresh_rates(&mut self) {
        let window = self.totals.old.since(&self.rates_counted_to);
        if window.ended < u64::from(MIN_SAMPLES) {
            return;
        }
        self.rates_counted_to = self.totals.old;
        for signal in Signal::ALL {
            let rate = window.count(signal) as f64 / window.ended as f64;
            let baseline_rate = &mut self.baseline_rates[signal as usize];
            *baseline_rate += RATE_SMOOTHING * (rate - *baseline_rate);
        }
    }

    fn hung_threshold(&self) -> Millis {
        if self.old_latencies.count() < MIN_SAMPLES / 2 {
            return DEFAULT_HUNG_THRESHOLD;
        }
        let longest = self.old_latencies.quantile(HUNG_QUANTILE);
        Millis(longest.0 * HUNG_FACTOR).max(MIN_HUNG_THRESHOLD)
    }

    const fn counts_mut(&mut self, arm: Arm) -> &mut Counts {
        match arm {
            Arm::Old => &mut self.totals.old,
            Arm::New => &mut self.totals.new,
        }
    }

    const fn latencies_mut(&mut self, arm: Arm) -> &mut Histogram {
        match arm {
            Arm::Old => &mut self.old_latencies,
            Arm::New => &mut self.new_latencies,
        }
    }
}
