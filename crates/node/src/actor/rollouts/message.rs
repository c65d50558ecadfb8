//! Messages from the platform, peers and the timer, and their handlers.

use base::{Millis, Name};
use bytes::Bytes;
use kameo::message::{Context, Message};
use member::role;
use rollout::event::StoreResult;
use rollout::{Event, Stored, Summary, Veto};

use super::announcement::Announcement;
use super::{Lease, Rollouts, TICKS_PER_ANNOUNCEMENT};
use crate::actor::traffic::rollout::Applied;
use crate::platform::rollout as platform;

/// Timer tick.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

impl Message<Tick> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self, Self::Reply>) {
        let Some(shared) = self.shared() else { return };
        self.ticks = self.ticks.wrapping_add(1);
        self.reconcile(&shared);
        let endpoints: Vec<Name> = self.slots.keys().cloned().collect();
        self.rank_all(&shared, &endpoints).await;
        for endpoint in &endpoints {
            self.step_role(endpoint, role::Event::Tick).await;
            self.step_controller(endpoint, Event::Tick).await;
            if self.ticks.is_multiple_of(TICKS_PER_ANNOUNCEMENT) {
                self.repeat_announcements(&shared, endpoint).await;
            }
        }
        if self.now() >= self.next_report {
            self.send_summaries(&shared).await;
        }
    }
}

/// Reports that the node's lease was granted or renewed.
#[derive(Clone, Copy, Debug)]
pub struct Leased {
    /// Id of the lease.
    pub lease: role::Lease,
    /// Expiry on the local clock, counted from the time at which the request was sent.
    pub until: Millis,
}

impl Message<Leased> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, leased: Leased, _context: &mut Context<Self, Self::Reply>) {
        let Leased { lease, until } = leased;
        self.lease = Some(Lease { lease, until });
        let endpoints: Vec<Name> = self.slots.keys().cloned().collect();
        for endpoint in endpoints {
            self.step_role(&endpoint, role::Event::Leased { lease, until })
                .await;
        }
    }
}

/// Result of reading a role's record. The outer `None` means that the read failed, the inner one that there
/// is no record.
#[derive(Clone, Copy, Debug)]
pub struct RoleReading(pub Option<Option<role::Observed>>);

/// Reports that a role's record was read.
#[derive(Clone, Debug)]
pub struct RoleRead {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Result of the read.
    pub reading: RoleReading,
}

impl Message<RoleRead> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, read: RoleRead, _context: &mut Context<Self, Self::Reply>) {
        let event = match read.reading.0 {
            Some(observed) => role::Event::Read(observed),
            None => role::Event::ReadFailed,
        };
        self.step_role(&read.endpoint, event).await;
    }
}

/// Reports the outcome of swapping a role's record.
#[derive(Clone, Debug)]
pub struct RoleWritten {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// The outcome.
    pub event: role::Event,
}

impl Message<RoleWritten> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, written: RoleWritten, _context: &mut Context<Self, Self::Reply>) {
        self.step_role(&written.endpoint, written.event).await;
    }
}

/// Reports that a rollout's record was read. `stored` is `None` if the platform could not be reached.
#[derive(Clone, Debug)]
pub struct RolloutRead {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Result of the read.
    pub stored: Option<Option<Box<Stored>>>,
    /// Fencing number of the role if it was just acquired.
    pub acquired: Option<u64>,
}

impl Message<RolloutRead> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, read: RolloutRead, _context: &mut Context<Self, Self::Reply>) {
        let event = match (read.stored, read.acquired) {
            (Some(stored), Some(fence)) => Event::Acquired {
                fence,
                stored,
                wall_time: platform::wall_time(),
            },
            (Some(stored), None) => Event::Loaded(stored),
            (None, None) => Event::LoadFailed,
            (None, Some(_fence)) => {
                // Retry on the next tick.
                if let Some(slot) = self.slots.get_mut(&read.endpoint) {
                    slot.activated = false;
                }
                return;
            }
        };
        self.step_controller(&read.endpoint, event).await;
        if read.acquired.is_some()
            && let Some(shared) = self.shared()
        {
            self.repeat_announcements(&shared, &read.endpoint).await;
        }
    }
}

/// Reports the outcome of writing a rollout's record.
#[derive(Clone, Debug)]
pub struct RolloutWritten {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// The outcome.
    pub result: StoreResult,
}

impl Message<RolloutWritten> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, written: RolloutWritten, _context: &mut Context<Self, Self::Reply>) {
        self.step_controller(&written.endpoint, Event::Stored(written.result))
            .await;
    }
}

/// Encoded evidence from a node.
#[derive(Clone, Debug)]
pub struct Report(pub Bytes);

impl Message<Report> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, report: Report, _context: &mut Context<Self, Self::Reply>) {
        match wire::decode::<Summary>(&report.0) {
            Ok(summary) => self.handle_summary(summary).await,
            Err(error) => log::warn!("dropped malformed evidence: {error}"),
        }
    }
}

/// Veto by this node or a peer.
#[derive(Clone, Debug)]
pub struct Vetoed(pub Box<Veto>);

impl Message<Vetoed> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, vetoed: Vetoed, _context: &mut Context<Self, Self::Reply>) {
        let endpoint = vetoed.0.endpoint.clone();
        self.step_controller(&endpoint, Event::Vetoed(vetoed.0)).await;
    }
}

/// Encoded announcement received by gossip.
#[derive(Clone, Debug)]
pub struct Announced(pub Bytes);

impl Message<Announced> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, announced: Announced, _context: &mut Context<Self, Self::Reply>) {
        match wire::decode(&announced.0) {
            Ok(Announcement::Shares(shares)) => {
                let _gone = self.traffic.tell(Applied(Box::new(shares))).await;
            }
            Ok(Announcement::Holder { endpoint, holder }) => {
                let known = self.holders.get(&endpoint).map_or(0, |known| known.fence);
                if holder.fence >= known {
                    self.holders.insert(endpoint, holder);
                }
            }
            // The members actor records successors.
            Ok(Announcement::Successor { .. }) => {}
            Err(error) => log::warn!("dropped a malformed announcement: {error}"),
        }
    }
}
