//! Schedule of faults, derived from a seed alone and independent of any clock.

use base::seed::Generator;
use base::{Millis, Seed};
use rand::RngExt;
use standin::Faults;

use crate::proxy::Impairment;

/// Mean interval between the starts of two faults; short enough for several to overlap.
const MEAN_INTERVAL: Millis = Millis(700);
/// Shortest and longest duration of a fault. The longest exceeds every lease and timeout of the nodes.
const SPAN_RANGE_MS: [u64; 2] = [200, 6_000];
/// Longest delay of a connection in one direction.
const MAX_DELAY_MS: u64 = 400;

/// Label with which the plan's seed is derived from the seed of the run.
const SEED_LABEL: u64 = 1;

/// Numbers of nodes and replicas of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of replicas.
    pub replicas: usize,
}

/// A process that faults may kill or terminate. The store is excluded, since its records must persist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    /// Node with this index.
    Node(usize),
    /// Replica with this index.
    Replica(usize),
}

/// A connection path that runs through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    /// From callers to a node.
    Callers(usize),
    /// From a node to the store.
    Store(usize),
    /// From all nodes to a replica.
    Replica(usize),
}

/// A fault that lasts for a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL; the process is restarted after the period.
    Kill(Target),
    /// SIGSTOP for the period.
    Pause(Target),
    /// SIGTERM; the process is restarted once it has exited and the period is over.
    Leave(Target),
    /// SIGTERM while the process is paused.
    LeavePaused(Target),
    /// Rolling restart: each node in turn gets SIGTERM and is restarted.
    Roll,
    /// SIGSTOP of the store for the period.
    PauseStore,
    /// Faulty responses of the store.
    Store(Faults),
    /// Impaired connections.
    Link(Link, Impairment),
    /// Revocation of the second API key.
    Key,
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Start of the fault, relative to the start of the run.
    pub at: Millis,
    /// Duration.
    pub span: Millis,
    /// Fault.
    pub fault: Fault,
}

/// The faults of a run, ordered by start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Scheduled faults.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Returns the plan for the seed of a run.
    pub fn from_seed(seed: u64, length: Millis, size: Size) -> Self {
        Self::new(Seed(seed).derive(SEED_LABEL), length, size)
    }

    /// Draws the faults of a run whose faults begin within `length`.
    pub fn new(seed: Seed, length: Millis, size: Size) -> Self {
        let mut generator = seed.generator();
        let count = length.0.div_ceil(MEAN_INTERVAL.0);
        let mut steps: Vec<Step> = (0..count)
            .map(|_step| Step {
                at: Millis(generator.random_range(0..length.0)),
                span: Millis(generator.random_range(SPAN_RANGE_MS[0]..SPAN_RANGE_MS[1])),
                fault: Fault::draw(&mut generator, size),
            })
            .collect();
        steps.sort_by_key(|step| step.at);
        Self { steps }
    }
}

impl Fault {
    fn draw(generator: &mut Generator, size: Size) -> Self {
        let node = generator.random_range(0..size.nodes);
        let replica = generator.random_range(0..size.replicas);
        let target = if generator.random() {
            Target::Node(node)
        } else {
            Target::Replica(replica)
        };
        let link = match generator.random_range(0..3) {
            0 => Link::Callers(node),
            1 => Link::Store(node),
            _ => Link::Replica(replica),
        };
        match generator.random_range(0..16) {
            0 | 1 => Self::Kill(target),
            2 | 3 => Self::Pause(target),
            4 | 5 => Self::Leave(target),
            6 => Self::LeavePaused(target),
            7 => Self::Roll,
            8 => Self::PauseStore,
            9 | 10 => Self::Store(draw_store_faults(generator)),
            11 => Self::Key,
            _ => Self::Link(link, Impairment::draw(generator, MAX_DELAY_MS)),
        }
    }
}

fn draw_store_faults(generator: &mut Generator) -> Faults {
    let none = Faults::default();
    match generator.random_range(0..5) {
        0 => Faults { down: true, ..none },
        1 => Faults {
            lose_writes: true,
            ..none
        },
        2 => Faults { gone: true, ..none },
        3 => Faults { page: 1, ..none },
        _ => Faults {
            slow_ms: generator.random_range(50..1_500),
            ..none
        },
    }
}
