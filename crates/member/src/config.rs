//! Which generation of the catalogue this node has applied, and whether it may serve new work with it.
//!
//! A node never applies a lower generation. It asks the platform and its peers before it serves for the first time
//! and after a pause longer than its registration. It refuses new work while it could be behind: when nobody it
//! hears has had an answer of the platform for longer than the bound, and it does not reach more than half of
//! the known nodes either. A node that was out of contact for so long that it may have been declared gone takes itself
//! for gone: it is never in doubt whether a gone node serves.

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
use crate::moment::Moment;

/// The actions of one step.
pub type Actions = Vec<Action>;

/// How far the asking at the start or after a pause has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// No answer yet.
    Open,
    /// A generation at least as high as all accepted ones; it may be served from this time on.
    Answered { generation: Generation, from: Millis },
}

/// The catalogue's state on one node.
#[derive(Clone, Debug)]
pub struct Config {
    settings: Settings,
    applied: Option<Generation>,
    known: Option<Generation>,
    /// When a generation above the applied one was first known.
    behind_since: Option<Millis>,
    asked: Asked,
    /// Whether any answer has come since the start.
    has_answer: bool,
    next_ask: Millis,
    last_step: Option<Millis>,
    /// When the applied generation was last known to be the platform's.
    current: Option<Moment>,
    confirmed: Option<Answer>,
    is_majority: bool,
    /// When the registration was last renewed, or more than half of the nodes were in reach.
    contact: Option<Millis>,
    fenced: bool,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    generation: Generation,
    at: Moment,
}

impl Config {
    /// A node that has applied nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            applied: None,
            known: None,
            behind_since: None,
            asked: Asked::Open,
            has_answer: false,
            next_ask: Millis::ZERO,
            last_step: None,
            current: None,
            confirmed: None,
            is_majority: false,
            contact: None,
            fenced: false,
        }
    }

    /// For the next incarnation of the same process: it keeps what it has applied, and asks before it serves.
    #[must_use]
    pub fn renew(&self) -> Self {
        Self {
            applied: self.applied,
            known: self.known,
            behind_since: self.behind_since,
            ..Self::new(self.settings)
        }
    }

    /// The generation in force on this node.
    pub fn applied(&self) -> Option<Generation> {
        self.applied
    }

    /// The highest generation that this node knows of.
    pub fn known(&self) -> Option<Generation> {
        self.known
    }

    /// The generation to serve new work with, or why none may be served.
    pub fn serving(&self, now: Millis) -> Result<Generation, Refusal> {
        if self.fenced || self.is_out_of_contact(now) {
            return Err(Refusal::Fenced);
        }
        let applied = self.applied.ok_or(Refusal::Empty)?;
        let Asked::Answered { generation, from } = self.asked else {
            return Err(Refusal::Asking);
        };
        if now < from || self.has_paused(now) {
            return Err(Refusal::Asking);
        }
        let bound = self.settings.bound;
        let is_late = self.behind_since.is_some_and(|since| now.since(since) > bound);
        if applied < generation || is_late {
            return Err(Refusal::Behind);
        }
        let is_current = self.current.is_some_and(|at| at.age(now) <= bound);
        if !is_current && !self.is_majority {
            return Err(Refusal::CutOff);
        }
        Ok(applied)
    }

    /// Takes one event.
    pub fn step(&mut self, now: Millis, event: Event) -> Actions {
        let mut actions = Actions::new();
        self.contact.get_or_insert(now);
        self.wake(now, &mut actions);
        self.last_step = Some(now);
        match event {
            Event::Tick => {}
            Event::Known(generation) => self.know(now, generation, &mut actions),
            Event::Fetched(generation) => self.apply(generation, &mut actions),
            Event::Platform(generation) => self.take_platform(now, generation, &mut actions),
            Event::Renewed => self.touch(now, &mut actions),
            Event::Peer(serving) => self.take_peer(now, serving, &mut actions),
            Event::Confirmed(confirmed) => self.take_confirmed(now, confirmed, &mut actions),
            Event::Reach(reach) => self.take_reach(now, reach, &mut actions),
            Event::Fenced => self.fence(&mut actions),
        }
        self.ask(now, &mut actions);
        actions
    }

    /// Notes a pause that ends with this step, and the end of this incarnation.
    fn wake(&mut self, now: Millis, actions: &mut Actions) {
        if self.asked != Asked::Open && self.is_out_of_contact(now) {
            self.fence(actions);
        }
        if self.has_paused(now) {
            self.asked = Asked::Open;
            self.next_ask = now;
            // What was in reach before the pause says nothing now.
            self.is_majority = false;
        }
    }

    fn fence(&mut self, actions: &mut Actions) {
        if !self.fenced {
            self.fenced = true;
            actions.push(Action::Fence);
        }
    }

    /// Whether this incarnation was declared gone, or takes itself for gone.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    fn is_out_of_contact(&self, now: Millis) -> bool {
        let bound = self.settings.fence_after;
        self.contact.is_some_and(|at| now.since(at) >= bound)
    }

    fn take_reach(&mut self, now: Millis, reach: Reach, actions: &mut Actions) {
        self.is_majority = reach.is_majority();
        if self.is_majority {
            self.touch(now, actions);
        }
    }

    /// Notes contact. A node that was out of contact before it ever served is fenced only now, so that one
    /// started in an outage doesn't start again and again.
    fn touch(&mut self, now: Millis, actions: &mut Actions) {
        if self.is_out_of_contact(now) {
            self.fence(actions);
        }
        self.contact = Some(now);
    }

    fn has_paused(&self, now: Millis) -> bool {
        self.last_step
            .is_some_and(|last| now.since(last) >= self.settings.registration)
    }

    fn ask(&mut self, now: Millis, actions: &mut Actions) {
        if self.asked != Asked::Open || now < self.next_ask {
            return;
        }
        self.next_ask = now + self.settings.ask;
        actions.push(Action::Ask);
    }

    fn know(&mut self, now: Millis, generation: Generation, actions: &mut Actions) {
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
        self.note_current();
        actions.push(Action::Apply(generation));
    }

    fn take_platform(&mut self, now: Millis, generation: Generation, actions: &mut Actions) {
        self.answer(generation, now);
        let confirmed = Confirmed { generation, age: 0 };
        self.take_confirmed(now, confirmed, actions);
    }

    fn take_peer(&mut self, now: Millis, serving: Option<Generation>, actions: &mut Actions) {
        let Some(generation) = serving else { return };
        let from = if self.has_answer {
            now
        } else {
            now + self.settings.settle
        };
        self.answer(generation, from);
        self.know(now, generation, actions);
    }

    fn answer(&mut self, generation: Generation, from: Millis) {
        self.has_answer = true;
        self.asked = match self.asked {
            Asked::Open => Asked::Answered { generation, from },
            Asked::Answered {
                generation: earlier,
                from: earlier_from,
            } => Asked::Answered {
                generation: generation.max(earlier),
                from: from.min(earlier_from),
            },
        };
    }

    fn take_confirmed(&mut self, now: Millis, confirmed: Confirmed, actions: &mut Actions) {
        let generation = confirmed.generation;
        let at = Moment::ago(now, u64::from(confirmed.age));
        let is_news = |known: Answer| (generation, at) > (known.generation, known.at);
        if self.confirmed.is_none_or(is_news) {
            self.confirmed = Some(Answer { generation, at });
        }
        self.know(now, generation, actions);
        self.note_current();
    }

    fn note_current(&mut self) {
        let Some(answer) = self.confirmed else { return };
        if self.applied >= Some(answer.generation) {
            self.current = self.current.max(Some(answer.at));
        }
    }
}
