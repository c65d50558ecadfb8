//! Keys chosen by callers. They are claimed in the key-value service; each call to the service runs as a
//! task.

use bytes::Bytes;
use claim::Fingerprint;
use claim::ledger::{Action, BaseDone, Event, Key, ReadDone, Shard, Version, WriteDone};
use kameo::actor::WeakActorRef;
use kameo::message::{Context, Message};
use store::{Condition, Error, Revision, Write};
use tokio::sync::mpsc;

use super::{Claims, Directive, OpenCall};
use crate::shared::Shared;

/// Registers a request that carries a key chosen by the caller.
#[derive(Clone, Copy, Debug)]
pub struct ArriveChosen {
    /// Key chosen by the caller.
    pub key: Key,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
}

impl Message<ArriveChosen> for Claims {
    type Reply = mpsc::Receiver<Directive>;

    async fn handle(
        &mut self,
        arrive: ArriveChosen,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let OpenCall { call, directives } = self.open();
        let ArriveChosen { key, fingerprint } = arrive;
        self.step_ledger(Event::Arrive {
            call,
            key,
            fingerprint,
        });
        directives
    }
}

/// Queries the shard of a key.
#[derive(Clone, Copy, Debug)]
pub struct ShardOf(pub Key);

impl Message<ShardOf> for Claims {
    type Reply = Result<Shard, std::convert::Infallible>;

    async fn handle(&mut self, query: ShardOf, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Ok(self.ledger.shard(query.0))
    }
}

/// Reports the result of a call to the key-value service.
#[derive(Clone, Debug)]
pub struct CallEnded(pub Event);

impl Message<CallEnded> for Claims {
    type Reply = ();

    async fn handle(&mut self, ended: CallEnded, _context: &mut Context<Self, Self::Reply>) {
        self.step_ledger(ended.0);
    }
}

impl Claims {
    pub(super) fn step_ledger(&mut self, event: Event) {
        let now = self.now();
        for action in self.ledger.step(now, event) {
            self.perform_ledger(action);
        }
    }

    fn perform_ledger(&mut self, action: Action) {
        match action {
            Action::Run { call, .. } => self.send(call, Directive::Run(call)),
            Action::Join { call } => self.send(call, Directive::Join),
            Action::ClaimedElsewhere { call, owner } => self.finish(call, Directive::Forward(owner)),
            Action::DispatchGranted { .. } => self.dispatch_granted = true,
            Action::DispatchDenied { .. } => self.dispatch_granted = false,
            Action::Answer { call, answer } => self.answer(call, answer),
            Action::Write {
                shard,
                sequence,
                bytes,
            } => self.spawn_call(write_call(shard, sequence, bytes)),
            Action::Read { shard, sequence } => self.spawn_call(StoreCall::Read { shard, sequence }),
            Action::ReadBase { shard } => self.spawn_call(StoreCall::ReadBase { shard }),
            Action::SwapBase { shard, expect, bytes } => {
                self.spawn_call(StoreCall::SwapBase { shard, expect, bytes });
            }
            Action::Delete { shard, sequence } => self.spawn_call(StoreCall::Delete { shard, sequence }),
        }
    }

    fn spawn_call(&self, call: StoreCall) {
        let Some(shared) = self.shared.borrow().clone() else {
            return;
        };
        let actor = self.self_ref.clone();
        tokio::spawn(run_call(shared, actor, call));
    }
}

/// A call to the key-value service.
#[derive(Debug)]
enum StoreCall {
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

const fn write_call(shard: Shard, sequence: u64, bytes: Bytes) -> StoreCall {
    StoreCall::Write {
        shard,
        sequence,
        bytes,
    }
}

fn entry_key(shard: Shard, sequence: u64) -> String {
    format!("claims/{shard}/{sequence:016x}")
}

fn base_key(shard: Shard) -> String {
    format!("claims/{shard}/base")
}

async fn run_call(shared: Shared, actor: WeakActorRef<Claims>, call: StoreCall) {
    let event = match call {
        StoreCall::Write {
            shard,
            sequence,
            bytes,
        } => {
            let write = Write::new(entry_key(shard, sequence), bytes, Condition::Absent);
            let result = write_result(shared.store.write_once(&write).await);
            Event::WriteDone {
                shard,
                sequence,
                result,
            }
        }
        StoreCall::Read { shard, sequence } => {
            let result = match shared.store.get(&entry_key(shard, sequence)).await {
                Ok(Some(record)) => ReadDone::Found(record.value),
                Ok(None) => ReadDone::Absent,
                Err(_error) => ReadDone::Unavailable,
            };
            Event::ReadDone {
                shard,
                sequence,
                result,
            }
        }
        StoreCall::ReadBase { shard } => {
            let result = match shared.store.get(&base_key(shard)).await {
                Ok(Some(record)) => BaseDone::Found {
                    bytes: record.value,
                    version: version(record.revision.number),
                },
                Ok(None) => BaseDone::Absent,
                Err(_error) => BaseDone::Unavailable,
            };
            Event::BaseDone { shard, result }
        }
        StoreCall::SwapBase { shard, expect, bytes } => {
            let condition = expect.as_ref().map_or(Condition::Absent, condition);
            let write = Write::new(base_key(shard), bytes, condition);
            // The result is not needed: the base is read again after every swap.
            let _ignored = shared.store.write_once(&write).await;
            Event::SwapDone { shard }
        }
        StoreCall::Delete { shard, sequence } => {
            // A failed delete only wastes space.
            let _ignored = shared
                .store
                .write_once(&Write::delete(entry_key(shard, sequence), Condition::Any))
                .await;
            return;
        }
    };
    if let Some(actor) = actor.upgrade() {
        let _ended = actor.tell(CallEnded(event)).await;
    }
}

fn write_result(result: Result<Revision, Error>) -> WriteDone {
    match result {
        Ok(_revision) => WriteDone::Created,
        Err(Error::Conflict(_)) => WriteDone::Exists,
        Err(Error::Indeterminate(_)) => WriteDone::Indeterminate,
        Err(_error) => WriteDone::Unavailable,
    }
}

fn version(revision: u64) -> Version {
    Version(Bytes::copy_from_slice(&revision.to_be_bytes()))
}

fn condition(version: &Version) -> Condition {
    let bytes: [u8; 8] = version.0.as_ref().try_into().unwrap_or_default();
    Condition::Revision(Revision {
        era: 0,
        number: u64::from_be_bytes(bytes),
    })
}
