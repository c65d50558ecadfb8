//! What the versions truly do.

use base::Millis;
use base::seed::Generator;
use rollout::Arm;

use crate::world::draw;

/// Mean latency a route, in milliseconds.
pub const USUAL: [f64; 3] = [40.0, 80.0, 150.0];

/// A way of being bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Good,
    Fails,
    FailsSome,
    Slows,
    Hangs,
    /// From this time on half of the requests fail.
    FailsLater(Millis),
    /// From this time on requests take three times as long.
    SlowsLater(Millis),
    /// Above this many requests a second of the new version.
    UnderLoad(u32),
    /// On route 0 only.
    OneRoute,
}

/// The versions, and what befalls both alike.
#[derive(Clone, Copy, Debug)]
pub struct Truth {
    pub way: Way,
    /// A general slowdown with failures, from and to.
    pub trouble: Option<(Millis, Millis)>,
}

/// What one request will do.
#[derive(Clone, Copy, Debug)]
pub struct Fate {
    pub latency: Millis,
    pub failed: bool,
    /// Whether it was served by a version that is bad at this time, on this route, under this load.
    pub bad: bool,
}

impl Truth {
    pub fn fate(&self, now: Millis, arm: Arm, route: usize, load: u32, rng: &mut Generator) -> Fate {
        let usual = USUAL[route % USUAL.len()];
        let mut latency = usual * (0.5 - draw(rng).ln() * 0.5);
        let mut failing = 0.002;
        let mut bad = arm == Arm::New;
        match self.way {
            Way::Fails if bad => failing = 0.9,
            Way::FailsSome if bad => failing = 0.1,
            Way::Slows if bad => latency *= 3.0,
            Way::Hangs if bad && draw(rng) < 0.5 => latency = 600_000.0,
            Way::FailsLater(from) if bad && now >= from => failing = 0.5,
            Way::SlowsLater(from) if bad && now >= from => latency *= 3.0,
            Way::UnderLoad(limit) if bad && load > limit => {
                latency *= 4.0;
                failing = 0.2;
            }
            Way::OneRoute if bad && route == 0 => failing = 0.5,
            Way::Hangs => {}
            _ => bad = false,
        }
        if self.trouble.is_some_and(|(from, to)| now >= from && now < to) {
            latency *= 3.0;
            failing = f64::max(failing, 0.2);
        }
        Fate {
            latency: Millis(latency as u64),
            failed: draw(rng) < failing,
            bad: bad && arm == Arm::New,
        }
    }
}
