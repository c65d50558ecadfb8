//! Group commit by the ledger, with results, base swaps and deletes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use base::seed::Generator;
use base::{Incarnation, Millis, Name, Seed};
use bytes::Bytes;
use claim::ledger::{Action, BaseDone, Event, Finish, Key, Limits, ReadDone, Shard, Version, WriteDone};
use claim::{Binding, Call, Fingerprint, Ledger, Record};
use indexmap::IndexMap;
use rand::Rng as _;
use slotmap::SlotMap;

use super::service::Service;
use super::stats::Stats;
use crate::{Layout, RUN_SECS, WARMUP_SECS};

/// Seed of the arrivals; the same for every case.
pub const SEED: u64 = 20_261_203;
/// Maximum wait for a claim, in microseconds.
pub const CLAIM_TIMEOUT: u64 = 500_000;
/// Time from a grant to the end of the run, in microseconds.
const RUN_MICROS: u64 = 20_000;
/// Time between two ticks, in microseconds.
const TICK_MICROS: u64 = 5_000;
/// Claims per shard; high enough that only the write rate limits the throughput.
const CLAIMS: usize = 1_000_000;
/// Size of a response body, in bytes.
const BODY_BYTES: usize = 200;

/// Time to the next arrival, in microseconds; exponentially distributed for `rate` arrivals per second.
pub fn interarrival(generator: &mut Generator, rate: u64) -> u64 {
    let uniform = (generator.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    (-(1.0 - uniform).ln() * 1e6 / rate as f64) as u64
}

/// One ledger that is the only writer of every shard.
pub struct Group {
    now: u64,
    rate: u64,
    ledger: Ledger,
    service: Service,
    generator: Generator,
    bases: IndexMap<Shard, Bytes>,
    calls: SlotMap<Call, u64>,
    due: BinaryHeap<Reverse<Due>>,
    tasks: IndexMap<u64, Task>,
    next_number: u64,
    stats: Stats,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: u64,
    number: u64,
}

enum Task {
    Arrival,
    Tick,
    Dispatch(Call, Key),
    Event(Event),
}

impl Group {
    pub fn new(rate: u64, latency_ms: u64, layout: Layout) -> Self {
        let limits = Limits {
            shards: layout.shards,
            write_interval: Millis(layout.interval),
            claims: CLAIMS,
            claim_timeout: Millis(CLAIM_TIMEOUT / 1_000),
            ..Limits::default()
        };
        let mut group = Self {
            now: 0,
            rate,
            ledger: Ledger::new(Incarnation(1), Seed(SEED)).with_limits(limits),
            service: Service::new(latency_ms),
            generator: Seed(SEED).generator(),
            bases: IndexMap::new(),
            calls: SlotMap::with_key(),
            due: BinaryHeap::new(),
            tasks: IndexMap::new(),
            next_number: 0,
            stats: Stats::default(),
        };
        let first = interarrival(&mut group.generator, rate);
        group.schedule(first, Task::Arrival);
        group.schedule(TICK_MICROS, Task::Tick);
        group
    }

    pub fn run(mut self) -> Stats {
        let mut keys = 0_u64;
        while let Some(Reverse(due)) = self.due.pop() {
            if due.at >= RUN_SECS * 1_000_000 {
                break;
            }
            self.now = due.at;
            match self.tasks.swap_remove(&due.number) {
                Some(Task::Arrival) => {
                    keys += 1;
                    self.arrive(keys);
                }
                Some(Task::Tick) => {
                    self.schedule(self.now + TICK_MICROS, Task::Tick);
                    self.step(Event::Tick);
                }
                Some(Task::Dispatch(call, key)) => self.answer(call, key),
                Some(Task::Event(event)) => self.step(event),
                None => {}
            }
        }
        self.stats
    }

    fn schedule(&mut self, at: u64, task: Task) {
        self.next_number += 1;
        let number = self.next_number;
        self.tasks.insert(number, task);
        self.due.push(Reverse(Due { at, number }));
    }

    fn arrive(&mut self, number: u64) {
        let next = self.now + interarrival(&mut self.generator, self.rate);
        self.schedule(next, Task::Arrival);
        let call = self.calls.insert(self.now);
        let binding = Binding::new(Name::new("cyfrif"), Name::new("tills"));
        let key = Key::new(&binding, &number.to_le_bytes());
        let fingerprint = Fingerprint::new(b"POST", b"/", b"");
        self.step(Event::Arrive {
            call,
            key,
            fingerprint,
        });
    }

    fn answer(&mut self, call: Call, key: Key) {
        self.step(Event::Dispatch { call, key });
        let result = Finish::Answered(Record {
            status: 200,
            headers: Vec::new(),
            body: Bytes::from(vec![0; BODY_BYTES]),
        });
        self.step(Event::Finish { call, key, result });
    }

    fn step(&mut self, event: Event) {
        let actions = self.ledger.step(Millis(self.now / 1_000), event);
        for action in actions {
            self.handle(action);
        }
    }

    fn handle(&mut self, action: Action) {
        let counted = self.now >= WARMUP_SECS * 1_000_000;
        let increment = u64::from(counted);
        match action {
            Action::Write {
                shard,
                sequence,
                bytes,
            } => {
                self.stats.creates += increment;
                self.stats.bytes += increment * bytes.len() as u64;
                let at = self.service.write(self.now);
                let result = WriteDone::Created;
                self.schedule(
                    at,
                    Task::Event(Event::WriteDone {
                        shard,
                        sequence,
                        result,
                    }),
                );
            }
            Action::Read { shard, sequence } => {
                self.stats.reads += increment;
                let at = self.service.read(self.now);
                let result = ReadDone::Absent;
                self.schedule(
                    at,
                    Task::Event(Event::ReadDone {
                        shard,
                        sequence,
                        result,
                    }),
                );
            }
            Action::ReadBase { shard } => {
                self.stats.reads += increment;
                let at = self.service.read(self.now);
                let result = self.base(shard);
                self.schedule(at, Task::Event(Event::BaseDone { shard, result }));
            }
            Action::SwapBase { shard, bytes, .. } => {
                self.stats.other_writes += increment;
                self.bases.insert(shard, bytes);
                let at = self.service.write(self.now);
                self.schedule(at, Task::Event(Event::SwapDone { shard }));
            }
            Action::Delete { .. } => {
                self.stats.other_writes += increment;
                self.service.write(self.now);
            }
            Action::Run { call, key } => {
                let arrived = self.calls[call];
                if counted {
                    self.stats.waits.push(self.now - arrived);
                }
                self.schedule(self.now + RUN_MICROS, Task::Dispatch(call, key));
            }
            Action::Answer { call, answer } => {
                let refused = matches!(answer, claim::Answer::Refused(_));
                self.stats.refused += increment * u64::from(refused);
                self.calls.remove(call);
            }
            Action::DispatchGranted { .. }
            | Action::DispatchDenied { .. }
            | Action::Join { .. }
            | Action::ClaimedElsewhere { .. } => {}
        }
    }

    fn base(&self, shard: Shard) -> BaseDone {
        let Some(bytes) = self.bases.get(&shard).cloned() else {
            return BaseDone::Absent;
        };
        let version = Version(bytes.clone());
        BaseDone::Found { bytes, version }
    }
}
