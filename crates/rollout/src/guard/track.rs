//! What a guard knows of one route.

use base::Millis;

use crate::guard::flight::Flight;
use crate::guard::limits::Limits;
use crate::guard::probe::{Change, Probe};
use crate::guard::shift::Shift;
use crate::guard::sketch::Sketch;
use crate::summary::RouteTotals;
use crate::{Arm, Assignment, Counts, Evidence, SequentialTest, Share, Signal};

/// Latencies needed before a quantile means anything.
const ENOUGH: u32 = 40;
/// Latencies from which on old ones fade: fewer would leave the quantile to chance.
const PLENTY: u32 = 400;
/// Quantile beyond which a request is slow, per mille.
const SLOW_QUANTILE: u32 = 900;
/// Quantile that stands for the longest the old version takes, per mille.
const LONGEST_QUANTILE: u32 = 999;
/// How many times the longest latency a hung request takes.
const HUNG_TIMES: u64 = 4;
/// A request is not hung before this time.
const HUNG_FLOOR: Millis = Millis(1_000);
/// A request is hung after this time if the old version's latencies are unknown.
const HUNG_UNKNOWN: Millis = Millis(30_000);
/// Weight of the latest window in the usual rates.
const USUAL_WEIGHT: f64 = 0.2;

/// One request's end, with what it showed.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// Its assignment.
    pub assignment: Assignment,
    /// When it started.
    pub started: Millis,
    /// When it ended.
    pub ended: Millis,
    /// Whether it failed.
    pub failed: bool,
}

/// Evidence on one route, of fixed size.
#[derive(Clone, Debug)]
pub struct Track {
    /// Counts and ratios since the rollout's start.
    pub entry: RouteTotals,
    /// Where the comparison on suspicion stands.
    pub probe: Probe,
    tests: [SequentialTest; 3],
    shifts: [Shift; 3],
    usual: [f64; 3],
    seen: Counts,
    old: Sketch,
    new: Sketch,
    slow_over: Option<Millis>,
    flight: Flight,
}

impl Default for Track {
    fn default() -> Self {
        Self {
            entry: RouteTotals::default(),
            probe: Probe::default(),
            tests: [SequentialTest::default(); 3],
            shifts: [Shift::default(); 3],
            usual: [0.0; 3],
            seen: Counts::default(),
            old: Sketch::default(),
            new: Sketch::default(),
            slow_over: None,
            flight: Flight::new(HUNG_UNKNOWN),
        }
    }
}

impl Track {
    /// Starts a rollout's comparison; what is known of the old version stays.
    pub fn begin(&mut self) {
        let old = std::mem::take(&mut self.old);
        *self = Self {
            old,
            ..Self::default()
        };
        self.refresh();
        self.flight = Flight::new(self.hung_after());
    }

    /// The new version has become the one that serves.
    pub fn promote(&mut self) {
        self.old = std::mem::take(&mut self.new);
        self.begin();
    }

    /// A request outside any rollout ended.
    pub const fn learn(&mut self, latency: Millis) {
        self.old.record(latency);
    }

    /// A request starts.
    pub const fn start(&mut self, now: Millis, assignment: Assignment) {
        self.counts(assignment.arm).started += 1;
        self.flight.start(now, assignment.arm, assignment.share);
    }

    /// A request ends; whether it added to the evidence.
    pub fn end(&mut self, end: End) -> bool {
        let Assignment { arm, share, .. } = end.assignment;
        if self.flight.end(end.started, arm) {
            return false;
        }
        let latency = end.ended.since(end.started);
        self.counts(arm).ended += 1;
        self.sketch(arm).record(latency);
        let slow = self.slow_over.is_some_and(|bound| latency > bound);
        let hung = latency > self.flight.threshold();
        self.signal(Signal::Failed, arm, share, end.failed);
        self.signal(Signal::Slow, arm, share, slow);
        self.signal(Signal::Hung, arm, share, hung);
        end.failed || slow || hung
    }

