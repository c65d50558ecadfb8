//! Tracks the applied catalogue generation and decides whether the node may serve new work with it.
//!
//! - The applied generation never decreases.
//! - The node synchronizes with the platform or a peer before it first serves, and again after a pause longer than
//!   the lifetime of its registration.
//! - The node refuses new work while its catalogue may be stale: neither it nor any peer it hears from has had an
//!   answer from the platform within [`Settings::max_staleness`], and it does not reach a majority of the known nodes.
//! - A node without contact for so long that others may have declared it gone fences itself, so that a node that
//!   others consider gone never serves.

mod event;
mod refusal;
mod settings;

use base::Millis;

pub use event::{Action, Event};
pub use refusal::Refusal;
pub use settings::Settings;

use crate::Generation;
use crate::frame::Confirmed;
use crate::gossip::Reach;
use crate::timestamp::Timestamp;

/// The actions of one step.
pub type Actions = Vec<Action>;

/// State of the synchronization at startup or after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SyncState {
    /// Not answered yet.
    Pending,
    /// Answered with a generation at least as high as every accepted one; it may be served from `serve_from` on.
    Synced {
        generation: Generation,
        serve_from: Millis,
    },
}

/// The catalogue state of one node.
#[derive(Clone, Debug)]
pub struct Config {
    settings: Settings,
    applied: Option<Generation>,
    known: Option<Generation>,
    /// Since when a generation above the applied one has been known.
    behind_since: Option<Millis>,
    sync: SyncState,
    /// Whether any synchronization was answered since startup.
    has_synced: bool,
    next_sync: Millis,
    last_step: Option<Millis>,
    /// When the applied generation was last confirmed to be at least the platform's.
    current_at: Option<Timestamp>,
    confirmed: Option<Answer>,
    reaches_majority: bool,
    /// When the registration was last renewed or a majority of the nodes was last reachable.
    last_contact: Option<Millis>,
    fenced: bool,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    generation: Generation,
    at: Timestamp,
}

