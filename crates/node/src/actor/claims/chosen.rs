//! Keys that callers chose: claims in the key-value service, each call to it a task.

use bytes::Bytes;
use claim::Fingerprint;
use claim::ledger::{Action, BaseDone, Event, Key, ReadDone, Shard, Version, WriteDone};
use kameo::actor::WeakActorRef;
use kameo::message::{Context, Message};
use store::{Condition, Error, Write};
use tokio::sync::mpsc;

use super::{Claims, Opened, Verdict};
use crate::shared::Shared;

/// A request with a chosen key arrives.
#[derive(Clone, Copy, Debug)]
pub struct Want {
    /// The chosen key.
    pub key: Key,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
}

impl Message<Want> for Claims {
    type Reply = mpsc::Receiver<Verdict>;

    async fn handle(&mut self, want: Want, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let Opened { call, verdicts } = self.open();
        let Want { key, fingerprint } = want;
        self.ledger_step(Event::Arrive {
            call,
            key,
            fingerprint,
        });
        verdicts
    }
}

/// Asks which shard a key belongs to.
#[derive(Clone, Copy, Debug)]
pub struct ShardOf(pub Key);

impl Message<ShardOf> for Claims {
    type Reply = Result<Shard, std::convert::Infallible>;

    async fn handle(&mut self, asked: ShardOf, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Ok(self.ledger.shard(asked.0))
    }
}

/// A call to the key-value service ended.
#[derive(Clone, Debug)]
pub struct Done(pub Event);

impl Message<Done> for Claims {
    type Reply = ();

    async fn handle(&mut self, done: Done, _context: &mut Context<Self, Self::Reply>) {
        self.ledger_step(done.0);
    }
}

impl Claims {
    pub(super) fn ledger_step(&mut self, event: Event) {
        let now = self.now();
        for action in self.ledger.step(now, event) {
            self.carry_ledger(action);
        }
    }

    fn carry_ledger(&mut self, action: Action) {
        match action {
            Action::Run { call, .. } => self.tell(call, Verdict::Run(call)),
            Action::Join { call } => self.tell(call, Verdict::Join),
            Action::ClaimedElsewhere { call, owner } => self.last(call, Verdict::Forward(owner)),
            Action::DispatchGranted { .. } => self.granted = true,
            Action::DispatchDenied { .. } => self.granted = false,
            Action::Answer { call, answer } => self.answer(call, answer),
            Action::Write {
                shard,
                sequence,
                bytes,
            } => self.spawn(write(shard, sequence, bytes)),
            Action::Read { shard, sequence } => self.spawn(Call::Read { shard, sequence }),
            Action::ReadBase { shard } => self.spawn(Call::ReadBase { shard }),
            Action::SwapBase { shard, expect, bytes } => self.spawn(Call::SwapBase { shard, expect, bytes }),
            Action::Delete { shard, sequence } => self.spawn(Call::Delete { shard, sequence }),
        }
    }

    fn spawn(&self, call: Call) {
        let Some(shared) = self.shared.borrow().clone() else {
            return;
        };
        let actor = self.this.clone();
        tokio::spawn(run(shared, actor, call));
    }
}

/// One call to the key-value service.
#[derive(Debug)]
enum Call {
    Write {
        shard: Shard,
        sequence: u64,
        bytes: Bytes,
    },
    Read {
        shard: Shard,
        sequence: u64,
    },
    ReadBase {
        shard: Shard,
    },
    SwapBase {
        shard: Shard,
        expect: Option<Version>,
        bytes: Bytes,
    },
    Delete {
        shard: Shard,
        sequence: u64,
    },
}

const fn write(shard: Shard, sequence: u64, bytes: Bytes) -> Call {
    Call::Write {
        shard,
        sequence,
        bytes,
    }
}

fn key(shard: Shard, sequence: u64) -> String {
    format!("claims/{shard}/{sequence:016x}")
}

fn base_key(shard: Shard) -> String {
    format!("claims/{shard}/base")
}

async fn run(shared: Shared, actor: WeakActorRef<Claims>, call: Call) {
    let event = match call {
        Call::Write {
            shard,
            sequence,
            bytes,
        } => {
            let write = Write::new(key(shard, sequence), bytes, Condition::Absent);
            let result = written(shared.store.write_once(&write).await);
            Event::WriteDone {
                shard,
                sequence,
                result,
            }
        }
        Call::Read { shard, sequence } => {
            let result = match shared.store.get(&key(shard, sequence)).await {
                Ok(Some(record)) => ReadDone::Found(record.value),
                Ok(None) => ReadDone::Absent,
                Err(_unread) => ReadDone::Unavailable,
            };
            Event::ReadDone {
                shard,
                sequence,
                result,
            }
        }
        Call::ReadBase { shard } => {
            let result = match shared.store.get(&base_key(shard)).await {
                Ok(Some(record)) => BaseDone::Found {
                    bytes: record.value,
                    version: version(record.revision),
                },
                Ok(None) => BaseDone::Absent,
                Err(_unread) => BaseDone::Unavailable,
            };
            Event::BaseDone { shard, result }
        }
        Call::SwapBase { shard, expect, bytes } => {
            let condition = expect.as_ref().map_or(Condition::Absent, condition);
            let write = Write::new(base_key(shard), bytes, condition);
            // The base is read afterwards, whatever came of the swap.
            let _read_later = shared.store.write_once(&write).await;
            Event::SwapDone { shard }
        }
        Call::Delete { shard, sequence } => {
            // A delete that fails costs only space.
            let _kept = shared
                .store
                .write_once(&Write::delete(key(shard, sequence), Condition::Any))
                .await;
            return;
        }
    };
    if let Some(actor) = actor.upgrade() {
        let _ended = actor.tell(Done(event)).await;
    }
}

fn written(result: Result<u64, Error>) -> WriteDone {
    match result {
        Ok(_revision) => WriteDone::Created,
        Err(Error::Conflict(_)) => WriteDone::Exists,
        Err(Error::Indeterminate(_)) => WriteDone::Indeterminate,
        Err(_not_made) => WriteDone::Unavailable,
    }
}

fn version(revision: u64) -> Version {
    Version(Bytes::copy_from_slice(&revision.to_be_bytes()))
}

fn condition(version: &Version) -> Condition {
    let bytes: [u8; 8] = version.0.as_ref().try_into().unwrap_or_default();
    Condition::Revision(u64::from_be_bytes(bytes))
}
