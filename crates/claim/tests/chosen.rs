//! Chosen keys: random schedules of several ledgers over a model of the key-value service, checked against the set of
//! dispatched runs; single scenarios; limits of log and memory.

mod chosen {
    mod cases;
    pub mod kv;
    mod log;
    pub mod node;
    pub mod op;
    pub mod world;
}

use chosen::op::Op;
use chosen::world::{self, World};

/// Number of schedules.
const SCHEDULES: u64 = 6_000;
/// Maximum number of operations per schedule.
const STEPS: usize = 150;

/// Actions and reasons that the schedules must cover, so that the test cannot pass vacuously.
const COVERED: [&str; 17] = [
    "run",
    "join",
    "claimed-elsewhere",
    "dispatch-granted",
    "dispatch-denied",
    "recorded",
    "delete",
    "swap-base",
    "key-mismatch",
    "not-started",
    "interrupted",
    "record-dropped",
    "keys-full",
    "node-stopping",
    "claim-outage",
    "claim-deadline",
    "rerun-after-retention",
];

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
