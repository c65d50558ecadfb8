//! A leased role with a fencing token, as seen by one node.
//!
//! The role's record is never deleted from the key-value service, so that its fencing token only increases. It names
//! the holder and the holder's lease; the role is vacant if that lease has expired or the holder has released the role.
//! The lease is that of the node's registration, so that renewals cost one write per node instead of one per role.

mod event;
mod rank;
mod record;
mod settings;
mod state;

use base::seed::Generator;
use base::{Incarnation, Millis, Seed};
use rand::RngExt;

pub use event::{Action, Event};
pub use rank::rank;
pub use record::{Fence, Lease, Observed, Record, Revision, WriteId};
pub use settings::Settings;

use self::state::{Holding, OwnLease, Pending, Vacancy};

/// The actions of one step.
pub type Actions = Vec<Action>;

/// A role as seen by one node.
#[derive(Clone, Debug)]
pub struct Role {
    settings: Settings,
    incarnation: Incarnation,
    generator: Generator,
    own_lease: Option<OwnLease>,
    rank: Option<usize>,
    holding: Option<Holding>,
    pending_swap: Option<Pending>,
    /// The vacant record and since when it has been vacant; `None` if the role is not vacant.
    vacancy: Option<Vacancy>,
    highest_fence: Fence,
    next_read: Millis,
    /// When the unanswered read was sent; `None` if there is none.
    read_sent: Option<Millis>,
    read_failures: u32,
    released: bool,
    /// Whether the record may still name this node as the holder after a release.
    needs_clearing: bool,
}

impl Role {
    /// Creates a role that `incarnation` may acquire.
    pub fn new(incarnation: Incarnation, seed: Seed, settings: Settings) -> Self {
        Self {
            settings,
            incarnation,
            generator: seed.generator(),
            own_lease: None,
            rank: None,
            holding: None,
            pending_swap: None,
            vacancy: None,
            highest_fence: Fence(0),
            next_read: Millis::ZERO,
            read_sent: None,
            read_failures: 0,
            released: false,
            needs_clearing: false,
        }
    }

    /// Returns the fencing token to send with an order now; `None` if no order may be sent.
    ///
    /// Read the clock and call this immediately before each order.
    pub fn active_fence(&self, now: Millis) -> Option<Fence> {
        let holding = self.holding?;
        let own_lease = self.own_lease?;
        let in_time = now >= holding.from && now + self.settings.margin < own_lease.until;
        (in_time && own_lease.lease == holding.lease).then_some(holding.fence)
    }

    /// Whether this node holds the role, even if no order may be sent now.
    pub fn is_held(&self) -> bool {
        self.holding.is_some()
    }

    /// Whether the record may still name this node as the holder after a release. It is cleared once it was read, so events are
    /// needed until then.
    pub const fn needs_clearing(&self) -> bool {
        self.needs_clearing
    }

