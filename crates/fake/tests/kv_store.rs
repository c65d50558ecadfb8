//! Compares the store with a simple model over random sequences of writes, deletions, lists and watches.

use std::collections::BTreeMap;

use base::Millis;
use fake::kv::store::{Condition, Refusal, Store, Write};
use quickcheck::{Arbitrary, Gen};

const KEYS: [&str; 5] = ["a", "a/b", "a/c", "b", "ab"];
const TTL: Millis = Millis(100);

#[derive(Clone, Copy, Debug)]
enum Op {
    Put {
        key: usize,
        condition: ConditionKind,
        leased: bool,
    },
    Delete {
        key: usize,
        condition: ConditionKind,
    },
    List {
        prefix: usize,
        after: usize,
        limit: usize,
    },
    Watch {
        prefix: usize,
        lookback: u64,
    },
    Renew,
    Wait {
        duration: u64,
    },
}

#[derive(Clone, Copy, Debug)]
enum ConditionKind {
    Any,
    Absent,
    Current,
    Stale,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let key = usize::arbitrary(g) % KEYS.len();
        let condition = *g
            .choose(&[
                ConditionKind::Any,
                ConditionKind::Absent,
                ConditionKind::Current,
                ConditionKind::Stale,
            ])
            .unwrap();
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Put {
                key,
                condition,
                leased: bool::arbitrary(g),
            },
            3 => Self::Delete { key, condition },
            4 => Self::List {
                prefix: key,
                after: usize::arbitrary(g) % KEYS.len(),
                limit: usize::arbitrary(g) % 4,
            },
            5 => Self::Watch {
                prefix: key,
                lookback: u64::arbitrary(g) % 8,
            },
            6 => Self::Renew,
            _ => Self::Wait {
                duration: u64::arbitrary(g) % 120,
            },
        }
    }
}

#[derive(Default)]
struct Model {
    revision: u64,
    records: BTreeMap<&'static str, Entry>,
    changes: Vec<Entry>,
    expires_at: u64,
}

#[derive(Clone, Debug, PartialEq)]
struct Entry {
    key: &'static str,
    revision: u64,
    deleted: bool,
    leased: bool,
}

impl Model {
    fn write(&mut self, key: &'static str, deleted: bool, leased: bool) {
        self.revision += 1;
        let entry = Entry {
            key,
            revision: self.revision,
            deleted,
            leased,
        };
        self.changes.push(entry.clone());
        if deleted {
            self.records.remove(key);
        } else {
            self.records.insert(key, entry);
        }
    }

    fn current(&self, key: &str) -> Option<u64> {
        self.records.get(key).map(|entry| entry.revision)
    }
}

fn condition(kind: ConditionKind, current: Option<u64>) -> Condition {
    match kind {
        ConditionKind::Any => Condition::Any,
        ConditionKind::Absent => Condition::Absent,
        ConditionKind::Current => Condition::Revision(current.unwrap_or(0)),
        ConditionKind::Stale => Condition::Revision(current.unwrap_or(0) + 1),
    }
}

fn holds(condition: Condition, current: Option<u64>) -> bool {
    match condition {
        Condition::Any => true,
        Condition::Absent => current.is_none(),
        Condition::Revision(revision) => current == Some(revision),
    }
}

fn store_matches_model(ops: Vec<Op>) -> bool {
    let mut comparison = Comparison::new();
    ops.into_iter().all(|op| comparison.step(op))
}

/// Runs operations on the store and the model; each step returns whether they agree.
struct Comparison {
    store: Store,
    model: Model,
    now: Millis,
    lease: String,
}

impl Comparison {
    fn new() -> Self {
        let mut store = Store::new(usize::MAX);
        let lease = store.grant_lease(Millis::ZERO, TTL);
        Self {
            store,
            lease,
            model: Model {
                expires_at: TTL.0,
                ..Model::default()
            },
            now: Millis::ZERO,
        }
    }

    fn step(&mut self, op: Op) -> bool {
        match op {
            Op::Put {
                key,
                condition,
                leased,
            } => self.put(KEYS[key], condition, leased),
            Op::Delete { key, condition } => self.delete(KEYS[key], condition),
            Op::List { prefix, after, limit } => self.list(KEYS[prefix], KEYS[after], limit),
            Op::Watch { prefix, lookback } => self.watch(KEYS[prefix], lookback),
            Op::Renew => {
                self.model.expires_at = self.now.0 + TTL.0;
                self.store.renew_lease(self.now, &self.lease)
            }
            Op::Wait { duration } => self.wait(Millis(duration)),
        }
    }

