//! Handovers of issued keys: what the pieces that arrived certify.

use base::{Incarnation, Millis, Name};
use bytes::Bytes;
use claim::table::{Action, Event, Finish, Home};
use claim::{Answer, Binding, Call, Fingerprint, Handover, Key, Reason, Record, Secret, Table};
use slotmap::SlotMap;

/// Piece size that fits two keys without a recorded response.
const PIECE_BYTES: usize = 130;
/// Keys issued at the home node. No request arrives for the last one.
const KEYS: usize = 4;

struct Case {
    /// Imported pieces of the export made while three keys run. Piece 0 holds keys 0 and 1, piece 1 holds key 2.
    first: &'static [usize],
    /// Imported pieces of the export made after key 0 was answered. Piece 0 holds key 0, piece 1 holds keys 1 and 2.
    second: &'static [usize],
    /// Answers to repeats of the four keys; `None` is the recorded response.
    replies: [Option<Reason>; KEYS],
}

const CASES: [Case; 5] = [
    Case {
        first: &[0, 1],
        second: &[],
        replies: [
            Some(Reason::Interrupted),
            Some(Reason::Interrupted),
            Some(Reason::Interrupted),
            Some(Reason::NeverRun),
        ],
    },
    Case {
        first: &[0, 1],
        second: &[0, 1],
        replies: [
            None,
            Some(Reason::Interrupted),
            Some(Reason::Interrupted),
            Some(Reason::NeverRun),
        ],
    },
    Case {
        first: &[0, 0],
        second: &[],
        replies: [
            Some(Reason::Interrupted),
            Some(Reason::Interrupted),
            Some(Reason::HandoverPartial),
            Some(Reason::HandoverPartial),
        ],
    },
    Case {
        first: &[1],
        second: &[0],
        replies: [
            None,
            Some(Reason::HandoverPartial),
            Some(Reason::Interrupted),
            Some(Reason::HandoverPartial),
        ],
    },
    Case {
        first: &[],
        second: &[],
        replies: [Some(Reason::HomeGone); KEYS],
    },
];

#[test]
fn only_a_complete_export_certifies_unrun_keys() {
    for (index, case) in CASES.iter().enumerate() {
        let mut home = StoppedHome::new();
        let first = home.table.export(PIECE_BYTES);
        home.answer_first();
        let second = home.table.export(PIECE_BYTES);
        let first_pieces = case.first.iter().map(|piece| &first[*piece]);
        let mut successor = import(first_pieces.chain(case.second.iter().map(|piece| &second[*piece])));
        for (key, expected) in home.keys.iter().zip(case.replies) {
            assert_eq!(
                ask(&mut successor, *key),
                expected,
                "case {index}, key {}",
                key.number
            );
        }
    }
}

#[test]
fn a_fenced_home_certifies_no_key_as_not_run() {
    let mut home = StoppedHome::new();
    home.answer_first();
    home.table.step(Millis::ZERO, Event::Fenced);
    let pieces = home.table.export(PIECE_BYTES);
    let mut successor = import(pieces.iter());
    let again = successor.export(PIECE_BYTES);
    let mut second_successor = import(again.iter());
    for table in [&mut successor, &mut second_successor] {
        let replies: Vec<_> = home.keys.iter().map(|key| ask(table, *key)).collect();
        let expected = [
            None,
            Some(Reason::Interrupted),
            Some(Reason::Interrupted),
            Some(Reason::HomeGone),
        ];
        assert_eq!(replies, expected);
    }
}

#[test]
fn a_second_handover_keeps_what_the_first_certified() {
    let mut home = StoppedHome::new();
    home.answer_first();
    let pieces = home.table.export(PIECE_BYTES);
    let again = import(pieces.iter()).export(PIECE_BYTES);
    let mut second_successor = import(again.iter());
    let replies = home.keys.iter().map(|key| ask(&mut second_successor, *key));
    let expected = [
        None,
        Some(Reason::Interrupted),
        Some(Reason::Interrupted),
        Some(Reason::NeverRun),
    ];
    assert!(replies.eq(expected));
}

/// A home node with three running keys and one key without a request.
struct StoppedHome {
    table: Table,
    keys: Vec<Key>,
    calls: SlotMap<Call, ()>,
}

impl StoppedHome {
    fn new() -> Self {
        let mut home = Self {
            table: Table::new(Incarnation(1), Secret::new(b"secret")),
            keys: Vec::new(),
            calls: SlotMap::with_key(),
        };
        for _ in 0..KEYS {
            let (call, binding) = (home.calls.insert(()), binding());
            if let [Action::Issued { key, .. }] =
                home.table.step(Millis::ZERO, Event::Issue { call, binding })[..]
            {
                home.keys.push(key);
            }
        }
        for key in home.keys[..KEYS - 1].iter().copied() {
            let call = home.calls.insert(());
            home.table.step(Millis::ZERO, arrive(call, key));
            home.table.step(Millis::ZERO, Event::Dispatch { call, key });
        }
        home
    }

    fn answer_first(&mut self) {
        let call = self.calls.keys().nth(KEYS).unwrap();
        let result = Finish::Answered(Record {
            body: Bytes::from(vec![7; 100]),
            ..Record::default()
        });
        let key = self.keys[0];
        self.table.step(Millis::ZERO, Event::Finish { call, key, result });
    }
}

fn import<'a, P>(pieces: P) -> Table
where
    P: Iterator<Item = &'a Handover>,
{
    let mut table = Table::new(Incarnation(2), Secret::new(b"secret"));
    for piece in pieces {
        table.step(Millis::ZERO, Event::Import(piece.clone()));
    }
    table
}

fn ask(table: &mut Table, key: Key) -> Option<Reason> {
    let call = SlotMap::<Call, ()>::with_key().insert(());
    match &table.step(Millis::ZERO, arrive(call, key))[..] {
        [
            Action::Answer {
                answer: Answer::Refused(reason),
                ..
            },
        ] => Some(*reason),
        [
            Action::Answer {
                answer: Answer::Recorded(record),
                ..
            },
        ] => {
            assert_eq!(record.body, vec![7; 100]);
            None
        }
        actions => panic!("unexpected actions {actions:?}"),
    }
}

fn arrive(call: Call, key: Key) -> Event {
    Event::Arrive {
        call,
        key,
        binding: binding(),
        fingerprint: Fingerprint::new(b"POST", b"/", b""),
        home: Home::Gone,
    }
}

fn binding() -> Binding {
    Binding::new(Name::new("cyfrif"), Name::new("tills"))
}
