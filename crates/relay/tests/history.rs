//! The history of changes: what it returns and when it no longer reaches back.

use base::Revision;
use bytes::Bytes;
use relay::{Change, History};

/// Era of the store.
const ERA: u64 = 3;

const fn at(number: u64) -> Revision {
    Revision::new(ERA, number)
}

fn change(revision: u64, bytes: usize) -> Change {
    Change {
        key: format!("key-{revision}"),
        revision: at(revision),
        value: Some(Bytes::from(vec![0; bytes])),
    }
}

struct Case {
    name: &'static str,
    reset_at: u64,
    /// Revisions of the changes appended by each call, and the revision up to which they are complete.
    calls: &'static [(&'static [u64], u64)],
    after: u64,
    /// Revisions returned; `None` if the history does not reach back.
    expected: Option<&'static [u64]>,
}

const CASES: [Case; 6] = [
    Case {
        name: "nothing has changed",
        reset_at: 10,
        calls: &[(&[], 10)],
        after: 10,
        expected: Some(&[]),
    },
    Case {
        name: "before the listing",
        reset_at: 10,
        calls: &[(&[11], 11)],
        after: 9,
        expected: None,
    },
    Case {
        name: "some changes are known to the asker",
        reset_at: 10,
        calls: &[(&[11, 12], 12), (&[14], 15)],
        after: 11,
        expected: Some(&[12, 14]),
    },
    Case {
        name: "a change that is returned twice is kept once",
        reset_at: 10,
        calls: &[(&[11, 12], 12), (&[12, 13], 13)],
        after: 10,
        expected: Some(&[11, 12, 13]),
    },
    Case {
        name: "several changes of one transaction",
        reset_at: 10,
        calls: &[(&[11, 11, 11], 11)],
        after: 10,
        expected: Some(&[11, 11, 11]),
    },
    Case {
        name: "the asker knows more",
        reset_at: 10,
        calls: &[(&[11], 11)],
        after: 20,
        expected: Some(&[]),
    },
];

#[test]
fn changes_after_a_revision() {
    for case in &CASES {
        let mut history = History::default();
        history.reset(at(case.reset_at));
        for (revisions, end) in case.calls {
            let changes: Vec<Change> = revisions.iter().map(|revision| change(*revision, 1)).collect();
            history.append(&changes, at(*end));
        }
        let found = history.after(at(case.after)).ok();
        let found = found.map(|changes| changes.map(|it| it.revision.number).collect::<Vec<_>>());
        assert_eq!(found.as_deref(), case.expected, "{}", case.name);
    }
}

#[test]
fn old_changes_are_dropped_at_the_size_limit() {
    const CHANGES: u64 = 40;
    const BYTES: usize = 64 * 1024;
    let mut history = History::default();
    history.reset(at(0));
    for revision in 1..=CHANGES {
        history.append(&[change(revision, BYTES)], at(revision));
    }
    assert!(history.after(at(0)).is_err());
    let kept = (1..CHANGES)
        .find(|revision| history.after(at(*revision)).is_ok())
        .unwrap();
    let changes = history.after(at(kept)).unwrap().count() as u64;
    assert_eq!(changes, CHANGES - kept);
    assert!(changes > 8, "{changes} changes kept");
}

struct Restore {
    name: &'static str,
    /// Era and number up to which the appended changes are complete.
    appended: Revision,
    after: Revision,
    /// Whether the history reaches back to it, and the revision up to which it is complete.
    expected: (bool, Revision),
}

const RESTORES: [Restore; 4] = [
    Restore {
        name: "changes of an earlier era are ignored",
        appended: Revision::new(ERA - 1, 90),
        after: at(10),
        expected: (true, at(12)),
    },
    Restore {
        name: "changes of a later era do not connect",
        appended: Revision::new(ERA + 1, 11),
        after: at(10),
        expected: (false, Revision::new(ERA + 1, 11)),
    },
    Restore {
        name: "an asker of an earlier era gets no changes",
        appended: at(13),
        after: Revision::new(ERA - 1, 12),
        expected: (false, at(13)),
    },
    Restore {
        name: "an asker of a later era gets no changes",
        appended: at(13),
        after: Revision::new(ERA + 1, 12),
        expected: (false, at(13)),
    },
];

#[test]
fn history_holds_one_era() {
    for case in &RESTORES {
        let mut history = History::default();
        history.reset(at(10));
        history.append(&[change(11, 1), change(12, 1)], at(12));
        history.append(&[], case.appended);
        let reaches_back = history.after(case.after).is_ok();
        assert_eq!((reaches_back, history.end()), case.expected, "{}", case.name);
    }
}
