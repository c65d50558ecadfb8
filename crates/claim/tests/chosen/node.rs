//! A node with one ledger whose requests to the service are answered immediately.

use base::{Incarnation, Millis, Name, Seed};
use bytes::Bytes;
use claim::ledger::{Action, Event, Finish, Key, Limits};
use claim::{Answer, Binding, Call, Fingerprint, Ledger, Reason, Record};
use slotmap::SlotMap;

use super::kv::{Kv, failure};

/// Time between two ticks.
const TICK: Millis = Millis(1);

/// The key-value service and its failure mode.
#[derive(Default)]
pub struct Service {
    pub kv: Kv,
    pub mode: Mode,
    /// Delayed writes that may still take effect.
    pub delayed: Vec<Action>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Up,
    Down,
    /// Writes are delayed and reported as indeterminate; reads fail.
    Delaying,
}

/// Reply to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Granted(Call),
    Joined,
    ClaimedElsewhere,
    /// Length of the recorded body, which identifies the response in the tests.
    Recorded(usize),
    Refused(Reason),
}

pub struct Node {
    pub ledger: Ledger,
    pub now: Millis,
    calls: SlotMap<Call, ()>,
    reply: Option<Reply>,
}

impl Node {
    pub fn new(number: u64, limits: Limits) -> Self {
        Self {
            ledger: Ledger::new(Incarnation(number), Seed(number)).with_limits(limits),
            now: Millis::ZERO,
            calls: SlotMap::with_key(),
            reply: None,
        }
    }

    /// Sends a request with a key and advances time until the call gets a reply.
    pub fn request(&mut self, service: &mut Service, number: u64, body: &[u8]) -> Reply {
        self.reply = None;
        let (call, key) = (self.calls.insert(()), key(number));
        let fingerprint = Fingerprint::new(b"POST", b"/", body);
        self.step(
            service,
            Event::Arrive {
                call,
                key,
                fingerprint,
            },
        );
        while self.reply.is_none() {
            self.advance(service, TICK);
        }
        self.reply.expect("the call has a reply")
    }

    /// Requests the dispatch of a run and returns whether it was granted.
    pub fn dispatch(&mut self, service: &mut Service, number: u64, call: Call) -> bool {
        let key = key(number);
        let actions = self.step(service, Event::Dispatch { call, key });
        actions.contains(&Action::DispatchGranted { call })
    }

    /// Ends the run with a response of `length` bytes.
    pub fn answer(&mut self, service: &mut Service, number: u64, call: Call, length: usize) {
        let key = key(number);
        let result = Finish::Answered(Record {
            body: Bytes::from(vec![0; length]),
            ..Record::default()
        });
        self.step(service, Event::Finish { call, key, result });
    }

    /// Advances time, tick by tick.
    pub fn advance(&mut self, service: &mut Service, span: Millis) {
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
                self.record_reply(&action);
                all.push(action);
            }
        }
        all
    }

    fn record_reply(&mut self, action: &Action) {
        self.reply = match action {
            Action::Run { call, .. } => Some(Reply::Granted(*call)),
            Action::Join { .. } => Some(Reply::Joined),
            Action::ClaimedElsewhere { .. } => Some(Reply::ClaimedElsewhere),
            Action::Answer { answer, .. } => Some(match answer {
                Answer::Recorded(record) => Reply::Recorded(record.body.len()),
                Answer::Refused(reason) => Reply::Refused(*reason),
            }),
            _ => self.reply,
        };
    }
}

impl Service {
    /// Applies every delayed write.
    pub fn apply_delayed(&mut self) {
        for request in std::mem::take(&mut self.delayed) {
            self.kv.apply(&request);
        }
    }

    fn serve(&mut self, action: &Action) -> Option<Event> {
        match self.mode {
            Mode::Up => self.kv.apply(action),
            Mode::Down => failure(action, false),
            Mode::Delaying => {
                self.delayed.push(action.clone());
                failure(action, true)
            }
        }
    }
}

fn key(number: u64) -> Key {
    Key::new(
        &Binding::new(Name::new("cyfrif"), Name::new("tills")),
        &number.to_le_bytes(),
    )
}
