//! The node's registration in the store, bound to a lease that the node renews.

use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use bytes::Bytes;
use rand::RngExt;
use store::{Condition, Error, Lease, Write};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::Shared;
use crate::follow::NODES_PREFIX;
use crate::lifecycle::Phase;
use crate::view::Peer;

/// Minimum duration of an outage of the store in which a node's lease may expire.
pub const MIN_EXPIRY_OUTAGE: Millis = Millis(LEASE_TTL.0 - RENEW_INTERVAL.as_millis() as u64);
/// Time to live of the lease. Callers may be directed to a dead node for this long.
pub const LEASE_TTL: Millis = Millis(2_500);
/// Interval between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(700);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay before a failed call is retried while the store is unreachable. Otherwise all nodes together would
/// call it hundreds of times per second.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum delay of the first call after an outage, so that not all nodes call at once.
const RECOVERY_JITTER: Duration = Duration::from_millis(200);

/// The node's lease and its expiry on the node's own clock, for the leader election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Number by which the nodes know the lease. It is the node's own and random, since the store may assign its ids again
    /// after a restore.
    pub lease: u64,
    /// Era of the store in which the lease was granted.
    pub era: u64,
    /// When the lease expires unless renewed, counted from when the last renewal was sent.
    pub expires_at: Millis,
}

/// Maintains the registration until the node stops, then withdraws it.
pub async fn run(shared: Arc<Shared>, lease_sender: watch::Sender<Option<HeldLease>>) {
    let mut registrar = Registrar {
        shared,
        lease_sender,
        lease: None,
        lease_number: 0,
        last_written: None,
    };
    loop {
        registrar.drop_outdated_lease();
        let result = registrar.renew().await;
        if let Err(error) = &result {
            log::warn!(cause:% = error; "registration not renewed");
        }
        let pause = registrar.pause(result.is_ok());
        let next = if registrar.shared.lifecycle.phase() < Phase::Leaving {
            Phase::Leaving
        } else {
            Phase::Ended
        };
        let shared = Arc::clone(&registrar.shared);
        tokio::select! {
            () = pause => {}
            () = shared.store.wait_for_era_above(registrar.era()) => {
                registrar.drop_outdated_lease();
                let jitter: f64 = rand::rng().random_range(0.0..1.0);
                sleep(RECOVERY_JITTER.mul_f64(jitter)).await;
            }
            () = shared.lifecycle.reached(next) => {}
        }
        if registrar.shared.lifecycle.phase() == Phase::Ended {
            registrar.withdraw().await;
            return;
        }
    }
}

#[derive(Debug)]
struct Registrar {
    shared: Arc<Shared>,
    lease_sender: watch::Sender<Option<HeldLease>>,
    lease: Option<Lease>,
    lease_number: u64,
    last_written: Option<Peer>,
}

impl Registrar {
    /// Era of the lease, or the latest one if there is no lease.
    fn era(&self) -> u64 {
        let era = self.lease.as_ref().map(|lease| lease.era);
        era.unwrap_or_else(|| self.shared.store.era())
    }

    /// Drops a lease that was lost when the store was restored, and the role with it.
    fn drop_outdated_lease(&mut self) {
        let era = self.shared.store.era();
        if let Some(lease) = self.lease.take_if(|lease| lease.era < era) {
            log::warn!(era_before = lease.era, era; "lease lost in a restore of the store");
            self.lease_sender.send_replace(None);
        }
    }

    /// Waits until the next call. While the store is unreachable, the call that finds it reachable again is usually that
    /// of the node or its reader for the view.
    fn pause(&self, is_renewed: bool) -> impl Future<Output = ()> + use<> {
        let mut reachable = self.shared.store_reachable.subscribe();
        let jitter: f64 = rand::rng().random_range(0.0..1.0);
        async move {
            if is_renewed {
                return sleep(RENEW_INTERVAL).await;
            }
            sleep(RETRY_DELAY).await;
            if !*reachable.borrow_and_update() {
                // Both ends lead to another call.
                let _recovered = timeout(OUTAGE_RETRY_DELAY, reachable.changed()).await;
                sleep(RECOVERY_JITTER.mul_f64(jitter)).await;
            }
        }
    }

    async fn renew(&mut self) -> Result<(), Error> {
        let ttl = LEASE_TTL.max(self.shared.settings().min_lease_ttl);
        let sent = self.shared.now();
        match &self.lease {
            None => {
                let lease = self.shared.store.grant(ttl.as_duration()).await?;
                self.lease = Some(lease);
                self.lease_number = rand::random();
                self.last_written = None;
            }
            Some(lease) => match self.shared.store.renew(lease).await {
                Ok(()) => {}
                Err(Error::LeaseExpired) => {
                    log::warn!("lease lapsed");
                    self.shared.record_store_answer();
                    self.lease = None;
                    self.lease_sender.send_replace(None);
                    return Err(Error::LeaseExpired);
                }
                Err(error) => return Err(error),
            },
        }
        self.shared.record_store_answer();
        let Some(lease) = self.lease.clone() else {
            return Ok(());
        };
        self.write(&lease).await?;
        self.lease_sender.send_replace(Some(HeldLease {
            lease: self.lease_number,
            era: lease.era,
            expires_at: sent + ttl,
        }));
        Ok(())
    }

    /// Writes the registration if it changed.
    async fn write(&mut self, lease: &Lease) -> Result<(), Error> {
        let shared = &self.shared;
        let peer = Peer {
            name: shared.settings().name.clone(),
            zone: shared.settings().zone.clone(),
            address: shared.settings().listen,
            peer_address: shared.settings().peer_listen,
            ready: shared.is_ready(),
            capacity: shared.settings().capacity(),
            lease: self.lease_number,
        };
        if self.last_written.as_ref() == Some(&peer) {
            return Ok(());
        }
        let value = serde_json::to_vec(&peer).map_err(|error| Error::Protocol(error.to_string()))?;
        let key = format!(
            "{}{NODES_PREFIX}{}",
            shared.edge.internal_prefix(),
            shared.incarnation
        );
        let write = Write::new(key, Bytes::from(value), Condition::Any).with_lease(lease.clone());
        match shared.store.write(&write).await {
            Ok(revision) => {
                log::info!(revision = revision.number, era = revision.era, ready = peer.ready; "registration written");
            }
            Err(Error::LeaseExpired) => {
                self.lease = None;
                self.lease_sender.send_replace(None);
                return Err(Error::LeaseExpired);
            }
            Err(error) => return Err(error),
        }
        self.last_written = Some(peer);
        Ok(())
    }

    async fn withdraw(&mut self) {
        self.lease_sender.send_replace(None);
        let Some(lease) = self.lease.take() else { return };
        if let Err(error) = self.shared.store.revoke(&lease).await {
            // The lease expires without it.
            log::warn!(cause:% = error; "failed to withdraw the registration");
        }
    }
}
