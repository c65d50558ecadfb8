//! What goes wrong when: drawn from a seed, without a clock.

use base::seed::Generator;
use base::{Millis, Seed};
use rand::RngExt;
use standin::Faults;

use crate::proxy::Impairment;

/// Mean span between the starts of two faults: several are under way at once.
const MEAN_INTERVAL: Millis = Millis(700);
/// Shortest and longest span of a fault; the longest is beyond every lease and every timeout of the nodes.
const SPAN_RANGE_MS: [u64; 2] = [200, 6_000];
/// Longest delay on a connection, one way.
const MAX_DELAY_MS: u64 = 400;

/// Label of the plan among the parts that draw from a run's seed.
const SEED_LABEL: u64 = 1;

/// How many processes there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Nodes.
    pub nodes: usize,
    /// Replicas.
    pub replicas: usize,
}

/// A process that is not the store: its records must last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    /// A node.
    Node(usize),
    /// A replica.
    Replica(usize),
}

/// A way on which a proxy stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    /// From callers to a node.
    Callers(usize),
    /// From a node to the store.
    Store(usize),
    /// From all nodes to a replica.
    Replica(usize),
}

/// Something that goes wrong for a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Ended by SIGKILL; started again after the span.
    Kill(Target),
    /// Stopped by SIGSTOP for the span.
    Pause(Target),
    /// Told to end by SIGTERM; started again once it has ended, after the span at the earliest.
    Leave(Target),
    /// Told to end while it is paused.
    LeavePaused(Target),
    /// All nodes are told to end and started again, one after another.
    Roll,
    /// The store's process is paused.
    PauseStore,
    /// The store answers badly.
    Store(Faults),
    /// Connections suffer.
    Link(Link, Impairment),
    /// The second API key is taken away.
    Key,
}

/// A fault at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the start.
    pub at: Millis,
    /// How long it lasts.
    pub span: Millis,
    /// What goes wrong.
    pub fault: Fault,
}

/// The faults of one run, by time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The faults.
    pub steps: Vec<Step>,
}

impl Plan {
    /// The plan of a run's seed.
    pub fn from_seed(seed: u64, length: Millis, size: Size) -> Self {
        Self::new(Seed(seed).derive(SEED_LABEL), length, size)
    }

    /// Draws the faults of a run of this length.
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
