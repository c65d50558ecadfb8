//! One leased role with a fencing number, as one node sees it.
//!
//! The role's record stands in the key-value service for good, so that its fencing number only grows. It names its
//! holder and the holder's lease; the role is vacant when that lease has lapsed or the holder has released it. The
//! lease is that of the node's registration, so renewals cost one write a node and not one a role.

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
pub use record::{Fence, Lease, Observed, Record, Revision, Write};
pub use settings::Settings;

use self::state::{Holding, Own, Pending, Vacant};

/// The actions of one step.
pub type Actions = Vec<Action>;

/// One role as one node sees it.
#[derive(Clone, Debug)]
pub struct Role {
    settings: Settings,
    me: Incarnation,
    generator: Generator,
    own: Option<Own>,
    rank: Option<usize>,
    holding: Option<Holding>,
    pending: Option<Pending>,
    /// When the role was first seen vacant, and its revision.
    vacant: Option<Vacant>,
    highest: Fence,
    next_read: Millis,
    /// When the read that is not answered yet was sent.
    reading: Option<Millis>,
    failures: u32,
    released: bool,
    /// Whether the record may still name this node after the release.
    freeing: bool,
}

impl Role {
    /// A role that `me` may take up.
    pub fn new(me: Incarnation, seed: Seed, settings: Settings) -> Self {
        Self {
            settings,
            me,
            generator: seed.generator(),
            own: None,
            rank: None,
            holding: None,
            pending: None,
            vacant: None,
            highest: Fence(0),
            next_read: Millis::ZERO,
            reading: None,
            failures: 0,
            released: false,
            freeing: false,
        }
    }

    /// The fencing number to send with an order that leaves now; `None` if no order may leave.
    ///
    /// NB: call this right before each order, with the time read right before.
    pub fn may_act(&self, now: Millis) -> Option<Fence> {
        let holding = self.holding?;
        let own = self.own?;
        let in_time = now >= holding.from && now + self.settings.margin < own.until;
        (in_time && own.lease == holding.lease).then_some(holding.fence)
    }

    /// Whether the role is held, even if no order may leave now.
    pub fn is_held(&self) -> bool {
        self.holding.is_some()
    }

