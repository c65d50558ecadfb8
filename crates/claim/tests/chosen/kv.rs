//! Model of the key-value service.

use bytes::Bytes;
use claim::ledger::{Action, BaseDone, Event, ReadDone, Shard, Version, WriteDone};
use indexmap::IndexMap;

/// Values by shard and sequence number, and the base of each shard.
#[derive(Default)]
pub struct Kv {
    values: IndexMap<Position, Bytes>,
    bases: IndexMap<Shard, Base>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Position {
    shard: Shard,
    sequence: u64,
}

#[derive(Clone)]
struct Base {
    bytes: Bytes,
    version: u64,
}

impl Kv {
    /// Number of values, without the bases.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Applies a request and returns the answer to its sender.
    pub fn apply(&mut self, request: &Action) -> Option<Event> {
        match request {
            Action::Write {
                shard,
                sequence,
                bytes,
            } => {
                let position = Position {
                    shard: *shard,
                    sequence: *sequence,
                };
                let exists = self.values.contains_key(&position);
                self.values.entry(position).or_insert_with(|| bytes.clone());
                let result = if exists {
                    WriteDone::Exists
                } else {
                    WriteDone::Created
                };
                Some(Event::WriteDone {
                    shard: *shard,
                    sequence: *sequence,
                    result,
                })
            }
            Action::Read { shard, sequence } => {
                let position = Position {
                    shard: *shard,
                    sequence: *sequence,
                };
                let result = self
                    .values
                    .get(&position)
                    .cloned()
                    .map_or(ReadDone::Absent, ReadDone::Found);
                Some(Event::ReadDone {
                    shard: *shard,
                    sequence: *sequence,
                    result,
                })
            }
            Action::ReadBase { shard } => Some(Event::BaseDone {
                shard: *shard,
                result: self.base(*shard),
            }),
            Action::SwapBase { shard, expect, bytes } => {
                let found = self.bases.get(shard).map(Base::version);
                if found == *expect {
                    let version = self.bases.get(shard).map_or(1, |base| base.version + 1);
                    self.bases.insert(
                        *shard,
                        Base {
                            bytes: bytes.clone(),
                            version,
                        },
                    );
                }
                Some(Event::SwapDone { shard: *shard })
            }
            Action::Delete { shard, sequence } => {
                self.values.swap_remove(&Position {
                    shard: *shard,
                    sequence: *sequence,
                });
                None
            }
            _ => None,
        }
    }

    fn base(&self, shard: Shard) -> BaseDone {
        self.bases
            .get(&shard)
            .map_or(BaseDone::Absent, |base| BaseDone::Found {
                bytes: base.bytes.clone(),
                version: base.version(),
            })
    }
}

impl Base {
    fn version(&self) -> Version {
        Version(Bytes::copy_from_slice(&self.version.to_le_bytes()))
    }
}

/// Event that the sender of a request receives when there is no answer.
pub fn failure(request: &Action, indeterminate: bool) -> Option<Event> {
    match request {
        Action::Write { shard, sequence, .. } => {
            let result = if indeterminate {
                WriteDone::Indeterminate
            } else {
                WriteDone::Unavailable
            };
            Some(Event::WriteDone {
                shard: *shard,
                sequence: *sequence,
                result,
            })
        }
        Action::Read { shard, sequence } => {
            let result = ReadDone::Unavailable;
            Some(Event::ReadDone {
                shard: *shard,
                sequence: *sequence,
                result,
            })
        }
        Action::ReadBase { shard } => Some(Event::BaseDone {
            shard: *shard,
            result: BaseDone::Unavailable,
        }),
        Action::SwapBase { shard, .. } => Some(Event::SwapDone { shard: *shard }),
        _ => None,
    }
}

/// Whether the event reports that the service is unavailable.
pub fn is_unavailable(event: &Event) -> bool {
    matches!(
        event,
        Event::WriteDone {
            result: WriteDone::Unavailable,
            ..
        } | Event::ReadDone {
            result: ReadDone::Unavailable,
            ..
        } | Event::BaseDone {
            result: BaseDone::Unavailable,
            ..
        }
    )
}
