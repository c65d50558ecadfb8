//! Checks invariants of a simulated cluster under random schedules of partitions, packet loss, pauses, restarts,
//! platform outages and catalogue updates.

#[path = "model/fleet.rs"]
mod fleet;

use base::{Incarnation, Millis, Name};
use bytes::Bytes;
use fleet::Fleet;
use member::item::{Body, Vm};
use member::node::State;
use member::{Acks, Generation};
use quickcheck::TestResult;

/// Kind, target and amount of one step of a schedule. Small numbers let quickcheck shrink failing schedules.
type Step = (u8, u8, u8);

const NODES: usize = 7;

fn apply_step(fleet: &mut Fleet, step_number: usize, step: Step) {
    let (kind, target, amount) = step;
    let index = usize::from(target) % NODES;
    match kind % 16 {
        0 | 1 => {
            fleet.update_catalogue();
        }
        2 => fleet.vms[index].partition = 1,
        3 => partition_nodes(fleet, target),
        4 => heal_partition(fleet),
        5 => fleet.restart(index),
        6 => fleet.vms[index].paused = true,
        7 => fleet.vms[index].paused = false,
        8 => fleet.platform_outage = amount % 2 == 0,
        9 => fleet.loss_percent = u32::from(amount) % 40,
        10 => put_mark(fleet, index, step_number),
        11 => put_veto(fleet, index, step_number),
        12 => fleet.run(u64::from(amount) * 400),
        13 => fleet.replace(index),
        14 => fleet.vms[index].drops_outbound = amount % 2 == 0,
        _ => {}
    }
    fleet.run(u64::from(amount) * 20);
}

fn partition_nodes(fleet: &mut Fleet, mask: u8) {
    for (index, vm) in fleet.vms.iter_mut().enumerate() {
        vm.partition = (mask >> (index % 8)) & 1;
    }
}

fn heal_partition(fleet: &mut Fleet) {
    for vm in &mut fleet.vms {
        vm.partition = 0;
    }
}

fn put_mark(fleet: &mut Fleet, index: usize, step_number: usize) {
    let name = Name::new(format!("vm-{}", step_number % 5));
    let incarnation = Incarnation(step_number as u64);
    let vm = Vm { name, incarnation };
    fleet.put(index, Body::Mark { vm, ended: false });
}

fn put_veto(fleet: &mut Fleet, index: usize, step_number: usize) {
    let evidence = Bytes::from_static(b"evidence");
    let id = step_number as u64;
    fleet.put(index, Body::Veto { id, evidence });
}

/// Checks the invariants that hold after every step.
fn check_invariants(fleet: &Fleet) {
    let now = Millis(fleet.now);
    let accepted_generation = accepted_generation(fleet);
    for vm in &fleet.vms {
        let is_increasing = vm.applied.windows(2).all(|pair| pair[0] < pair[1]);
        assert!(is_increasing, "a lower generation was applied: {:?}", vm.applied);
        check_learned_once(&vm.learned);
        if !vm.up || vm.paused {
            continue;
        }
        let Ok(serving) = vm.config.serving(now) else {
            continue;
        };
        assert!(
            serving >= accepted_generation,
            "{} serves generation {serving}, but generation {accepted_generation} is already in force",
            vm.node.name
        );
        let observer = fleet
            .vms
            .iter()
            .find(|it| it.up && !it.paused && it.seen_gone.contains(&vm.node.incarnation));
        if let Some(observer) = observer {
            panic!(
                "{} serves new work, but {} considers it gone",
                vm.node.name, observer.node.name
            );
        }
    }
}

/// Returns the highest generation that any serving node reports to be in force on all nodes.
fn accepted_generation(fleet: &Fleet) -> Generation {
    let now = Millis(fleet.now);
    let in_force = |vm: &fleet::Vm| Acks::new(vm.gossip.view(), vm.gossip.bodies()).in_force();
    let serving = fleet
        .vms
        .iter()
        .filter(|vm| vm.up && !vm.paused && vm.config.serving(now).is_ok());
    serving.filter_map(in_force).max().unwrap_or_default()
}

fn check_learned_once(learned: &[Body]) {
    let mut seen: Vec<(member::item::Key, u64)> = learned.iter().map(|it| (it.key(), it.version())).collect();
    seen.sort();
    for pair in seen.windows(2) {
        assert_ne!(pair[0], pair[1], "the same version was reported as learned twice");
    }
}

/// Checks that the cluster has converged some time after all faults ended.
fn check_converged(fleet: &Fleet) {
    let now = Millis(fleet.now);
    let first = &fleet.vms[0];
    for vm in &fleet.vms {
        assert_eq!(
            vm.config.applied(),
            Some(fleet.head),
            "{} has not applied the newest generation",
            vm.node.name
        );
        assert_eq!(
            vm.config.serving(now),
            Ok(fleet.head),
            "{} does not serve the newest generation",
            vm.node.name
        );
        for other in &fleet.vms {
            let member = vm.gossip.view().member(other.node.incarnation);
            let state = member.map(member::view::Member::state);
            assert_eq!(
                state,
                Some(State::Alive),
                "unexpected state of {} in the view of {}",
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
        assert_eq!(
            marks(vm),
            marks(first),
            "number of marks on {} differs from {}",
            vm.node.name,
            first.node.name
        );
    }
    assert_eq!(
        accepted_generation(fleet),
        fleet.head,
        "no node reports the newest generation to be in force"
    );
}

fn run_schedule(steps: Vec<Step>, seed: u64) -> TestResult {
    let mut fleet = Fleet::new(NODES, seed);
    fleet.run(10_000);
    for (step_number, step) in steps.into_iter().enumerate() {
        apply_step(&mut fleet, step_number, step);
        check_invariants(&fleet);
    }
    heal_partition(&mut fleet);
    fleet.platform_outage = false;
    fleet.loss_percent = 0;
    for vm in &mut fleet.vms {
        vm.paused = false;
        vm.drops_outbound = false;
    }
    for _ in 0..60 {
        fleet.run(1_000);
        check_invariants(&fleet);
    }
    check_converged(&fleet);
    TestResult::passed()
}

#[test]
fn random_schedules_preserve_invariants() {
    check::property(40, 25, run_schedule as fn(Vec<Step>, u64) -> TestResult);
}