    /// Takes one event.
    pub fn step(&mut self, now: Millis, event: Event) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Tick => {}
            Event::Rank(rank) => self.rank = rank,
            Event::Leased { lease, until } => self.take_lease(lease, until, &mut actions),
            Event::Lapsed => self.lapse(&mut actions),
            Event::Read(observed) => self.take_record(now, observed, &mut actions),
            Event::ReadFailed => self.fail(now),
            Event::Swapped(write) => self.swapped(now, write, &mut actions),
            Event::Conflict(write) => self.conflict(now, write),
            Event::Lost(write) => self.lose(now, write),
            Event::Release => self.release(now, &mut actions),
        }
        self.check_lease(now, &mut actions);
        self.check_pending(now);
        self.attempt(now, &mut actions);
        self.read(now, &mut actions);
        actions
    }

    fn take_lease(&mut self, lease: Lease, until: Millis, actions: &mut Actions) {
        if self.own.is_some_and(|own| own.lease != lease) {
            self.drop_holding(actions);
        }
        self.own = Some(Own { lease, until });
    }

    fn lapse(&mut self, actions: &mut Actions) {
        self.own = None;
        self.drop_holding(actions);
    }

    /// Gives up what is held once the own lease has run out on the own clock.
    fn check_lease(&mut self, now: Millis, actions: &mut Actions) {
        if self.own.is_some_and(|own| now >= own.until) {
            self.lapse(actions);
        }
    }

    fn drop_holding(&mut self, actions: &mut Actions) {
        if let Some(holding) = self.holding.take() {
            actions.push(Action::Ended(holding.fence));
        }
    }

    fn take_record(&mut self, now: Millis, observed: Option<Observed>, actions: &mut Actions) {
        self.reading = None;
        self.failures = 0;
        self.next_read = now + self.settings.poll;
        if let Some(observed) = observed {
            if observed.record.fence < self.highest {
                // A late answer: the record has moved on since.
                return;
            }
            self.highest = observed.record.fence;
        }
        self.settle(now, observed, actions);
        self.note_vacant(now, observed);
    }

    /// Settles a lost swap, and notices a role that was lost or that is held without knowing.
    fn settle(&mut self, now: Millis, observed: Option<Observed>, actions: &mut Actions) {
        let pending = self.pending.filter(|it| it.lost);
        if pending.is_some() {
            self.pending = None;
        }
        let Some(observed) = observed else { return };
        if !self.is_own(&observed.record) {
            self.drop_holding(actions);
            self.freeing = false;
            return;
        }
        if self.released {
            self.free(now, observed, actions);
            return;
        }
        if self.holding.is_some() {
            return;
        }
        let own_write = pending.filter(|it| it.record.write == observed.record.write);
        // NB: a swap that took effect after it was given up as lost: whom it replaced is no longer known.
        let wait_out = own_write.map_or(self.settings.wait_out, |it| it.wait_out);
        self.hold(now, observed.record, wait_out, actions);
    }

    /// Frees the record after a release; the fencing number stays for the next holder to raise.
    fn free(&mut self, now: Millis, observed: Observed, actions: &mut Actions) {
        if self.pending.is_some() {
            return;
        }
        let record = Record {
            holder: None,
            write: self.draw_write(),
            ..observed.record
        };
        self.swap(now, Some(observed), record, Millis::ZERO, actions);
    }

    fn is_own(&self, record: &Record) -> bool {
        let is_lease = self.own.is_some_and(|own| own.lease == record.lease);
        record.holder == Some(self.me) && is_lease
    }

    fn hold(&mut self, now: Millis, record: Record, wait_out: Millis, actions: &mut Actions) {
        let fence = record.fence;
        let lease = record.lease;
        let from = now + wait_out;
        self.highest = fence.max(self.highest);
        self.vacant = None;
        self.holding = Some(Holding { fence, lease, from });
        actions.push(Action::Held { fence, from });
    }

    fn note_vacant(&mut self, now: Millis, observed: Option<Observed>) {
        let is_vacant = observed.is_none_or(|it| it.is_vacant());
        if !is_vacant || self.holding.is_some() {
            self.vacant = None;
            return;
        }
        let revision = |it: Option<Observed>| it.map(|it| it.revision);
        let same = self
            .vacant
            .filter(|it| revision(it.observed) == revision(observed));
        let since = same.map_or(now, |it| it.since);
        self.vacant = Some(Vacant { observed, since });
    }

    /// Tries to take a vacant role up, the better ranked candidates first.
    fn attempt(&mut self, now: Millis, actions: &mut Actions) {
        let Some(vacant) = self.vacant else { return };
        let Some(rank) = self.rank.filter(|rank| *rank < self.settings.candidates) else {
            return;
        };
        let Some(own) = self.own else { return };
        let is_busy = self.pending.is_some() || self.holding.is_some() || self.released;
        let start = vacant.since + Millis(self.settings.stagger.0 * rank as u64);
        if is_busy || now < start || now + self.settings.margin >= own.until {
            return;
        }
        self.vacant = None;
        let before = vacant.observed.map(|it| it.record);
        let record = Record {
            holder: Some(self.me),
            fence: before.map_or(Fence(1), |it| it.fence.next()),
            lease: own.lease,
            write: self.draw_write(),
        };
        let was_released = before.is_none_or(|it| it.holder.is_none());
        let wait_out = if was_released {
            self.settings.wait_after_release
        } else {
            self.settings.wait_out
        };
        self.swap(now, vacant.observed, record, wait_out, actions);
    }

    fn swap(
        &mut self,
        now: Millis,
        observed: Option<Observed>,
        record: Record,
        wait_out: Millis,
        actions: &mut Actions,
    ) {
        self.pending = Some(Pending {
            record,
            wait_out,
            sent: now,
            lost: false,
        });
        let expect = observed.map(|it| it.revision);
        actions.push(Action::Swap { expect, record });
    }

    fn draw_write(&mut self) -> Write {
        Write(self.generator.random())
    }

    fn swapped(&mut self, now: Millis, write: Write, actions: &mut Actions) {
        let Some(pending) = self.pending.filter(|it| it.record.write == write) else {
            return;
        };
        self.pending = None;
        self.next_read = now;
        if self.is_own(&pending.record) {
            self.hold(now, pending.record, pending.wait_out, actions);
        }
    }

    fn conflict(&mut self, now: Millis, write: Write) {
        if self.pending.is_some_and(|it| it.record.write == write) {
            self.pending = None;
            self.next_read = now;
        }
    }

    fn lose(&mut self, now: Millis, write: Write) {
        let Some(pending) = &mut self.pending else { return };
        if pending.record.write == write {
            pending.lost = true;
            self.next_read = now;
        }
    }

    fn check_pending(&mut self, now: Millis) {
        let limit = self.settings.answer_within;
        let late = self.pending.filter(|it| !it.lost && now.since(it.sent) >= limit);
        if let Some(late) = late {
            self.lose(now, late.record.write);
        }
    }

    fn fail(&mut self, now: Millis) {
        self.reading = None;
        let doubled = self.settings.backoff.0 << self.failures.min(16);
        let longest = doubled.min(self.settings.longest_backoff.0);
        self.failures += 1;
        self.next_read = now + Millis(self.generator.random_range(longest / 2..=longest));
    }

    fn read(&mut self, now: Millis, actions: &mut Actions) {
        let is_lost = self.pending.is_some_and(|it| it.lost);
        let takes_part = self.rank.is_some_and(|rank| rank < self.settings.candidates);
        let is_needed = is_lost || self.freeing || self.holding.is_some() || (takes_part && !self.released);
        let is_reading = self
            .reading
            .is_some_and(|sent| now.since(sent) < self.settings.answer_within);
        if !is_needed || is_reading || now < self.next_read {
            return;
        }
        self.reading = Some(now);
        actions.push(Action::Read);
    }

    /// Stops acting at once, and frees the record once it has been read.
    fn release(&mut self, now: Millis, actions: &mut Actions) {
        self.freeing = self.holding.is_some() || self.pending.is_some();
        self.released = true;
        self.next_read = now;
        self.drop_holding(actions);
    }
}
