//! Nodes that follow a store through each other, against an oracle that knows the store's history.
//!
//! Messages are delayed and lost, nodes freeze and restart, links are cut one way, the store turns nodes away, forgets
//! its history and is restored from copies that lack its latest changes. Whenever a node counts its view as confirmed, the
//! view must be a state of one era of the store, of the one in which the node sent the question or a later one, and contain
//! every change that the store had accepted then.

#[path = "cluster/message.rs"]
mod message;
#[path = "cluster/node.rs"]
mod node;
#[path = "cluster/store.rs"]
mod store;
#[path = "cluster/world.rs"]
mod world;

use world::World;

/// Time that a schedule runs with faults, in milliseconds.
const FAULTY_MS: u64 = 20_000;
/// Time after the last fault within which every node must have a confirmed view, in milliseconds.
const RECOVERY_MS: u64 = 12_000;
/// Maximum age of a view once nothing fails, in milliseconds.
const MAX_AGE_MS: u64 = 3_000;

#[test]
fn confirmed_views_are_complete() {
    const SCHEDULES: u64 = 150;
    check::property(SCHEDULES, 10, is_complete as fn(u64) -> bool);
}

fn is_complete(seed: u64) -> bool {
    let mut world = World::new(seed);
    world.run_with_faults(FAULTY_MS);
    world.heal();
    world.run(RECOVERY_MS);
    let outdated = world.ages().into_iter().find(|(_, age)| *age > MAX_AGE_MS);
    if let Some((node, age)) = outdated {
        eprintln!("node {node}: view confirmed {age} ms ago");
    }
    outdated.is_none()
}

#[test]
fn few_nodes_call_the_store() {
    let mut world = World::new(1);
    world.run(5_000);
    let before = world.store_calls();
    world.run(20_000);
    let calls = world.store_calls() - before;
    // One reader, which makes at most four calls a second.
    assert!(calls <= 80, "{calls} calls in 20 s");
    assert!(world.confirmations() > 0);
}
