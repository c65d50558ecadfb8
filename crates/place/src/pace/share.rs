//! The share of prompts that prefer a replica.

use base::Millis;

/// Steps by which the speed doubles.
const STEPS_PER_DOUBLING: f64 = 2.0;
/// The share grows with this power of the speed. Fast replicas cache no more than others, so shares in proportion to the speed
/// evict parts that are still asked for.
const SHARE_EXPONENT: f64 = 0.5;
/// Maximum distance of the step from that of a usual replica.
const MAX_STEP: i8 = 2;
/// Distance between the step and the exact value from which on the step follows.
const HYSTERESIS: f64 = 0.75;
/// Minimum time between two steps of a replica, since each makes prompts prefer replicas that have not cached them.
const MIN_INTERVAL: Millis = Millis(20_000);

/// How many prompts prefer a replica, in coarse steps.
///
/// Load pattern: estimates that differ a little between nodes and change a little with each sample. If the share followed them, nodes
/// would disagree on the preferred replicas of prompts, and prompts would move back and forth.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Share {
    step: i8,
    previous: i8,
    changed_at: Option<Millis>,
}

impl Share {
    /// Follows the speed of the replica, as a multiple of the usual one. Returns whether the share changes.
    pub fn update(&mut self, now: Millis, speed: f64) -> bool {
        let limit = f64::from(MAX_STEP);
        let exact = (speed.log2() * STEPS_PER_DOUBLING).clamp(-limit, limit);
        let is_close = (exact - f64::from(self.step)).abs() < HYSTERESIS;
        let is_recent = self.changed_at.is_some_and(|at| now.since(at) < MIN_INTERVAL);
        if is_close || is_recent {
            return false;
        }
        self.previous = self.step;
        self.step = exact.round() as i8;
        self.changed_at = Some(now);
        true
    }

    /// The step now; 0 is that of a usual replica.
    pub const fn step(self) -> i8 {
        self.step
    }

    /// The step this long ago, as far as it changed at most once since.
    pub fn step_before(self, now: Millis, age: Millis) -> i8 {
        if self.changed_at.is_some_and(|at| now.since(at) < age) {
            self.previous
        } else {
            self.step
        }
    }
}

/// Index of a step, from 0.
pub(crate) const fn index(step: i8) -> usize {
    (step + MAX_STEP) as usize
}

/// Number of steps.
pub(crate) const STEPS: usize = 2 * MAX_STEP as usize + 1;

/// Share of a step, as a multiple of that of a usual replica.
pub(crate) fn factor(index: usize) -> f64 {
    ((index as f64 - f64::from(MAX_STEP)) / STEPS_PER_DOUBLING * SHARE_EXPONENT).exp2()
}
