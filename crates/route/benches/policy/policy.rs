//! The compared routing policies.

use base::seed::Generator;
use rand::RngExt;

/// How a node selects an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A random live engine, without limits.
    Random,
    /// Live engines in rotation, without limits.
    RoundRobin,
    /// The live engine with the fewest requests from this node, without limits.
    LeastInFlight,
    /// The router without prefix affinity.
    NoAffinity,
    /// The router with prefix affinity.
    Router,
}

pub const POLICIES: [Policy; 5] = [
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::NoAffinity,
    Policy::Router,
];

impl Policy {
    pub const fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastInFlight => "least in flight",
            Self::NoAffinity => "no affinity",
            Self::Router => "router",
        }
    }

    pub const fn is_baseline(self) -> bool {
        matches!(self, Self::Random | Self::RoundRobin | Self::LeastInFlight)
    }
}

/// State of a baseline policy on one node.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    next: usize,
    pub in_flight: Vec<u32>,
}

impl Baseline {
    pub fn choose(&mut self, policy: Policy, live: &[usize], generator: &mut Generator) -> Option<usize> {
        if live.is_empty() {
            return None;
        }
        let start = generator.random_range(0..live.len());
        match policy {
            Policy::RoundRobin => {
                self.next += 1;
                Some(live[self.next % live.len()])
            }
            Policy::LeastInFlight => {
                let rotated = (0..live.len()).map(|index| live[(start + index) % live.len()]);
                rotated.min_by_key(|engine| self.in_flight[*engine])
            }
            Policy::Random | Policy::NoAffinity | Policy::Router => Some(live[start]),
        }
    }
}