    /// Counts requests that have been in flight for too long.
    pub fn hang(&mut self, now: Millis) {
        for hung in self.flight.hung(now) {
            self.counts(hung.arm).ended += u64::from(hung.requests);
            for _ in 0..hung.requests {
                self.signal(Signal::Hung, hung.arm, hung.share, true);
            }
        }
    }

    /// Learns thresholds and usual rates from the window that ends, and lets old latencies fade.
    pub fn refresh(&mut self) {
        self.refresh_usual();
        if self.old.count() >= ENOUGH {
            self.slow_over = Some(self.old.quantile(SLOW_QUANTILE));
        }
        for sketch in [&mut self.old, &mut self.new] {
            if sketch.count() >= PLENTY {
                sketch.fade();
            }
        }
        if self.flight.threshold() == HUNG_UNKNOWN && self.hung_after() != HUNG_UNKNOWN {
            self.flight = Flight::new(self.hung_after());
        }
    }

    /// The finding against the new version, if the evidence of one signal exceeds `sufficient`.
    pub fn finding(&self, sufficient: f64) -> Option<Evidence> {
        let signal = Signal::ALL
            .into_iter()
            .find(|signal| self.evidence(*signal) >= sufficient)?;
        Some(Evidence::Compared {
            signal,
            old: self.entry.old,
            new: self.entry.new,
        })
    }

    /// The signal that has become frequent on the new version.
    pub fn suspect(&self) -> Option<Signal> {
        let mut signals = Signal::ALL.into_iter();
        signals.find(|signal| self.shifts[*signal as usize].suspects())
    }

    /// Starts or ends a comparison on suspicion, if there is cause.
    pub fn weigh_probe(
        &mut self,
        now: Millis,
        suspect: Option<Signal>,
        share: Share,
        limits: &Limits,
    ) -> Option<Change> {
        let change = self.probe.step(now, suspect, share, limits)?;
        self.shifts = [Shift::default(); 3];
        self.entry.probing = u32::from(matches!(change, Change::Hold(_)));
        Some(change)
    }

    fn evidence(&self, signal: Signal) -> f64 {
        let index = signal as usize;
        self.tests[index].evidence(&self.entry.ratios[index])
    }

    fn signal(&mut self, signal: Signal, arm: Arm, share: Share, shown: bool) {
        let index = signal as usize;
        if arm == Arm::New {
            self.shifts[index].observe(shown, self.usual[index], signal);
        }
        if !shown {
            return;
        }
        self.counts(arm).add(signal, 1);
        self.entry.ratios[index].observe(arm, share);
        if self.tests[index].restart(&self.entry.ratios[index]) {
            self.probe.acquit(signal);
        }
    }

    fn refresh_usual(&mut self) {
        let window = self.entry.old.since(&self.seen);
        if window.ended < u64::from(ENOUGH) {
            return;
        }
        self.seen = self.entry.old;
        for signal in Signal::ALL {
            let rate = window.count(signal) as f64 / window.ended as f64;
            let usual = &mut self.usual[signal as usize];
            *usual += USUAL_WEIGHT * (rate - *usual);
        }
    }

    fn hung_after(&self) -> Millis {
        if self.old.count() < ENOUGH / 2 {
            return HUNG_UNKNOWN;
        }
        let longest = self.old.quantile(LONGEST_QUANTILE);
        Millis(longest.0 * HUNG_TIMES).max(HUNG_FLOOR)
    }

    const fn counts(&mut self, arm: Arm) -> &mut Counts {
        match arm {
            Arm::Old => &mut self.entry.old,
            Arm::New => &mut self.entry.new,
        }
    }

    const fn sketch(&mut self, arm: Arm) -> &mut Sketch {
        match arm {
            Arm::Old => &mut self.old,
            Arm::New => &mut self.new,
        }
    }
}
