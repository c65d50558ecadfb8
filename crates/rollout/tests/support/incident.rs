//! What goes wrong in a run.

use base::Name;
use quickcheck::{Arbitrary, Gen};
use rollout::Event;

use crate::kv::Fault;
use crate::world::World;

/// Something that happens, a few seconds after the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incident {
    Nothing,
    Outage,
    OutageEnds,
    AnswerLost,
    WriteLate,
    Killed,
    Frozen,
    Woken,
    Race,
    Undo,
    Cut,
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
            I::WriteLate,
        ];
        let rare = [
            I::Killed,
            I::Frozen,
            I::Woken,
            I::Race,
            I::Cut,
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

pub fn happen(world: &mut World, incident: Incident) {
    match incident {
        Incident::Nothing => {}
        Incident::Outage => world.kv.down = true,
        Incident::OutageEnds => world.kv.down = false,
        Incident::AnswerLost => world.kv.fault = Some(Fault::AnswerLost),
        Incident::WriteLate => world.kv.fault = Some(Fault::Late),
        Incident::Killed => drop(world.seats.pop()),
        Incident::Frozen => world.seats.iter_mut().for_each(|seat| seat.frozen = true),
        Incident::Woken => world.seats.iter_mut().for_each(|seat| seat.frozen = false),
        Incident::Race => declare(world, 2),
        Incident::Undo => undo(world),
        Incident::Cut => world.nodes[0].cut = true,
        Incident::Healed => world.nodes[0].cut = false,
    }
    if !world.is_held() && !world.kv.down {
        world.seat();
    }
}

pub fn declare(world: &mut World, operator: u64) {
    let plan = world.plan(operator);
    for seat in 0..world.seats.len() {
        world.send(seat, Event::Declared(Box::new(plan.clone())));
    }
}

fn undo(world: &mut World) {
    let Some(stored) = &world.kv.stored else { return };
    let rollout = stored.record.plan.id;
    for seat in 0..world.seats.len() {
        world.send(
            seat,
            Event::Undo {
                rollout,
                operator: Name::from("undoer"),
            },
        );
    }
}
