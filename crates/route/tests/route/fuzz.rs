//! Random runs: each step is checked by the oracle, and all ends once nothing runs any more.

use crate::op::Op;
use crate::simulation::Simulation;

#[test]
fn every_action_agrees_with_the_oracle() {
    fn holds(seed: u64, ops: Vec<Op>) -> bool {
        let mut simulation = Simulation::new(seed);
        for op in ops {
            simulation.run(op);
        }
        simulation.drain();
        true
    }
    check::property(3_000, 150, holds as fn(u64, Vec<Op>) -> bool);
}
