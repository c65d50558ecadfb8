//! The log of chosen keys and a node's memory stay short, and what is still remembered survives that.

#[path = "chosen/kv.rs"]
mod kv;

use base::{Incarnation, Millis, Name, Seed};
use bytes::Bytes;
use claim::ledger::{Action, Event, Finish, Key, Limits, Usage};
use claim::{Answer, Binding, Call, Fingerprint, Ledger, Record};
use kv::Kv;
use slotmap::SlotMap;

const LIMITS: Limits = Limits {
    shards: 1,
    retention: Millis(2_000),
    delete_after: Millis(60),
    base_valid: Millis(20),
    patience: Millis(30),
    dispatch_within: Millis(50),
    write_interval: Millis(5),
    linger: Millis(2),
    backoff: Millis(2),
    backoff_max: Millis(8),
    idle: Millis(100_000),
    claims: 600,
    wants: 8,
    waiters: 3,
    bytes: 4_000,
    record_bytes: 24,
    batch_bytes: 2_000,
    log: 32,
    read_ahead: 3,
};
/// Time between two claims.
const EVERY: Millis = Millis(5);
/// Time between two ticks.
const TICK: Millis = Millis(1);
/// Claims in force: those of one retention time and of one sweep.
const CLAIMS_MAX: usize = 450;
/// Values in the service: the log, what waits for its deletion, and some in between.
const VALUES_MAX: usize = 100;
/// Bytes of an answer: half of those in force can be kept.
const BODY: usize = 20;
const ROUNDS: u64 = 4_000;

#[test]
fn log_and_memory_stay_short() {
    let mut kv = Kv::default();
    let mut writer = Node::new(1);
    for round in 0..ROUNDS {
        assert!(
            writer.run(&mut kv, round),
            "a fresh key is refused in round {round}"
        );
        let Usage { claims, bytes, .. } = writer.ledger.usage();
        assert!(claims <= CLAIMS_MAX, "{claims} claims in round {round}");
        assert!(bytes <= LIMITS.bytes, "{bytes} bytes in round {round}");
        assert!(kv.len() <= VALUES_MAX, "{} values in round {round}", kv.len());
    }
    writer.pass(&mut kv);
    let mut reader = Node::new(2);
    let recent = ROUNDS - LIMITS.retention.0 / EVERY.0 / 4;
    assert_eq!(
        reader.ask(&mut kv, recent),
        Told::Recorded,
        "a kept answer is gone"
    );
    let oldest = ROUNDS - LIMITS.retention.0 / EVERY.0 + 10;
    assert_eq!(
        reader.ask(&mut kv, oldest),
        Told::Refused,
        "a key that ran is claimed anew"
    );
    assert_eq!(
        writer.ask(&mut kv, 0),
        Told::Granted,
        "an expired key is not free"
    );
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Granted,
    Recorded,
    Refused,
    Taken,
}

struct Node {
    ledger: Ledger,
    calls: SlotMap<Call, ()>,
    now: Millis,
    told: Option<Told>,
}

impl Node {
    fn new(number: u64) -> Self {
        Self {
            ledger: Ledger::new(Incarnation(number), Seed(number)).with_limits(LIMITS),
            calls: SlotMap::with_key(),
            now: Millis::ZERO,
            told: None,
        }
    }

    /// Claims a key, runs and answers it; false if it is refused.
    fn run(&mut self, kv: &mut Kv, number: u64) -> bool {
        let call = self.calls.insert(());
        let key = name(number);
        if self.want(kv, call, key) != Told::Granted {
            return false;
        }
        self.step(kv, Event::Dispatch { call, key });
        let body = Bytes::from(vec![0; BODY]);
        let result = Finish::Answered(Record {
            body,
            ..Record::default()
        });
        self.step(kv, Event::Finish { call, key, result });
        true
    }

    fn ask(&mut self, kv: &mut Kv, number: u64) -> Told {
        let call = self.calls.insert(());
        self.want(kv, call, name(number))
    }

    fn want(&mut self, kv: &mut Kv, call: Call, key: Key) -> Told {
        self.told = None;
        let fingerprint = Fingerprint::new(b"POST", b"/", b"");
        self.step(
            kv,
            Event::Want {
                call,
                key,
                fingerprint,
            },
        );
        while self.told.is_none() {
            self.pass(kv);
        }
        self.told.expect("the call was answered")
    }

    fn pass(&mut self, kv: &mut Kv) {
        self.now = self.now + TICK;
        self.step(kv, Event::Tick);
    }

    /// Takes the event in, and lets the service answer every request at once.
    fn step(&mut self, kv: &mut Kv, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.ledger.step(self.now, event) {
                events.extend(kv.effect(&action));
                self.note(&action);
            }
        }
    }

    fn note(&mut self, action: &Action) {
        self.told = match action {
            Action::Granted { .. } => Some(Told::Granted),
            Action::Taken { .. } => Some(Told::Taken),
            Action::Answer {
                answer: Answer::Recorded(_),
                ..
            } => Some(Told::Recorded),
            Action::Answer {
                answer: Answer::Refused(_),
                ..
            } => Some(Told::Refused),
            _ => self.told,
        };
    }
}

fn name(number: u64) -> Key {
    Key::new(
        &Binding::new(Name::new("cyfrif"), Name::new("tills")),
        &number.to_le_bytes(),
    )
}
