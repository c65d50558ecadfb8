//! Faults and operator actions injected into a run.

use base::Name;
use quickcheck::{Arbitrary, Gen};
use rollout::Event;

use crate::kv::Fault;
use crate::simulation::Simulation;

/// An incident. Incidents follow each other at intervals of a few seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incident {
    Nothing,
    Outage,
    OutageEnds,
    AnswerLost,
    WriteDelayed,
    Killed,
    Paused,
    Resumed,
    Race,
    Undo,
    Partitioned,
    Healed,
}

impl Arbitrary for Incident {
    fn arbitrary(g: &mut Gen) -> Self {
        use Incident as I;
        let often = [
            I::Nothing,
            I::Outage,
            I::OutageEnds,
            I::OutageEnds,
            I::AnswerLost,
            I::WriteDelayed,
        ];
        let rare = [
            I::Killed,
            I::Paused,
            I::Resumed,
            I::Race,
            I::Partitioned,
            I::Healed,
            I::Undo,
            I::Nothing,
        ];
        let all = if bool::arbitrary(g) { &often[..] } else { &rare[..] };
        *g.choose(all).unwrap_or(&I::Nothing)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let simpler = (*self != Self::Nothing).then_some(Self::Nothing);
        Box::new(simpler.into_iter())
    }
}

pub fn apply_incident(simulation: &mut Simulation, incident: Incident) {
    match incident {
        Incident::Nothing => {}
        Incident::Outage => simulation.kv.down = true,
        Incident::OutageEnds => simulation.kv.down = false,
        Incident::AnswerLost => simulation.kv.fault = Some(Fault::AnswerLost),
        Incident::WriteDelayed => simulation.kv.fault = Some(Fault::Delayed),
        Incident::Killed => drop(simulation.holders.pop()),
        Incident::Paused => simulation
            .holders
            .iter_mut()
            .for_each(|holder| holder.paused = true),
        Incident::Resumed => simulation
            .holders
            .iter_mut()
            .for_each(|holder| holder.paused = false),
        Incident::Race => declare(simulation, 2),
        Incident::Undo => undo(simulation),
        Incident::Partitioned => simulation.nodes[0].partitioned = true,
        Incident::Healed => simulation.nodes[0].partitioned = false,
    }
    if !simulation.is_held() && !simulation.kv.down {
        simulation.add_holder();
    }
}

pub fn declare(simulation: &mut Simulation, operator: u64) {
    let plan = simulation.plan(operator);
    for holder in 0..simulation.holders.len() {
        simulation.send(holder, Event::Declared(Box::new(plan.clone())));
    }
}

fn undo(simulation: &mut Simulation) {
    let Some(stored) = &simulation.kv.stored else {
        return;
    };
    let rollout = stored.record.plan.id;
    for holder in 0..simulation.holders.len() {
        simulation.send(
            holder,
            Event::Undo {
                rollout,
                operator: Name::from("undoer"),
            },
        );
    }
}
