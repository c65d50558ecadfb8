//! A table and a ledger that process one key after another.

use std::hint::black_box;

use base::{Incarnation, Millis, Name, Seed};
use bytes::Bytes;
use claim::ledger::{self, Ledger};
use claim::table::{self, Finish, Home};
use claim::{Binding, Call, Fingerprint, Key, Record, Secret, Table};
use slotmap::SlotMap;

/// A home node that issues, runs and repeats one key per cycle.
pub struct Issuer {
    table: Table,
    calls: SlotMap<Call, ()>,
    binding: Binding,
    fingerprint: Fingerprint,
}

impl Issuer {
    pub fn new(held: usize) -> Self {
        let limits = table::Limits {
            keys: held,
            bytes: held * 256,
            ..table::Limits::default()
        };
        Self {
            table: Table::new(Incarnation(1), Secret::new(b"secret")).with_limits(limits),
            calls: SlotMap::with_key(),
            binding: Binding::new(Name::new("cyfrif"), Name::new("tills")),
            fingerprint: Fingerprint::new(b"POST", b"/", b""),
        }
    }

    pub fn cycle(&mut self) {
        let call = self.calls.insert(());
        let binding = self.binding.clone();
        let issued = self.step(table::Event::Issue { call, binding });
        let [table::Action::Issued { key, .. }] = issued[..] else {
            return;
        };
        let arrival = self.arrival(call, key);
        self.step(arrival);
        self.step(table::Event::Dispatch { call, key });
        let result = Finish::Answered(record());
        self.step(table::Event::Finish { call, key, result });
        let repeat = self.arrival(call, key);
        black_box(self.step(repeat));
        self.calls.remove(call);
    }

    fn arrival(&self, call: Call, key: Key) -> table::Event {
        table::Event::Arrive {
            call,
            key,
            binding: self.binding.clone(),
            fingerprint: self.fingerprint,
            home: Home::Alive,
        }
    }

    fn step(&mut self, event: table::Event) -> table::Actions {
        self.table.step(Millis::ZERO, event)
    }
}

/// A node whose key-value service answers immediately.
pub struct Node {
    ledger: Ledger,
    calls: SlotMap<Call, ()>,
    binding: Binding,
    fingerprint: Fingerprint,
    number: u64,
    now: Millis,
}

impl Node {
    pub fn new(held: usize) -> Self {
        let limits = ledger::Limits {
            claims: held,
            write_interval: Millis::ZERO,
            // Claims expire as fast as new ones arrive.
            retention: Millis(held as u64),
            ..ledger::Limits::default()
        };
        Self {
            ledger: Ledger::new(Incarnation(1), Seed(1)).with_limits(limits),
            calls: SlotMap::with_key(),
            binding: Binding::new(Name::new("cyfrif"), Name::new("tills")),
            fingerprint: Fingerprint::new(b"POST", b"/", b""),
            number: 0,
            now: Millis::ZERO,
        }
    }

    pub fn cycle(&mut self) {
        self.number += 1;
        self.now = self.now + Millis(1);
        let key = ledger::Key::new(&self.binding, &self.number.to_le_bytes());
        let call = self.calls.insert(());
        let fingerprint = self.fingerprint;
        self.step_and_reply(ledger::Event::Arrive {
            call,
            key,
            fingerprint,
        });
        self.step_and_reply(ledger::Event::Dispatch { call, key });
        let result = Finish::Answered(record());
        self.step_and_reply(ledger::Event::Finish { call, key, result });
        self.step_and_reply(ledger::Event::Arrive {
            call,
            key,
            fingerprint,
        });
        if self.number.is_multiple_of(64) {
            self.step_and_reply(ledger::Event::Tick);
        }
        self.calls.remove(call);
    }

    /// Handles the event and answers every request to the service.
    fn step_and_reply(&mut self, event: ledger::Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.ledger.step(self.now, event) {
                events.extend(reply(&action));
            }
        }
    }
}

fn reply(action: &ledger::Action) -> Option<ledger::Event> {
    match *action {
        ledger::Action::Write { shard, sequence, .. } => {
            let result = ledger::WriteDone::Created;
            Some(ledger::Event::WriteDone {
                shard,
                sequence,
                result,
            })
        }
        ledger::Action::Read { shard, sequence } => {
            let result = ledger::ReadDone::Absent;
            Some(ledger::Event::ReadDone {
                shard,
                sequence,
                result,
            })
        }
        ledger::Action::ReadBase { shard } => {
            let result = ledger::BaseDone::Absent;
            Some(ledger::Event::BaseDone { shard, result })
        }
        ledger::Action::SwapBase { shard, .. } => Some(ledger::Event::SwapDone { shard }),
        _ => None,
    }
}

fn record() -> Record {
    Record {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(b"{\"taken\":true}"),
    }
}