impl Config {
    /// Creates the state of a node that has applied no generation yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            applied: None,
            known: None,
            behind_since: None,
            sync: SyncState::Pending,
            has_synced: false,
            next_sync: Millis::ZERO,
            last_step: None,
            current_at: None,
            confirmed: None,
            reaches_majority: false,
            last_contact: None,
            fenced: false,
        }
    }

    /// Returns the state for the next incarnation of this process: it keeps the known and applied generations, and must
    /// synchronize before it serves.
    #[must_use]
    pub fn next_incarnation(&self) -> Self {
        Self {
            applied: self.applied,
            known: self.known,
            behind_since: self.behind_since,
            ..Self::new(self.settings)
        }
    }

    /// Returns the generation in force on this node.
    pub fn applied(&self) -> Option<Generation> {
        self.applied
    }

    /// Returns the highest known generation.
    pub fn known(&self) -> Option<Generation> {
        self.known
    }

    /// Returns the generation to serve new work with, or the reason to refuse it.
    pub fn serving(&self, now: Millis) -> Result<Generation, Refusal> {
        if self.fenced || self.is_contact_expired(now) {
            return Err(Refusal::Fenced);
        }
        let applied = self.applied.ok_or(Refusal::NoCatalogue)?;
        let SyncState::Synced {
            generation,
            serve_from,
        } = self.sync
        else {
            return Err(Refusal::Syncing);
        };
        if now < serve_from || self.has_paused(now) {
            return Err(Refusal::Syncing);
        }
        let max_staleness = self.settings.max_staleness;
        let is_overdue = self
            .behind_since
            .is_some_and(|since| now.since(since) > max_staleness);
        if applied < generation || is_overdue {
            return Err(Refusal::Behind);
        }
        let is_current = self.current_at.is_some_and(|at| at.age(now) <= max_staleness);
        if !is_current && !self.reaches_majority {
            return Err(Refusal::Partitioned);
        }
        Ok(applied)
    }

    /// Handles an event and returns the resulting actions.
    pub fn step(&mut self, now: Millis, event: Event) -> Actions {
        let mut actions = Actions::new();
        self.last_contact.get_or_insert(now);
        self.detect_pause(now, &mut actions);
        self.last_step = Some(now);
        match event {
            Event::Tick => {}
            Event::Known(generation) => self.learn_generation(now, generation, &mut actions),
            Event::Fetched(generation) => self.apply(generation, &mut actions),
            Event::Platform(generation) => self.handle_platform(now, generation, &mut actions),
            Event::Renewed => self.record_contact(now, &mut actions),
            Event::Peer(serving) => self.handle_peer(now, serving, &mut actions),
            Event::Confirmed(confirmed) => self.handle_confirmed(now, confirmed, &mut actions),
            Event::Reach(reach) => self.handle_reach(now, reach, &mut actions),
            Event::Fenced => self.fence(&mut actions),
        }
        self.request_sync(now, &mut actions);
        actions
    }

    /// Restarts synchronization if this step ends a pause, and fences the node if its contact has expired.
    fn detect_pause(&mut self, now: Millis, actions: &mut Actions) {
        if self.sync != SyncState::Pending && self.is_contact_expired(now) {
            self.fence(actions);
        }
        if self.has_paused(now) {
            self.sync = SyncState::Pending;
            self.next_sync = now;
            // Reachability measured before the pause is outdated.
            self.reaches_majority = false;
        }
    }

    fn fence(&mut self, actions: &mut Actions) {
        if !self.fenced {
            self.fenced = true;
            actions.push(Action::Fence);
        }
    }

    /// Whether this incarnation was declared gone or has fenced itself.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    fn is_contact_expired(&self, now: Millis) -> bool {
        let limit = self.settings.fence_after;
        self.last_contact.is_some_and(|at| now.since(at) >= limit)
    }

    fn handle_reach(&mut self, now: Millis, reach: Reach, actions: &mut Actions) {
        self.reaches_majority = reach.is_majority();
        if self.reaches_majority {
            self.record_contact(now, actions);
        }
    }

    /// Records contact. A node whose contact expired before it ever served is fenced only here, once contact returns,
    /// so that a node started during an outage doesn't restart repeatedly.
    fn record_contact(&mut self, now: Millis, actions: &mut Actions) {
        if self.is_contact_expired(now) {
            self.fence(actions);
        }
        self.last_contact = Some(now);
    }

    fn has_paused(&self, now: Millis) -> bool {
        self.last_step
            .is_some_and(|last| now.since(last) >= self.settings.registration_ttl)
    }

    fn request_sync(&mut self, now: Millis, actions: &mut Actions) {
        if self.sync != SyncState::Pending || now < self.next_sync {
            return;
        }
        self.next_sync = now + self.settings.sync_interval;
        actions.push(Action::Sync);
    }

    fn learn_generation(&mut self, now: Millis, generation: Generation, actions: &mut Actions) {
        if self.known >= Some(generation) {
            return;
        }
        self.known = Some(generation);
        if self.applied < self.known {
            self.behind_since.get_or_insert(now);
            actions.push(Action::Fetch(generation));
        }
    }

    fn apply(&mut self, generation: Generation, actions: &mut Actions) {
        if self.applied >= Some(generation) {
            return;
        }
        self.applied = Some(generation);
        self.known = self.known.max(self.applied);
        if self.applied == self.known {
            self.behind_since = None;
        }
        self.update_current();
        actions.push(Action::Apply(generation));
    }

    fn handle_platform(&mut self, now: Millis, generation: Generation, actions: &mut Actions) {
        self.complete_sync(generation, now);
        let confirmed = Confirmed { generation, age: 0 };
        self.handle_confirmed(now, confirmed, actions);
    }

    fn handle_peer(&mut self, now: Millis, serving: Option<Generation>, actions: &mut Actions) {
        let Some(generation) = serving else { return };
        let serve_from = if self.has_synced {
            now
        } else {
            now + self.settings.startup_delay
        };
        self.complete_sync(generation, serve_from);
        self.learn_generation(now, generation, actions);
    }

    fn complete_sync(&mut self, generation: Generation, serve_from: Millis) {
        self.has_synced = true;
        self.sync = match self.sync {
            SyncState::Pending => SyncState::Synced {
                generation,
                serve_from,
            },
            SyncState::Synced {
                generation: earlier,
                serve_from: earlier_serve_from,
            } => SyncState::Synced {
                generation: generation.max(earlier),
                serve_from: serve_from.min(earlier_serve_from),
            },
        };
    }

    fn handle_confirmed(&mut self, now: Millis, confirmed: Confirmed, actions: &mut Actions) {
        let generation = confirmed.generation;
        let at = Timestamp::before(now, u64::from(confirmed.age));
        let is_newer = |known: Answer| (generation, at) > (known.generation, known.at);
        if self.confirmed.is_none_or(is_newer) {
            self.confirmed = Some(Answer { generation, at });
        }
        self.learn_generation(now, generation, actions);
        self.update_current();
    }

    fn update_current(&mut self) {
        let Some(answer) = self.confirmed else { return };
        if self.applied >= Some(answer.generation) {
            self.current_at = self.current_at.max(Some(answer.at));
        }
    }
}
