//! Election of the leader.

use std::sync::Arc;

use base::{Millis, Name};
use bytes::Bytes;
use member::Role;
use member::role::{Action, Event, Fence, Lease, Observed, Record, Revision, Settings, rank};
use store::{Condition, Error};
use tokio::sync::watch;

use crate::Shared;
use crate::register::HeldLease;

/// Key of the role's record, after the internal prefix.
const KEY: &str = "role/duties";
/// Label for deriving the role's random seed.
const SEED_LABEL: u64 = 0x726f_6c65;
/// Maximum time for which a call that was sent may still arrive.
const MAX_CALL_TIME: Millis = Millis(1_500);
/// Timing of the role. The lease has a time to live of 2.5 seconds and is renewed every 0.7 seconds.
const SETTINGS: Settings = Settings {
    margin: Millis(400),
    poll: Millis(200),
    stagger: Millis(250),
    answer_timeout: Millis(1_200),
    backoff: Millis(200),
    max_backoff: Millis(1_000),
    candidates: 64,
    wait_after_expiry: Millis(1_500),
    wait_after_release: MAX_CALL_TIME,
};

/// The role as seen by this node.
#[derive(Debug)]
pub(super) struct Election {
    shared: Arc<Shared>,
    leases: watch::Receiver<Option<HeldLease>>,
    role: Role,
    /// Whether the role requested its record. It is read at the next tick, when the view may be newer.
    is_reading: bool,
}

impl Election {
    pub fn new(shared: Arc<Shared>, leases: watch::Receiver<Option<HeldLease>>) -> Self {
        let seed = shared.seed.derive(SEED_LABEL);
        Self {
            role: Role::new(shared.incarnation, seed, SETTINGS),
            shared,
            leases,
            is_reading: false,
        }
    }

    /// The fencing token for a call sent now; `None` if no call may be sent.
    pub fn fence(&self) -> Option<u64> {
        self.role.active_fence(self.shared.now()).map(|fence| fence.0)
    }

    /// Passes the time, the lease and the other nodes to the role.
    pub async fn tick(&mut self) {
        let lease = *self.leases.borrow_and_update();
        let event = lease.map_or(Event::LeaseExpired, |lease| Event::Leased {
            lease: Lease(lease.lease),
            until: lease.expires_at,
        });
        let position = {
            let view = self.shared.view();
            let peers = view.peers.keys().copied();
            rank(&Name::new(KEY), self.shared.incarnation, peers)
        };
        self.step(event).await;
        self.step(Event::Rank(position)).await;
        if std::mem::take(&mut self.is_reading) {
            let observed = self.observe();
            self.step(Event::Read(observed)).await;
        }
        self.step(Event::Tick).await;
    }

    /// Releases the role.
    pub async fn release(&mut self) {
        self.step(Event::Release).await;
    }

    async fn step(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = self.shared.now();
            for action in self.role.step(now, event) {
                if let Some(next) = self.execute(action).await {
                    events.push(next);
                }
            }
        }
    }

    async fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Read => {
                self.is_reading = true;
                None
            }
            Action::Swap { expect, record } => Some(self.swap(expect, record).await),
            Action::Acquired { fence, from } => {
                let wait = from.since(self.shared.now());
                log::info!(fence = fence.0, wait_ms = wait.0; "duties taken up");
                None
            }
            Action::Ended(Fence(fence)) => {
                log::info!(fence; "duties given up");
                None
            }
        }
    }

    /// The record as of the view. A stale view is harmless, since a swap checks the revision.
    fn observe(&self) -> Option<Observed> {
        let view = self.shared.view();
        let own = view.internal.get(KEY)?;
        match serde_json::from_slice::<Record>(&own.value) {
            Ok(record) => Some(Observed {
                lease_alive: view.peers.values().any(|peer| peer.lease == record.lease.0),
                record,
                revision: Revision(own.revision.number),
            }),
            Err(error) => {
                log::error!(cause:% = error; "invalid record of the leader role");
                None
            }
        }
    }

    async fn swap(&self, expect: Option<Revision>, record: Record) -> Event {
        let value = match serde_json::to_vec(&record) {
            Ok(value) => Bytes::from(value),
            Err(error) => {
                log::error!(cause:% = error; "failed to encode the record of the leader role");
                return Event::Conflict(record.write_id);
            }
        };
        let key = format!("{}{KEY}", self.shared.edge.internal_prefix());
        let era = self.shared.store.era();
        let revision = |it: Revision| store::Revision::new(era, it.0);
        let condition = expect.map_or(Condition::Absent, |it| Condition::Revision(revision(it)));
        let write = store::Write::new(key, value, condition);
        match self.shared.store.write_once(&write).await {
            Ok(_revision) => Event::Swapped(record.write_id),
            Err(Error::Indeterminate(cause)) => {
                log::warn!(cause; "response to the swap of the leader role lost");
                Event::Unanswered(record.write_id)
            }
            Err(error) => {
                log::info!(cause:% = error; "leader role not acquired");
                Event::Conflict(record.write_id)
            }
        }
    }
}
