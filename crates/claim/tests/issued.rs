//! Random schedules of issued keys on several tables, checked against the set of dispatched runs.

mod issued {
    pub mod op;
    pub mod world;
}

use issued::op::Op;
use issued::world::{self, World};

/// Actions and reasons that the schedules must cover, so that the test cannot pass vacuously.
const COVERED: [&str; 16] = [
    "run",
    "join",
    "forward",
    "dispatch-granted",
    "dispatch-denied",
    "recorded",
    "not-started",
    "interrupted",
    "record-dropped",
    "key-expired",
    "keys-full",
    "key-crowded",
    "node-stopping",
    "home-gone",
    "handover-partial",
    "never-run",
];

/// Number of schedules.
const SCHEDULES: u64 = 4_000;
/// Maximum number of operations per schedule.
const STEPS: usize = 120;

#[test]
fn each_key_runs_once_and_repeats_get_its_true_result() {
    fn property(ops: Vec<Op>) -> bool {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
        }
        world.finish();
        true
    }
    check::property(SCHEDULES, STEPS, property as fn(Vec<Op>) -> bool);
    for label in COVERED {
        assert!(world::covered(label), "no schedule covered `{label}`");
    }
}