    /// Handles an event and returns the resulting actions.
    pub fn step(&mut self, now: Millis, event: Event) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Tick => {}
            Event::Rank(rank) => self.rank = rank,
            Event::Leased { lease, until } => self.handle_lease(lease, until, &mut actions),
            Event::LeaseExpired => self.expire_lease(&mut actions),
            Event::Read(observed) => self.handle_record(now, observed, &mut actions),
            Event::ReadFailed => self.handle_read_failure(now),
            Event::Swapped(write_id) => self.handle_swapped(now, write_id, &mut actions),
            Event::Conflict(write_id) => self.handle_conflict(now, write_id),
            Event::Unanswered(write_id) => self.mark_unanswered(now, write_id),
            Event::Release => self.release(now, &mut actions),
        }
        self.check_lease(now, &mut actions);
        self.check_swap_timeout(now);
        self.try_acquire(now, &mut actions);
        self.request_read(now, &mut actions);
        actions
    }

    fn handle_lease(&mut self, lease: Lease, until: Millis, actions: &mut Actions) {
        if self.own_lease.is_some_and(|own| own.lease != lease) {
            self.end_holding(actions);
        }
        self.own_lease = Some(OwnLease { lease, until });
    }

    fn expire_lease(&mut self, actions: &mut Actions) {
        self.own_lease = None;
        self.end_holding(actions);
    }

    /// Stops holding the role once this node's lease has expired by the local clock.
    fn check_lease(&mut self, now: Millis, actions: &mut Actions) {
        if self.own_lease.is_some_and(|own| now >= own.until) {
            self.expire_lease(actions);
        }
    }

    fn end_holding(&mut self, actions: &mut Actions) {
        if let Some(holding) = self.holding.take() {
            actions.push(Action::Ended(holding.fence));
        }
    }

    fn handle_record(&mut self, now: Millis, observed: Option<Observed>, actions: &mut Actions) {
        self.read_sent = None;
        self.read_failures = 0;
        self.next_read = now + self.settings.poll;
        if let Some(observed) = observed {
            if observed.record.fence < self.highest_fence {
                // A delayed answer: a newer record has been seen already.
                return;
            }
            self.highest_fence = observed.record.fence;
        }
        self.reconcile(now, observed, actions);
        self.track_vacancy(now, observed);
    }

    /// Compares the record with the local state: resolves an unanswered swap, and detects that the role was lost or
    /// that this node holds it unknowingly.
    fn reconcile(&mut self, now: Millis, observed: Option<Observed>, actions: &mut Actions) {
        let pending = self.pending_swap.filter(|it| it.unanswered);
        if pending.is_some() {
            self.pending_swap = None;
        }
        let Some(observed) = observed else { return };
        if !self.is_own(&observed.record) {
            self.end_holding(actions);
            self.needs_clearing = false;
            return;
        }
        if self.released {
            self.clear_holder(now, observed, actions);
            return;
        }
        if self.holding.is_some() {
            return;
        }
        let own_write = pending.filter(|it| it.record.write_id == observed.record.write_id);
        // If the swap took effect after it was abandoned, it is unknown how the previous holder ended; assume that its
        // lease expired.
        let wait = own_write.map_or(self.settings.wait_after_expiry, |it| it.wait);
        self.acquire(now, observed.record, wait, actions);
    }

    /// Clears the holder in the record after a release. The fencing token stays, for the next holder to increment.
    fn clear_holder(&mut self, now: Millis, observed: Observed, actions: &mut Actions) {
        if self.pending_swap.is_some() {
            return;
        }
        let record = Record {
            holder: None,
            write_id: self.new_write_id(),
            ..observed.record
        };
        self.swap(now, Some(observed), record, Millis::ZERO, actions);
    }

    fn is_own(&self, record: &Record) -> bool {
        let has_lease = self.own_lease.is_some_and(|own| own.lease == record.lease);
        record.holder == Some(self.incarnation) && has_lease
    }

    fn acquire(&mut self, now: Millis, record: Record, wait: Millis, actions: &mut Actions) {
        let fence = record.fence;
        let lease = record.lease;
        let from = now + wait;
        self.highest_fence = fence.max(self.highest_fence);
        self.vacancy = None;
        self.holding = Some(Holding { fence, lease, from });
        actions.push(Action::Acquired { fence, from });
    }

    fn track_vacancy(&mut self, now: Millis, observed: Option<Observed>) {
        let is_vacant = observed.is_none_or(|it| it.is_vacant());
        if !is_vacant || self.holding.is_some() {
            self.vacancy = None;
            return;
        }
        let revision = |it: Option<Observed>| it.map(|it| it.revision);
        let unchanged = self
            .vacancy
            .filter(|it| revision(it.observed) == revision(observed));
        let since = unchanged.map_or(now, |it| it.since);
        self.vacancy = Some(Vacancy { observed, since });
    }

    /// Attempts to acquire a vacant role. Higher-ranked candidates attempt it earlier.
    fn try_acquire(&mut self, now: Millis, actions: &mut Actions) {
        let Some(vacancy) = self.vacancy else { return };
        let Some(rank) = self.rank.filter(|rank| *rank < self.settings.candidates) else {
            return;
        };
        let Some(own_lease) = self.own_lease else { return };
        let is_busy = self.pending_swap.is_some() || self.holding.is_some() || self.released;
        let start = vacancy.since + Millis(self.settings.stagger.0 * rank as u64);
        if is_busy || now < start || now + self.settings.margin >= own_lease.until {
            return;
        }
        self.vacancy = None;
        let previous = vacancy.observed.map(|it| it.record);
        let record = Record {
            holder: Some(self.incarnation),
            fence: previous.map_or(Fence(1), |it| it.fence.next()),
            lease: own_lease.lease,
            write_id: self.new_write_id(),
        };
        let is_released = previous.is_none_or(|it| it.holder.is_none());
        let wait = if is_released {
            self.settings.wait_after_release
        } else {
            self.settings.wait_after_expiry
        };
        self.swap(now, vacancy.observed, record, wait, actions);
    }

    fn swap(
        &mut self,
        now: Millis,
        observed: Option<Observed>,
        record: Record,
        wait: Millis,
        actions: &mut Actions,
    ) {
        self.pending_swap = Some(Pending {
            record,
            wait,
            sent: now,
            unanswered: false,
        });
        let expect = observed.map(|it| it.revision);
        actions.push(Action::Swap { expect, record });
    }

    fn new_write_id(&mut self) -> WriteId {
        WriteId(self.generator.random())
    }

    fn handle_swapped(&mut self, now: Millis, write_id: WriteId, actions: &mut Actions) {
        let Some(pending) = self.pending_swap.filter(|it| it.record.write_id == write_id) else {
            return;
        };
        self.pending_swap = None;
        self.next_read = now;
        if self.is_own(&pending.record) {
            self.acquire(now, pending.record, pending.wait, actions);
        }
    }

    fn handle_conflict(&mut self, now: Millis, write_id: WriteId) {
        if self.pending_swap.is_some_and(|it| it.record.write_id == write_id) {
            self.pending_swap = None;
            self.next_read = now;
        }
    }

    fn mark_unanswered(&mut self, now: Millis, write_id: WriteId) {
        let Some(pending) = &mut self.pending_swap else {
            return;
        };
        if pending.record.write_id == write_id {
            pending.unanswered = true;
            self.next_read = now;
        }
    }

    fn check_swap_timeout(&mut self, now: Millis) {
        let limit = self.settings.answer_timeout;
        let overdue = self
            .pending_swap
            .filter(|it| !it.unanswered && now.since(it.sent) >= limit);
        if let Some(overdue) = overdue {
            self.mark_unanswered(now, overdue.record.write_id);
        }
    }

    fn handle_read_failure(&mut self, now: Millis) {
        self.read_sent = None;
        let doubled = self.settings.backoff.0 << self.read_failures.min(16);
        let max = doubled.min(self.settings.max_backoff.0);
        self.read_failures += 1;
        self.next_read = now + Millis(self.generator.random_range(max / 2..=max));
    }

    fn request_read(&mut self, now: Millis, actions: &mut Actions) {
        let is_unanswered = self.pending_swap.is_some_and(|it| it.unanswered);
        let is_eligible = self.rank.is_some_and(|rank| rank < self.settings.candidates);
        let is_needed =
            is_unanswered || self.needs_clearing || self.holding.is_some() || (is_eligible && !self.released);
        let is_reading = self
            .read_sent
            .is_some_and(|sent| now.since(sent) < self.settings.answer_timeout);
        if !is_needed || is_reading || now < self.next_read {
            return;
        }
        self.read_sent = Some(now);
        actions.push(Action::Read);
    }

    /// Stops holding the role immediately. The holder in the record is cleared after the next read.
    fn release(&mut self, now: Millis, actions: &mut Actions) {
        self.needs_clearing = self.holding.is_some() || self.pending_swap.is_some();
        self.released = true;
        self.next_read = now;
        self.end_holding(actions);
    }
}
