//! When the store has been up, by the answers to this node and to others.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use base::{Millis, Revision};
use relay::Availability;

use super::{Shared, lock};
use crate::peers::{Datagram, HeardNodes, Scope};
use crate::register::MIN_EXPIRY_OUTAGE;
use crate::settings::Settings;

/// Minimum duration of an outage in which a replica's registration may expire, in its renewal intervals: the last renewal
/// may be one interval old when the outage begins.
const MIN_EXPIRY_INTERVALS: u64 = 2;

/// Minimum shift of an outage's end that is logged. Nodes notice the end one after the other.
const MIN_LOGGED_SHIFT: Millis = Millis(1_000);

/// Minimum duration of an outage of the store in which a registration may expire.
pub(super) fn min_outage(settings: &Settings) -> Millis {
    Millis(settings.replica_heartbeat.0 * MIN_EXPIRY_INTERVALS).min(MIN_EXPIRY_OUTAGE)
}

impl Shared {
    /// When the store has been up.
    pub fn availability(&self) -> MutexGuard<'_, Availability> {
        lock(&self.availability)
    }

    /// Records that the store answered this node, or the node that it asked.
    pub fn record_store_answer(&self) {
        self.update_availability("answer", Availability::record_answer);
    }

    /// Records that the store was restored from a copy, as the first answer to this node shows.
    pub fn record_restore(&self, before: Revision, after: Revision) {
        log::warn!(era_before = before.era, era = after.era, revision_before = before.number, revision = after.number;
            "store restored from a copy");
        metrics::counter!("bilberrylatch_store_restores_total").increment(after.era - before.era);
        let now = self.now();
        self.availability().record_restore(now);
    }

    /// Records where a datagram came from and what its sender knows of the store.
    pub fn record_sender(&self, datagram: &Datagram, address: SocketAddr) {
        match datagram.scope {
            Scope::Node => lock(&self.heard_nodes).record(self.now(), datagram.from, address),
            Scope::Zone(_) => lock(&self.heard_hubs).record(self.now(), datagram.from, address),
            Scope::Outside { .. } => {}
        }
        if let Some(uptime) = datagram.uptime {
            self.update_availability("report", |it, now| it.record_report(now, uptime));
        }
    }

    /// Addresses for datagrams of the nodes that were heard from in person lately.
    pub fn heard_addresses(&self) -> Vec<SocketAddr> {
        let heard = lock(&self.heard_nodes).fresh(self.now());
        heard.into_iter().map(|(_, address)| address).collect()
    }

    /// Age of the latest sums of other availability zones; `None` if there are none.
    pub fn outside_age(&self) -> Option<Millis> {
        lock(&self.hub).outside_age(self.now())
    }

    /// Waits until a deletion is deferred, or until more is known of the store's outages.
    pub async fn deletions_changed(&self) {
        self.deletions_changed.notified().await;
    }

    /// Ends the wait for [`Self::deletions_changed`].
    pub fn notify_deletions_changed(&self) {
        self.deletions_changed.notify_one();
    }

    /// Records evidence of a kind, and logs what it says about outages of the store.
    fn update_availability<F>(&self, evidence: &str, record: F)
    where
        F: FnOnce(&mut Availability, Millis),
    {
        let now = self.now();
        let mut availability = self.availability();
        let before = availability.up_since();
        record(&mut availability, now);
        let after = availability.up_since();
        drop(availability);
        if before != after {
            self.notify_deletions_changed();
        }
        let up_ms = after.map_or(-1, |since| now.since(since).0 as i64);
        let shift = before.unwrap_or_default().since(after.unwrap_or_default());
        if after > before {
            log::warn!(evidence, up_ms; "store outage ended");
        } else if shift >= MIN_LOGGED_SHIFT {
            log::info!(evidence, up_ms; "store was up for other nodes");
        }
    }

    /// Addresses of the nodes that were heard from recently and are not registered: those that are cut off from the store.
    /// They receive datagrams, too, so that they keep to the common limits and know whether the store is up.
    pub fn unregistered_nodes(&self) -> Vec<SocketAddr> {
        self.unregistered(&self.heard_nodes)
    }

    /// Like [`Self::unregistered_nodes`], of the hubs of other zones: if a whole zone is cut off, no node of it is registered.
    pub fn unregistered_hubs(&self) -> Vec<SocketAddr> {
        self.unregistered(&self.heard_hubs)
    }

    fn unregistered(&self, heard: &Mutex<HeardNodes>) -> Vec<SocketAddr> {
        let now = self.now();
        let heard = lock(heard).fresh(now);
        let view = self.view();
        let unregistered = heard
            .into_iter()
            .filter(|(node, _)| !view.peers.contains_key(node));
        unregistered.map(|(_, address)| address).collect()
    }
}
