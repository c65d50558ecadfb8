//! Election of the leader.

use std::sync::Arc;

use base::{Incarnation, Millis, Name};
use bytes::Bytes;
use member::Role;
use member::role::{Action, Event, Fence, Lease, Observed, Record, Revision, Settings, WriteId, rank};
use store::{Condition, Error};
use tokio::sync::watch;

use crate::Shared;
use crate::register::{HeldLease, LEASE_TTL};

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

/// Lowest fencing token of an era is the era times this, so that tokens of different eras differ even if no node that
/// saw the earlier ones is left.
const TOKENS_PER_ERA: u64 = 1 << 20;
/// Revision of a record that does not exist.
const ABSENT: Revision = Revision(0);

/// The role as seen by this node.
#[derive(Debug)]
pub(super) struct Election {
    shared: Arc<Shared>,
    leases: watch::Receiver<Option<HeldLease>>,
    role: Role,
    /// Whether the role requested its record. It is read at the next tick, when the view may be newer.
    is_reading: bool,
    /// Revision of the record when it was last read.
    observed: store::Revision,
    /// The record that this node wrote last, and its revision. The view may be older.
    written: Option<(Record, store::Revision)>,
    /// The highest fencing token seen in any era.
    highest_fence: Fence,
    /// The latest era of the store, and when this node noticed that it had been restored.
    era: u64,
    restored_at: Option<Millis>,
}

impl Election {
    pub fn new(shared: Arc<Shared>, leases: watch::Receiver<Option<HeldLease>>) -> Self {
        let seed = shared.seed.derive(SEED_LABEL);
        Self {
            role: Role::new(shared.incarnation, seed, SETTINGS),
            era: shared.store.era(),
            shared,
            leases,
            is_reading: false,
            observed: store::Revision::default(),
            written: None,
            highest_fence: Fence(0),
            restored_at: None,
        }
    }

    /// The fencing token for a call sent now; `None` if no call may be sent.
    pub fn fence(&self) -> Option<u64> {
        // A restore of the store ends all leases.
        let era = self.shared.store.era();
        self.leases.borrow().filter(|lease| lease.era == era)?;
        self.role.active_fence(self.shared.now()).map(|fence| fence.0)
    }

    /// Passes the time, the lease and the other nodes to the role.
    pub async fn tick(&mut self) {
        self.note_restore();
        let lease = *self.leases.borrow_and_update();
        let lease = lease.filter(|lease| lease.era == self.era);
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

    /// Notes that the store was restored.
    fn note_restore(&mut self) {
        let era = self.shared.store.era();
        if era == self.era {
            return;
        }
        // The first answer of the store names its era, too.
        if self.era > 0 {
            self.restored_at = Some(self.shared.now());
        }
        self.era = era;
    }

    /// Whether the released role's record may still name this node.
    pub const fn needs_clearing(&self) -> bool {
        self.role.needs_clearing()
    }

    /// Releases the role. Its record is cleared by the next ticks.
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

    /// The record as of the view, with a fencing token that is not below any other that was seen or may have been drawn in
    /// an earlier era. A stale view is harmless, since a swap checks the revision.
    fn observe(&mut self) -> Option<Observed> {
        let stored = self.stored_record();
        if let Some((record, _, _)) = stored {
            self.highest_fence = self.highest_fence.max(record.fence);
        }
        let lowest = self.highest_fence.max(Fence(self.era * TOKENS_PER_ERA));
        let current = stored.filter(|(_, revision, _)| revision.era == self.era);
        let Some((record, revision, lease_alive)) = current else {
            self.observed = store::Revision::default();
            return self.vacant(lowest);
        };
        self.observed = revision;
        let is_held = lease_alive || self.may_be_held();
        let record = Record {
            fence: if lease_alive { record.fence } else { lowest },
            ..record
        };
        Some(Observed {
            lease_alive: is_held,
            record,
            revision: Revision(revision.number),
        })
    }

    /// A role without a record, which was lost if any token was drawn before.
    fn vacant(&self, lowest: Fence) -> Option<Observed> {
        let record = Record {
            holder: self.may_be_held().then_some(Incarnation(0)),
            fence: lowest,
            lease: Lease(0),
            write_id: WriteId(0),
        };
        (lowest > Fence(0)).then_some(Observed {
            record,
            revision: ABSENT,
            lease_alive: true,
        })
    }

    /// Whether a holder that has not noticed the restore may still act on its lease.
    fn may_be_held(&self) -> bool {
        let now = self.shared.now();
        self.restored_at.is_some_and(|at| now.since(at) < LEASE_TTL)
    }

    /// The latest known record with its revision, and whether its lease is alive.
    fn stored_record(&self) -> Option<(Record, store::Revision, bool)> {
        let viewed = self.viewed_record();
        let Some((record, revision)) = self.written else {
            return viewed;
        };
        let is_newer = |other: &(Record, store::Revision, bool)| other.1 >= revision;
        viewed.filter(is_newer).or_else(|| {
            let own_lease = self.leases.borrow().map(|lease| lease.lease);
            Some((record, revision, own_lease == Some(record.lease.0)))
        })
    }

    /// The record in the view with its revision, and whether its lease is alive.
    fn viewed_record(&self) -> Option<(Record, store::Revision, bool)> {
        let view = self.shared.view();
        let own = view.internal.get(KEY)?;
        match serde_json::from_slice::<Record>(&own.value) {
            Ok(record) => {
                let lease_alive = view.peers.values().any(|peer| peer.lease == record.lease.0);
                Some((record, own.revision, lease_alive))
            }
            Err(error) => {
                log::error!(cause:% = error; "invalid record of the leader role");
                None
            }
        }
    }

    /// Condition of a swap that expects the record that was last read; `None` if another one was read since.
    fn condition(&self, expect: Option<Revision>) -> Option<Condition> {
        match expect {
            None | Some(ABSENT) => Some(Condition::Absent),
            Some(Revision(number)) if number == self.observed.number => {
                Some(Condition::Revision(self.observed))
            }
            Some(_) => None,
        }
    }

    async fn swap(&mut self, expect: Option<Revision>, record: Record) -> Event {
        let value = match serde_json::to_vec(&record) {
            Ok(value) => Bytes::from(value),
            Err(error) => {
                log::error!(cause:% = error; "failed to encode the record of the leader role");
                return Event::Conflict(record.write_id);
            }
        };
        let key = format!("{}{KEY}", self.shared.edge.internal_prefix());
        let Some(condition) = self.condition(expect) else {
            return Event::Conflict(record.write_id);
        };
        let write = store::Write::new(key, value, condition);
        match self.shared.store.write_once(&write).await {
            Ok(revision) => {
                self.highest_fence = self.highest_fence.max(record.fence);
                self.written = Some((record, revision));
                Event::Swapped(record.write_id)
            }
            Err(Error::Indeterminate(cause)) => {
                self.highest_fence = self.highest_fence.max(record.fence);
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
