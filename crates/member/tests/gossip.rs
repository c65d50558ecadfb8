//! Checks invariants of a simulated cluster under random schedules of partitions, packet loss, pauses, restarts,
//! platform outages and catalogue updates.

#[path = "model/cluster.rs"]
mod cluster;

use base::{Incarnation, Millis, Name};
use bytes::Bytes;
use cluster::Cluster;
use member::item::{Body, Vm};
use member::node::State;
use member::{Acks, Generation};
use quickcheck::TestResult;

/// Kind, target and amount of one step of a schedule. Small numbers let quickcheck shrink failing schedules.
type Step = (u8, u8, u8);

const NODES: usize = 7;

fn apply_step(cluster: &mut Cluster, step_number: usize, step: Step) {
    let (kind, target, amount) = step;
    let index = usize::from(target) % NODES;
    match kind % 16 {
        0 | 1 => {
            cluster.update_catalogue();
        }
        2 => cluster.vms[index].partition = 1,
        3 => partition_nodes(cluster, target),
        4 => heal_partition(cluster),
        5 => cluster.restart(index),
        6 => cluster.vms[index].paused = true,
        7 => cluster.vms[index].paused = false,
        8 => cluster.platform_outage = amount % 2 == 0,
        9 => cluster.loss_percent = u32::from(amount) % 40,
        10 => put_mark(cluster, index, step_number),
        11 => put_veto(cluster, index, step_number),
        12 => cluster.run(u64::from(amount) * 400),
        13 => cluster.replace(index),
        14 => cluster.vms[index].drops_outbound = amount % 2 == 0,
        _ => {}
    }
    cluster.run(u64::from(amount) * 20);
}

fn partition_nodes(cluster: &mut Cluster, mask: u8) {
    for (index, vm) in cluster.vms.iter_mut().enumerate() {
        vm.partition = (mask >> (index % 8)) & 1;
    }
}

fn heal_partition(cluster: &mut Cluster) {
    for vm in &mut cluster.vms {
        vm.partition = 0;
    }
}

fn put_mark(cluster: &mut Cluster, index: usize, step_number: usize) {
    let name = Name::new(format!("vm-{}", step_number % 5));
    let incarnation = Incarnation(step_number as u64);
    let vm = Vm { name, incarnation };
    cluster.publish(index, Body::Mark { vm, ended: false });
}

fn put_veto(cluster: &mut Cluster, index: usize, step_number: usize) {
    let evidence = Bytes::from_static(b"evidence");
    let id = step_number as u64;
    cluster.publish(index, Body::Veto { id, evidence });
}

/// Checks the invariants that hold after every step.
fn check_invariants(cluster: &Cluster) {
    let now = Millis(cluster.now);
    let accepted_generation = accepted_generation(cluster);
    for vm in &cluster.vms {
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
        let observer = cluster
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
fn accepted_generation(cluster: &Cluster) -> Generation {
    let now = Millis(cluster.now);
    let in_force = |vm: &cluster::Vm| Acks::new(vm.gossip.view(), vm.gossip.bodies()).in_force();
    let serving = cluster
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
fn check_converged(cluster: &Cluster) {
    let now = Millis(cluster.now);
    let first = &cluster.vms[0];
    for vm in &cluster.vms {
        assert_eq!(
            vm.config.applied(),
            Some(cluster.head),
            "{} has not applied the newest generation",
            vm.node.name
        );
        assert_eq!(
            vm.config.serving(now),
            Ok(cluster.head),
            "{} does not serve the newest generation",
            vm.node.name
        );
        for other in &cluster.vms {
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
        let marks = |vm: &cluster::Vm| {
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
        accepted_generation(cluster),
        cluster.head,
        "no node reports the newest generation to be in force"
    );
}

fn run_schedule(steps: Vec<Step>, seed: u64) -> TestResult {
    let mut cluster = Cluster::new(NODES, seed);
    cluster.run(10_000);
    for (step_number, step) in steps.into_iter().enumerate() {
        apply_step(&mut cluster, step_number, step);
        check_invariants(&cluster);
    }
    heal_partition(&mut cluster);
    cluster.platform_outage = false;
    cluster.loss_percent = 0;
    for vm in &mut cluster.vms {
        vm.paused = false;
        vm.drops_outbound = false;
    }
    for _ in 0..60 {
        cluster.run(1_000);
        check_invariants(&cluster);
    }
    check_converged(&cluster);
    TestResult::passed()
}

#[test]
fn random_schedules_preserve_invariants() {
    check::property(40, 25, run_schedule as fn(Vec<Step>, u64) -> TestResult);
}
