//! The history of changes: what it returns and when it no longer reaches back.

use bytes::Bytes;
use relay::{Change, History};

fn change(revision: u64, bytes: usize) -> Change {
    Change {
        key: format!("key-{revision}"),
        revision,
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
        history.reset(case.reset_at);
        for (revisions, end) in case.calls {
            let changes: Vec<Change> = revisions.iter().map(|revision| change(*revision, 1)).collect();
            history.append(&changes, *end);
        }
        let found = history.after(case.after).ok();
        let found = found.map(|changes| changes.map(|it| it.revision).collect::<Vec<_>>());
        assert_eq!(found.as_deref(), case.expected, "{}", case.name);
    }
}

#[test]
fn old_changes_are_dropped_at_the_size_limit() {
    const CHANGES: u64 = 40;
    const BYTES: usize = 64 * 1024;
    let mut history = History::default();
    for revision in 1..=CHANGES {
        history.append(&[change(revision, BYTES)], revision);
    }
    assert!(history.after(0).is_err());
    let kept = (1..CHANGES)
        .find(|revision| history.after(*revision).is_ok())
        .unwrap();
    let changes = history.after(kept).unwrap().count() as u64;
    assert_eq!(changes, CHANGES - kept);
    assert!(changes > 8, "{changes} changes kept");
}
