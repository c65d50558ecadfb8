//! Random schedules of cuts, losses, freezes, restarts, outages and edits over a fleet, against what must hold.

#[path = "model/fleet.rs"]
mod fleet;

use base::{Incarnation, Millis, Name};
use bytes::Bytes;
use fleet::Fleet;
use member::item::{Body, Vm};
use member::node::State;
use member::{Acks, Generation};
use quickcheck::TestResult;

/// A step of a schedule, drawn from small numbers so that it shrinks.
type Step = (u8, u8, u8);

const NODES: usize = 7;

fn apply(fleet: &mut Fleet, number: usize, step: Step) {
    let (kind, which, amount) = step;
    let index = usize::from(which) % NODES;
    match kind % 16 {
        0 | 1 => {
            fleet.edit();
        }
        2 => fleet.vms[index].side = 1,
        3 => split(fleet, which),
        4 => heal(fleet),
        5 => fleet.restart(index),
        6 => fleet.vms[index].frozen = true,
        7 => fleet.vms[index].frozen = false,
        8 => fleet.outage = amount % 2 == 0,
        9 => fleet.loss = u32::from(amount) % 40,
        10 => put_mark(fleet, index, number),
        11 => put_veto(fleet, index, number),
        12 => fleet.run(u64::from(amount) * 400),
        13 => fleet.replace(index),
        14 => fleet.vms[index].mute = amount % 2 == 0,
        _ => {}
    }
    fleet.run(u64::from(amount) * 20);
}

fn split(fleet: &mut Fleet, mask: u8) {
    for (index, vm) in fleet.vms.iter_mut().enumerate() {
        vm.side = (mask >> (index % 8)) & 1;
    }
}

fn heal(fleet: &mut Fleet) {
    for vm in &mut fleet.vms {
        vm.side = 0;
    }
}

fn put_mark(fleet: &mut Fleet, index: usize, number: usize) {
    let name = Name::new(format!("vm-{}", number % 5));
    let incarnation = Incarnation(number as u64);
    let vm = Vm { name, incarnation };
    fleet.put(index, Body::Mark { vm, ended: false });
}

fn put_veto(fleet: &mut Fleet, index: usize, number: usize) {
    let evidence = Bytes::from_static(b"evidence");
    let id = number as u64;
    fleet.put(index, Body::Veto { id, evidence });
}

/// What must hold after each step.
fn check(fleet: &Fleet) {
    let now = Millis(fleet.now);
    let accepted = accepted(fleet);
    for vm in &fleet.vms {
        let rising = vm.applied.windows(2).all(|pair| pair[0] < pair[1]);
        assert!(rising, "a lower generation was applied: {:?}", vm.applied);
        check_learned_once(&vm.learned);
        if !vm.up || vm.frozen {
            continue;
        }
        let Ok(serving) = vm.config.serving(now) else {
            continue;
        };
        assert!(
            serving >= accepted,
            "{} serves with {serving}, accepted is {accepted}",
            vm.node.name
        );
        let holder = fleet
            .vms
            .iter()
            .find(|it| it.up && !it.frozen && it.gone_here.contains(&vm.node.incarnation));
        if let Some(holder) = holder {
            panic!(
                "{} serves, though it is gone at {}",
                vm.node.name, holder.node.name
            );
        }
    }
}

/// The highest generation that any serving node says is in force everywhere.
fn accepted(fleet: &Fleet) -> Generation {
    let now = Millis(fleet.now);
    let in_force = |vm: &fleet::Vm| Acks::new(vm.gossip.view(), vm.gossip.bodies()).in_force();
    let serving = fleet
        .vms
        .iter()
        .filter(|vm| vm.up && !vm.frozen && vm.config.serving(now).is_ok());
    serving.filter_map(in_force).max().unwrap_or_default()
}

fn check_learned_once(learned: &[Body]) {
    let mut seen: Vec<(member::item::Key, u64)> = learned.iter().map(|it| (it.key(), it.version())).collect();
    seen.sort();
    for pair in seen.windows(2) {
        assert_ne!(pair[0], pair[1], "learned twice");
    }
}

/// What must hold once all is healed and time has passed.
fn check_converged(fleet: &Fleet) {
    let now = Millis(fleet.now);
    let first = &fleet.vms[0];
    for vm in &fleet.vms {
        assert_eq!(vm.config.applied(), Some(fleet.head), "{} lags", vm.node.name);
        assert_eq!(vm.config.serving(now), Ok(fleet.head), "{} refuses", vm.node.name);
        for other in &fleet.vms {
            let held = vm.gossip.view().member(other.node.incarnation);
            let state = held.map(member::view::Member::state);
            assert_eq!(
                state,
                Some(State::Alive),
                "{} at {}",
                other.node.name,
                vm.node.name
            );
        }
        let marks = |vm: &fleet::Vm| {
            vm.gossip
                .bodies()
                .filter(|it| matches!(it, Body::Mark { .. }))
                .count()
        };
        assert_eq!(marks(vm), marks(first), "marks at {}", vm.node.name);
    }
    assert_eq!(accepted(fleet), fleet.head, "not said to be in force");
}

fn schedule(steps: Vec<Step>, seed: u64) -> TestResult {
    let mut fleet = Fleet::new(NODES, seed);
    fleet.run(10_000);
    for (number, step) in steps.into_iter().enumerate() {
        apply(&mut fleet, number, step);
        check(&fleet);
    }
    heal(&mut fleet);
    fleet.outage = false;
    fleet.loss = 0;
    for vm in &mut fleet.vms {
        vm.frozen = false;
        vm.mute = false;
    }
    for _ in 0..60 {
        fleet.run(1_000);
        check(&fleet);
    }
    check_converged(&fleet);
    TestResult::passed()
}

#[test]
fn schedules_keep_what_must_hold() {
    check::property(40, 25, schedule as fn(Vec<Step>, u64) -> TestResult);
}
