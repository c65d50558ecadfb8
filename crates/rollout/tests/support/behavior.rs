//! Actual behavior of the simulated versions.

use base::Millis;
use base::seed::Generator;
use rollout::Arm;

use crate::simulation::uniform;

/// Mean latency by route, in milliseconds.
pub const MEAN_LATENCY_MS: [f64; 3] = [40.0, 80.0, 150.0];

/// A defect of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    Fails,
    FailsSome,
    Slows,
    Hangs,
    /// Half of the requests fail from this time on.
    FailsLater(Millis),
    /// Requests take three times as long from this time on.
    SlowsLater(Millis),
    /// Requests fail and slow down above this many requests per second to the new version.
    UnderLoad(u32),
    /// Requests fail on route 0 only.
    OneRoute,
}

/// Defect of the new version, and a disturbance of both versions.
#[derive(Clone, Copy, Debug)]
pub struct Behavior {
    pub defect: Defect,
    /// Start and end of a general slowdown with failures.
    pub disturbance: Option<(Millis, Millis)>,
}

/// Outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub latency: Millis,
    pub failed: bool,
    /// Whether it was served by the new version while the defect had effect on this route.
    pub bad: bool,
}

impl Behavior {
    pub fn outcome(&self, now: Millis, arm: Arm, route: usize, load: u32, rng: &mut Generator) -> Outcome {
        let mean_latency_ms = MEAN_LATENCY_MS[route % MEAN_LATENCY_MS.len()];
        let mut latency = mean_latency_ms * (0.5 - uniform(rng).ln() * 0.5);
        let mut failure_rate = 0.002;
        let mut bad = arm == Arm::New;
        match self.defect {
            Defect::Fails if bad => failure_rate = 0.9,
            Defect::FailsSome if bad => failure_rate = 0.1,
            Defect::Slows if bad => latency *= 3.0,
            Defect::Hangs if bad && uniform(rng) < 0.5 => latency = 600_000.0,
            Defect::FailsLater(from) if bad && now >= from => failure_rate = 0.5,
            Defect::SlowsLater(from) if bad && now >= from => latency *= 3.0,
            Defect::UnderLoad(limit) if bad && load > limit => {
                latency *= 4.0;
                failure_rate = 0.2;
            }
            Defect::OneRoute if bad && route == 0 => failure_rate = 0.5,
            Defect::Hangs => {}
            _ => bad = false,
        }
        if self.disturbance.is_some_and(|(from, to)| now >= from && now < to) {
            latency *= 3.0;
            failure_rate = f64::max(failure_rate, 0.2);
        }
        Outcome {
            latency: Millis(latency as u64),
            failed: uniform(rng) < failure_rate,
            bad: bad && arm == Arm::New,
        }
    }
}