    fn put(&mut self, key: &'static str, kind: ConditionKind, leased: bool) -> bool {
        let current = self.model.current(key);
        let condition = condition(kind, current);
        let lease = leased.then(|| self.lease.clone());
        let write = Write {
            value: key.into(),
            lease,
            write_id: None,
        };
        let written = self.store.put(key, condition, write);
        if !holds(condition, current) {
            return written == Err(Refusal::Mismatch(current));
        }
        self.model.write(key, false, leased);
        written == Ok(self.model.revision)
    }

    fn delete(&mut self, key: &'static str, kind: ConditionKind) -> bool {
        let current = self.model.current(key);
        let condition = condition(kind, current);
        let deleted = self.store.delete(key, condition);
        if !holds(condition, current) {
            return deleted == Err(Refusal::Mismatch(current));
        }
        if current.is_none() {
            return deleted == Err(Refusal::Missing);
        }
        self.model.write(key, true, false);
        deleted == Ok(self.model.revision)
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> bool {
        let page = self.store.list(prefix, after, limit);
        let keys = self.model.records.keys().copied();
        let expected = keys
            .filter(|key| key.starts_with(prefix) && *key > after)
            .collect::<Vec<_>>();
        let listed = page.header.items.iter().map(|item| item.key.as_str());
        let more = expected.len() > limit;
        expected.into_iter().take(limit).eq(listed) && page.header.more == more
    }

    fn watch(&self, prefix: &str, lookback: u64) -> bool {
        let after = self.model.revision.saturating_sub(lookback);
        let page = self.store.changes(prefix, after).unwrap();
        let later = self.model.changes.iter().filter(|entry| entry.revision > after);
        let expected = later.filter(|entry| entry.key.starts_with(prefix));
        let expected = expected.map(|entry| (entry.key, entry.revision, entry.deleted));
        let changes = page.header.items.iter();
        expected.eq(changes.map(|item| (item.key.as_str(), item.revision, item.deleted)))
    }

    fn wait(&mut self, duration: Millis) -> bool {
        self.now = self.now + duration;
        let before = self.model.revision;
        let expired = self.store.expire_leases(self.now);
        if expired != (self.now.0 >= self.model.expires_at) {
            return false;
        }
        if !expired {
            return true;
        }
        let leased = self.model.records.values().filter(|entry| entry.leased);
        let leased = leased.map(|entry| entry.key).collect::<Vec<_>>();
        let deleted = self.store.changes("", before).unwrap().header.items;
        for key in deleted
            .iter()
            .filter_map(|item| KEYS.into_iter().find(|key| *key == item.key))
        {
            self.model.write(key, true, false);
        }
        let mut deleted = deleted.into_iter().map(|item| item.key).collect::<Vec<_>>();
        deleted.sort();
        let renewal_refused = !self.store.renew_lease(self.now, &self.lease);
        self.lease = self.store.grant_lease(self.now, TTL);
        self.model.expires_at = self.now.0 + TTL.0;
        renewal_refused && deleted == leased
    }
}

#[test]
fn store_matches_the_model() {
    check::property(2_000, 60, store_matches_model as fn(Vec<Op>) -> bool);
}

#[test]
fn compacted_history_cannot_be_read() {
    struct Case {
        history: usize,
        writes: usize,
        compact: bool,
        after: u64,
        changes: Option<usize>,
    }
    let cases = [
        Case {
            history: 9,
            writes: 3,
            compact: false,
            after: 0,
            changes: Some(3),
        },
        Case {
            history: 2,
            writes: 3,
            compact: false,
            after: 0,
            changes: None,
        },
        Case {
            history: 2,
            writes: 3,
            compact: false,
            after: 1,
            changes: Some(2),
        },
        Case {
            history: 9,
            writes: 3,
            compact: true,
            after: 2,
            changes: None,
        },
        Case {
            history: 9,
            writes: 3,
            compact: true,
            after: 3,
            changes: Some(0),
        },
        Case {
            history: 9,
            writes: 3,
            compact: false,
            after: 4,
            changes: None,
        },
    ];
    for case in cases {
        let mut store = Store::new(case.history);
        for _ in 0..case.writes {
            let write = Write {
                value: "v".into(),
                lease: None,
                write_id: None,
            };
            store.put("k", Condition::Any, write).unwrap();
        }
        if case.compact {
            store.compact();
        }
        let changes = store.changes("", case.after).map(|page| page.values.len());
        assert_eq!(changes, case.changes);
    }
}
