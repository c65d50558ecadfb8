//! The speeds of replicas that nodes tell each other.

use std::sync::Arc;

use place::{EndpointSpeed, PaceEvent, PeerPace};

use super::{Shared, lock};
use crate::peers::Datagram;

/// Maximum number of replicas of an endpoint whose speed a node tells at a time.
const MAX_PACES: usize = 8;

impl Shared {
    /// What this node has measured and not told the other nodes yet, by endpoint. The sums of its zone get it as well.
    pub fn take_paces(&self) -> Vec<(Arc<str>, Vec<PeerPace>)> {
        let (paces, events) = self.with_pools(|pools| {
            let mut paces = Vec::new();
            let mut events = Vec::new();
            for (endpoint, pool) in pools.iter_mut() {
                let taken = pool.take_paces(MAX_PACES);
                if !taken.is_empty() {
                    paces.push((Arc::clone(endpoint), taken));
                }
                if let Some(speed) = pool.endpoint_speed() {
                    record_speed(endpoint, speed);
                }
                let noted = pool.take_pace_events().into_iter();
                events.extend(noted.map(|event| (Arc::clone(endpoint), event)));
            }
            (paces, events)
        });
        for (endpoint, event) in &events {
            log_event(endpoint, event);
        }
        lock(&self.hub).record_own_paces(self.now(), &paces);
        paces
    }

    /// Applies the speeds in a datagram.
    pub(super) fn apply_paces(&self, datagram: &Datagram) {
        for (endpoint, paces) in &datagram.paces {
            self.with_pool(endpoint, |pool| pool.record_peer_paces(paces));
        }
    }
}

fn record_speed(endpoint: &Arc<str>, speed: EndpointSpeed) {
    let gauge = |name: &'static str| metrics::gauge!(name, "endpoint" => endpoint.to_string());
    gauge("bilberrylatch_first_event_fixed_ms").set(speed.fixed_ms);
    gauge("bilberrylatch_prompt_token_us").set(speed.token_ms * 1_000.0);
    gauge("bilberrylatch_replica_speeds_known").set(speed.known as f64);
}

fn log_event(endpoint: &str, event: &PaceEvent) {
    match event {
        PaceEvent::Implausible { id, hundredths } => {
            log::warn!(endpoint, replica:% = id, hundredths; "reported pace out of bounds");
        }
        PaceEvent::Contradicted {
            id,
            reported,
            measured,
        } => {
            log::warn!(endpoint, replica:% = id, reported, measured; "reported pace contradicts measured times, ignored");
        }
        PaceEvent::Share {
            id,
            step,
            speed,
            samples,
        } => {
            metrics::counter!("bilberrylatch_replica_share_changes_total").increment(1);
            log::info!(endpoint, replica:% = id, step, speed, samples; "share of preferred prompts changed");
        }
    }
}
