//! Resident memory of a router by number of replicas and requests in flight.

use std::fs;

use base::{Millis, Name, Seed};
use route::event::Event;
use route::replica::Spec;
use route::{Arrival, CallKey, Prefix, Router, endpoint, workspace};

/// Size of a page in `/proc/self/statm` on the measured machines.
const PAGE_BYTES: u64 = 4_096;

fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn router(replicas: u32, calls: u32) -> Router {
    let mut router = Router::new(Seed(1));
    let endpoint = router.add_endpoint(endpoint::Settings::new(Millis(500)).with_affinity(true));
    let workspace = router.add_workspace(workspace::Settings::new(u32::MAX));
    let mut actions = Vec::new();
    for index in 0..replicas {
        let spec = Spec {
            endpoint,
            zone: router.zone_key(&Name::from(format!("zone-{}", index % 4))),
            version: router.version_key(&Name::from("v1")),
            capacity: 16,
            identity: u64::from(index),
        };
        router.add_replica(Millis(0), spec, &mut actions);
    }
    for call in 0..u64::from(calls) {
        let arrival =
            Arrival::new(CallKey(call), endpoint, workspace, Millis(5_000)).with_prefix(Prefix(call));
        router.step(Millis(1), Event::Arrive(arrival), &mut actions);
        actions.clear();
    }
    router
}

fn main() {
    println!("{:>9} {:>9} {:>12}", "replicas", "calls", "KiB added");
    // In ascending order, as smaller routers would otherwise reuse memory that larger ones have freed.
    let mut kept = Vec::new();
    for (replicas, calls) in [
        (100, 0),
        (1_000, 0),
        (12_000, 0),
        (12_000, 10_000),
        (12_000, 100_000),
    ] {
        let before = resident();
        kept.push(router(replicas, calls));
        let added = resident().saturating_sub(before) / 1_024;
        println!("{replicas:>9} {calls:>9} {added:>12}");
    }
}
