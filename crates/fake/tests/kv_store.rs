//! The store against a plain map, over random schedules of writes, deletions, lists and watches.

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
        condition: Kind,
        leased: bool,
    },
    Delete {
        key: usize,
        condition: Kind,
    },
    List {
        prefix: usize,
        after: usize,
        limit: usize,
    },
    Watch {
        prefix: usize,
        back: u64,
    },
    Renew,
    Wait {
        span: u64,
    },
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Any,
    Absent,
    Current,
    Stale,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let key = usize::arbitrary(g) % KEYS.len();
        let condition = *g
            .choose(&[Kind::Any, Kind::Absent, Kind::Current, Kind::Stale])
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
                back: u64::arbitrary(g) % 8,
            },
            6 => Self::Renew,
            _ => Self::Wait {
                span: u64::arbitrary(g) % 120,
            },
        }
    }
}

#[derive(Default)]
struct Oracle {
    revision: u64,
    records: BTreeMap<&'static str, Kept>,
    changes: Vec<Kept>,
    lapse: u64,
}

#[derive(Clone, Debug, PartialEq)]
struct Kept {
    key: &'static str,
    revision: u64,
    deleted: bool,
    leased: bool,
}

impl Oracle {
    fn write(&mut self, key: &'static str, deleted: bool, leased: bool) {
        self.revision += 1;
        let kept = Kept {
            key,
            revision: self.revision,
            deleted,
            leased,
        };
        self.changes.push(kept.clone());
        if deleted {
            self.records.remove(key);
        } else {
            self.records.insert(key, kept);
        }
    }

    fn current(&self, key: &str) -> Option<u64> {
        self.records.get(key).map(|kept| kept.revision)
    }
}

fn condition(kind: Kind, current: Option<u64>) -> Condition {
    match kind {
        Kind::Any => Condition::Any,
        Kind::Absent => Condition::Absent,
        Kind::Current => Condition::Revision(current.unwrap_or(0)),
        Kind::Stale => Condition::Revision(current.unwrap_or(0) + 1),
    }
}

fn holds(condition: Condition, current: Option<u64>) -> bool {
    match condition {
        Condition::Any => true,
        Condition::Absent => current.is_none(),
        Condition::Revision(revision) => current == Some(revision),
    }
}

fn agrees(ops: Vec<Op>) -> bool {
    let mut run = Run::new();
    ops.into_iter().all(|op| run.step(op))
}

/// The store and its oracle side by side; each step says whether they agree.
struct Run {
    store: Store,
    oracle: Oracle,
    now: Millis,
    lease: String,
}

impl Run {
    fn new() -> Self {
        let mut store = Store::new(usize::MAX);
        let lease = store.open_lease(Millis::ZERO, TTL);
        Self {
            store,
            lease,
            oracle: Oracle {
                lapse: TTL.0,
                ..Oracle::default()
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
            Op::Watch { prefix, back } => self.watch(KEYS[prefix], back),
            Op::Renew => {
                self.oracle.lapse = self.now.0 + TTL.0;
                self.store.renew_lease(self.now, &self.lease)
            }
            Op::Wait { span } => self.wait(Millis(span)),
        }
    }

    fn put(&mut self, key: &'static str, kind: Kind, leased: bool) -> bool {
        let current = self.oracle.current(key);
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
        self.oracle.write(key, false, leased);
        written == Ok(self.oracle.revision)
    }

    fn delete(&mut self, key: &'static str, kind: Kind) -> bool {
        let current = self.oracle.current(key);
        let condition = condition(kind, current);
        let deleted = self.store.delete(key, condition);
        if !holds(condition, current) {
            return deleted == Err(Refusal::Mismatch(current));
        }
        if current.is_none() {
            return deleted == Err(Refusal::Missing);
        }
        self.oracle.write(key, true, false);
        deleted == Ok(self.oracle.revision)
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> bool {
        let page = self.store.list(prefix, after, limit);
        let keys = self.oracle.records.keys().copied();
        let expected = keys
            .filter(|key| key.starts_with(prefix) && *key > after)
            .collect::<Vec<_>>();
        let listed = page.head.items.iter().map(|item| item.key.as_str());
        let more = expected.len() > limit;
        expected.into_iter().take(limit).eq(listed) && page.head.more == more
    }

    fn watch(&self, prefix: &str, back: u64) -> bool {
        let after = self.oracle.revision.saturating_sub(back);
        let page = self.store.changes(prefix, after).unwrap();
        let later = self.oracle.changes.iter().filter(|kept| kept.revision > after);
        let expected = later.filter(|kept| kept.key.starts_with(prefix));
        let expected = expected.map(|kept| (kept.key, kept.revision, kept.deleted));
        let seen = page.head.items.iter();
        expected.eq(seen.map(|item| (item.key.as_str(), item.revision, item.deleted)))
    }

    fn wait(&mut self, span: Millis) -> bool {
        self.now = self.now + span;
        let before = self.oracle.revision;
        let lapsed = self.store.lapse(self.now);
        if lapsed != (self.now.0 >= self.oracle.lapse) {
            return false;
        }
        if !lapsed {
            return true;
        }
        let bound = self.oracle.records.values().filter(|kept| kept.leased);
        let bound = bound.map(|kept| kept.key).collect::<Vec<_>>();
        let deleted = self.store.changes("", before).unwrap().head.items;
        for key in deleted
            .iter()
            .filter_map(|item| KEYS.into_iter().find(|key| *key == item.key))
        {
            self.oracle.write(key, true, false);
        }
        let mut deleted = deleted.into_iter().map(|item| item.key).collect::<Vec<_>>();
        deleted.sort();
        let refused = !self.store.renew_lease(self.now, &self.lease);
        self.lease = self.store.open_lease(self.now, TTL);
        self.oracle.lapse = self.now.0 + TTL.0;
        refused && deleted == bound
    }
}

#[test]
fn store_agrees_with_a_map() {
    check::property(2_000, 60, agrees as fn(Vec<Op>) -> bool);
}

#[test]
fn history_that_is_gone_is_a_gap() {
    struct Case {
        history: usize,
        writes: usize,
        compact: bool,
        after: u64,
        seen: Option<usize>,
    }
    let cases = [
        Case {
            history: 9,
            writes: 3,
            compact: false,
            after: 0,
            seen: Some(3),
        },
        Case {
            history: 2,
            writes: 3,
            compact: false,
            after: 0,
            seen: None,
        },
        Case {
            history: 2,
            writes: 3,
            compact: false,
            after: 1,
            seen: Some(2),
        },
        Case {
            history: 9,
            writes: 3,
            compact: true,
            after: 2,
            seen: None,
        },
        Case {
            history: 9,
            writes: 3,
            compact: true,
            after: 3,
            seen: Some(0),
        },
        Case {
            history: 9,
            writes: 3,
            compact: false,
            after: 4,
            seen: None,
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
        let seen = store.changes("", case.after).map(|page| page.values.len());
        assert_eq!(seen, case.seen);
    }
}
