//! Random operations: the oracle checks each action, and all requests end once the simulation is drained.

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
