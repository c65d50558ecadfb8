//! Measures, in virtual time, how long a catalogue change takes to reach all nodes, and the traffic per node. Prints a
//! table.
//!
//! `cargo bench -p member --bench spread [-- NODES…]`

#[path = "model/net.rs"]
mod net;

use base::Millis;
use member::Acks;
use member::node::State;
use net::Net;

/// Time between two changes, in milliseconds: 12,000 changes per day.
const CHANGE_INTERVAL: u64 = 7_200;
const CHANGES: u64 = 10;
const SEEDS: [u64; 1] = [1];
/// Printed for a change that had not reached all nodes before the next one.
const NOT_APPLIED: u64 = 99_999;

struct Size {
    nodes: usize,
    zones: usize,
    regions: usize,
}

const SIZES: [Size; 4] = [
    Size {
        nodes: 8,
        zones: 4,
        regions: 1,
    },
    Size {
        nodes: 100,
        zones: 8,
        regions: 2,
    },
    Size {
        nodes: 500,
        zones: 23,
        regions: 6,
    },
    Size {
        nodes: 2_000,
        zones: 23,
        regions: 6,
    },
];

#[derive(Default)]
struct Latencies {
    applied: Vec<u64>,
    in_force: Vec<u64>,
}

fn main() {
    let selected: Vec<usize> = std::env::args().filter_map(|it| it.parse().ok()).collect();
    println!(
        "nodes seed | applied everywhere ms p50 max | reported in force ms p50 max | B/s per node mean max | frames/s per node"
    );
    for size in SIZES
        .iter()
        .filter(|it| selected.is_empty() || selected.contains(&it.nodes))
    {
        for seed in SEEDS {
            measure_size(size, seed);
        }
    }
}

fn measure_size(size: &Size, seed: u64) {
    let mut net = Net::new(size.nodes, size.zones, size.regions, seed);
    net.run(20_000);
    reset_counters(&mut net);
    let mut latencies = Latencies::default();
    for _ in 0..CHANGES {
        measure_change(&mut net, &mut latencies);
    }
    let seconds = CHANGES * CHANGE_INTERVAL / 1_000;
    let nodes = net.vms.len() as u64;
    let total: u64 = net.vms.iter().map(|vm| vm.bytes).sum();
    let max_bytes = net.vms.iter().map(|vm| vm.bytes).max().unwrap_or(0);
    println!(
        "{nodes:5} {seed:4} | {:6} {:6} | {:6} {:6} | {:6} {:6} | {:5.1} |",
        median(&mut latencies.applied),
        latencies.applied.iter().max().unwrap_or(&0),
        median(&mut latencies.in_force),
        latencies.in_force.iter().max().unwrap_or(&0),
        total / nodes / seconds,
        max_bytes / seconds,
        net.frames as f64 / (nodes * seconds) as f64,
    );
    net.bytes_by_kind.sort_by(|_, a, _, b| b.cmp(a));
    for (kind, bytes) in &net.bytes_by_kind {
        println!("      {kind:10} {:6} B/s sent per node", bytes / nodes / seconds);
    }
    if size.regions > 1 {
        measure_partition(&mut net);
    }
}

fn reset_counters(net: &mut Net) {
    net.bytes_by_kind.clear();
    net.frames = 0;
    for vm in &mut net.vms {
        vm.bytes = 0;
    }
}

/// Makes one change and measures its progress until the next one is due.
fn measure_change(net: &mut Net, latencies: &mut Latencies) {
    const STEP: u64 = 100;
    net.head.0 += 1;
    let start = net.now;
    let mut in_force = None;
    while net.now < start + CHANGE_INTERVAL {
        net.run(STEP);
        let watcher = &net.vms[0].gossip;
        if in_force.is_none() && Acks::new(watcher.view(), watcher.bodies()).in_force() >= Some(net.head) {
            in_force = Some(net.now - start);
        }
    }
    let is_applied = net.vms.iter().all(|vm| vm.applied >= net.head);
    let last_applied = net.vms.iter().map(|vm| vm.applied_at).max().unwrap_or(0);
    latencies.applied.push(if is_applied {
        last_applied - start
    } else {
        NOT_APPLIED
    });
    latencies.in_force.push(in_force.unwrap_or(NOT_APPLIED));
}

fn median(values: &mut [u64]) -> u64 {
    values.sort_unstable();
    values[values.len() / 2]
}

/// Partitions one region from the others, changes the catalogue, heals the partition, and measures the time until all
/// nodes agree again.
fn measure_partition(net: &mut Net) {
    const PARTITION_DURATION: u64 = 25_000;
    const STEP: u64 = 250;
    const LIMIT: u64 = 60_000;
    reset_counters(net);
    net.partitioned_region = Some(1);
    net.head.0 += 1;
    net.run(PARTITION_DURATION);
    let suspect_count = count_in_state(net, State::Suspect);
    let bytes: u64 = net.vms.iter().map(|vm| vm.bytes).sum();
    let nodes = net.vms.len() as u64;
    println!(
        "      region partitioned for 25 s: {suspect_count} suspect at node 0, {} B/s per node",
        bytes / nodes / (PARTITION_DURATION / 1_000)
    );
    reset_counters(net);
    net.partitioned_region = None;
    let start = net.now;
    let mut applied = None;
    while net.now < start + LIMIT {
        net.run(STEP);
        if applied.is_none() && net.vms.iter().all(|vm| vm.applied >= net.head) {
            applied = Some(net.now - start);
        }
        let sees_all_alive = |vm: &net::Vm| vm.gossip.view().present().all(|it| it.state() == State::Alive);
        if applied.is_some() && net.vms.iter().all(sees_all_alive) {
            break;
        }
    }
    let elapsed = net.now - start;
    let bytes: u64 = net.vms.iter().map(|vm| vm.bytes).sum();
    let max_bytes = net.vms.iter().map(|vm| vm.bytes).max().unwrap_or(0);
    println!(
        "      healed: applied everywhere after {applied:?} ms, all alive everywhere after {elapsed} ms, {} B per node, max {max_bytes} B, majority {}",
        bytes / nodes,
        net.vms[0].gossip.reach(Millis(net.now)).is_majority(),
    );
}

fn count_in_state(net: &Net, state: State) -> usize {
    let view = net.vms[0].gossip.view();
    view.present().filter(|it| it.state() == state).count()
}
