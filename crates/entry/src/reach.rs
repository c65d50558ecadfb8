//! Connects to replicas while none may be reachable, so that requests are sent directly again as soon as one is.

use std::sync::Arc;
use std::time::Duration;

use place::{Destination, Pool};
use tokio::time::interval;

use crate::Shared;
use crate::lifecycle::Phase;
use crate::upstream::{Connection, REPLICA_LIVENESS};

/// Interval at which it is checked whether replicas have to be connected to.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs until the node stops.
pub async fn run(shared: Arc<Shared>) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _tick = ticks.tick() => {}
            () = shared.lifecycle.reached(Phase::Ended) => return,
        }
        let now = shared.now();
        let probes = shared.with_pools(|pools| {
            let suspected_since = pools.values().filter_map(Pool::cut_off_since).max();
            let due = pools.iter_mut().flat_map(|(endpoint, pool)| {
                let endpoint = Arc::clone(endpoint);
                let probes = pool.take_probes(now, suspected_since);
                probes
                    .into_iter()
                    .map(move |probe| (Arc::clone(&endpoint), probe))
            });
            due.collect::<Vec<(Arc<str>, Destination)>>()
        });
        for (endpoint, probe) in probes {
            tokio::spawn(connect(Arc::clone(&shared), endpoint, probe));
        }
    }
}

async fn connect(shared: Arc<Shared>, endpoint: Arc<str>, probe: Destination) {
    metrics::counter!("bilberrylatch_reach_probes_total").increment(1);
    let connected = Connection::connect(&probe.id, probe.address, REPLICA_LIVENESS).await;
    shared.record_connect(&endpoint, probe.replica, connected.is_ok());
    if let Ok(connection) = connected {
        shared.connections.put(connection, None);
    }
}
