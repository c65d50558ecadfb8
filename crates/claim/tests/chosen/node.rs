//! A node with one ledger whose requests are served at once.

use base::{Incarnation, Millis, Name, Seed};
use bytes::Bytes;
use claim::ledger::{Action, Event, Finish, Key, Limits};
use claim::{Answer, Binding, Call, Fingerprint, Ledger, Reason, Record};
use slotmap::SlotMap;

use super::kv::{Kv, failure};

/// Time between two ticks.
const TICK: Millis = Millis(1);

/// The service and how it does.
#[derive(Default)]
pub struct Service {
    pub kv: Kv,
    pub mode: Mode,
    /// Writes that may still take effect.
    pub ghosts: Vec<Action>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Well,
    Down,
    /// Writes are put off, and their senders told that they are lost; reads fail.
    Losing,
}

/// What a call was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Granted(Call),
    Joined,
    Taken,
    /// The body's length tells the answers of the tests apart.
    Recorded(usize),
    Refused(Reason),
}

pub struct Node {
    pub ledger: Ledger,
    pub now: Millis,
    calls: SlotMap<Call, ()>,
    told: Option<Told>,
}

impl Node {
    pub fn new(number: u64, limits: Limits) -> Self {
        Self {
            ledger: Ledger::new(Incarnation(number), Seed(number)).with_limits(limits),
            now: Millis::ZERO,
            calls: SlotMap::with_key(),
            told: None,
        }
    }

    /// Asks for a key, until the call is told something.
    pub fn want(&mut self, service: &mut Service, number: u64, body: &[u8]) -> Told {
        self.told = None;
        let (call, key) = (self.calls.insert(()), name(number));
        let fingerprint = Fingerprint::new(b"POST", b"/", body);
        self.step(
            service,
            Event::Arrive {
                call,
                key,
                fingerprint,
            },
        );
        while self.told.is_none() {
            self.pass(service, TICK);
        }
        self.told.expect("the call was told something")
    }

    /// Sends; false if the run must not.
    pub fn dispatch(&mut self, service: &mut Service, number: u64, call: Call) -> bool {
        let key = name(number);
        let actions = self.step(service, Event::Dispatch { call, key });
        actions.contains(&Action::Dispatch { call })
    }

    /// Ends the run with an answer of `length` bytes.
    pub fn answer(&mut self, service: &mut Service, number: u64, call: Call, length: usize) {
        let key = name(number);
        let result = Finish::Answered(Record {
            body: Bytes::from(vec![0; length]),
            ..Record::default()
        });
        self.step(service, Event::Finish { call, key, result });
    }

    /// Lets time pass, tick by tick.
    pub fn pass(&mut self, service: &mut Service, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + TICK;
            self.step(service, Event::Tick);
        }
    }

    fn step(&mut self, service: &mut Service, event: Event) -> Vec<Action> {
        let mut events = vec![event];
        let mut all = Vec::new();
        while let Some(event) = events.pop() {
            for action in self.ledger.step(self.now, event) {
                events.extend(service.serve(&action));
                self.note(&action);
                all.push(action);
            }
        }
        all
    }

    fn note(&mut self, action: &Action) {
        self.told = match action {
            Action::Granted { call, .. } => Some(Told::Granted(*call)),
            Action::Join { .. } => Some(Told::Joined),
            Action::ClaimedElsewhere { .. } => Some(Told::Taken),
            Action::Answer { answer, .. } => Some(match answer {
                Answer::Recorded(record) => Told::Recorded(record.body.len()),
                Answer::Refused(reason) => Told::Refused(*reason),
            }),
            _ => self.told,
        };
    }
}

impl Service {
    /// Lets every write that was put off take effect.
    pub fn settle_ghosts(&mut self) {
        for ghost in std::mem::take(&mut self.ghosts) {
            self.kv.effect(&ghost);
        }
    }

    fn serve(&mut self, action: &Action) -> Option<Event> {
        match self.mode {
            Mode::Well => self.kv.effect(action),
            Mode::Down => failure(action, false),
            Mode::Losing => {
                self.ghosts.push(action.clone());
                failure(action, true)
            }
        }
    }
}

fn name(number: u64) -> Key {
    Key::new(
        &Binding::new(Name::new("cyfrif"), Name::new("tills")),
        &number.to_le_bytes(),
    )
}
