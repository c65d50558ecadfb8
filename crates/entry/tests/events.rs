//! Streams are split into the events that were sent, however their bytes arrive and wherever they end.

use bytes::BytesMut;
use check::property;
use entry::upstream::EventBuffer;
use quickcheck::{Arbitrary, Gen};

const STREAMS: u64 = 4_000;
const SIZE: usize = 60;
/// Largest event of a sound stream in these tests.
const MAX_TEXT_BYTES: usize = 3_000;
/// Largest event that the buffer holds, and most that it may take for one.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
const MAX_CAPACITY_BYTES: usize = 3 * MAX_EVENT_BYTES;

/// Capacity up to which a buffer may take more than it announces.
const SMALL_BYTES: usize = 64 * 1024;

/// A stream as its replica sends it, and how its bytes arrive.
#[derive(Clone, Debug)]
struct Sent {
    /// Texts between the separators; the last one may be cut.
    events: Vec<Vec<u8>>,
    /// Lengths of the pieces, in turn.
    pieces: Vec<usize>,
    /// Number of bytes that are not sent any more.
    missing: usize,
}

impl Arbitrary for Sent {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 8;
        let events = (0..count).map(|_event| event(g)).collect();
        let pieces = (0..=usize::arbitrary(g) % 5)
            .map(|_piece| 1 + usize::arbitrary(g) % *g.choose(&[1, 3, 40, 20_000]).unwrap_or(&1))
            .collect();
        let missing = if bool::arbitrary(g) {
            0
        } else {
            usize::arbitrary(g) % 4_000
        };
        Self {
            events,
            pieces,
            missing,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let this = self.clone();
        let fewer = self.events.shrink().map(move |events| Self {
            events,
            ..this.clone()
        });
        let this = self.clone();
        let pieces = self
            .pieces
            .shrink()
            .filter(|pieces| !pieces.is_empty() && !pieces.contains(&0));
        Box::new(fewer.chain(pieces.map(move |pieces| Self {
            pieces,
            ..this.clone()
        })))
    }
}

/// Text of an event, with single line ends, and sometimes bytes that are no text.
fn event(g: &mut Gen) -> Vec<u8> {
    let length = usize::arbitrary(g) % *g.choose(&[2, 30, MAX_TEXT_BYTES]).unwrap_or(&1);
    let mut text: Vec<u8> = (0..length)
        .map(|_byte| {
            if u8::arbitrary(g) < 30 {
                b'\n'
            } else {
                u8::arbitrary(g)
            }
        })
        .collect();
    text.dedup_by(|next, byte| *next == b'\n' && *byte == b'\n');
    // The separator follows, which begins at the first of three line ends.
    while text.last() == Some(&b'\n') {
        text.pop();
    }
    if text.first() == Some(&b'\n') {
        text.remove(0);
    }
    text
}

impl Sent {
    fn bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        for event in &self.events {
            bytes.extend_from_slice(event);
            bytes.extend_from_slice(b"\n\n");
        }
        bytes.truncate(bytes.len().saturating_sub(self.missing));
        bytes
    }

    /// The events that arrive whole.
    fn expected(&self) -> Vec<Vec<u8>> {
        let mut left = self.bytes().len();
        let mut expected = Vec::new();
        for event in &self.events {
            let length = event.len() + 2;
            if left < length {
                break;
            }
            left -= length;
            expected.push([event, &b"\n\n"[..]].concat());
        }
        expected
    }
}

/// Pushes the bytes in pieces of these lengths, and takes events as they come or only at the end.
fn read(bytes: &[u8], pieces: &[usize], takes_late: bool) -> (Vec<Vec<u8>>, EventBuffer) {
    let mut buffer = EventBuffer::new();
    let mut events = Vec::new();
    let mut rest = bytes;
    for length in pieces.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (piece, behind) = rest.split_at((*length).min(rest.len()));
        rest = behind;
        buffer.push(piece);
        while !takes_late && let Some(event) = buffer.take() {
            events.push(event.to_vec());
        }
    }
    while let Some(event) = buffer.take() {
        events.push(event.to_vec());
    }
    (events, buffer)
}

#[expect(clippy::needless_pass_by_value, reason = "the signature of a property")]
fn events_are_those_sent(sent: Sent, takes_late: bool) -> bool {
    let bytes = sent.bytes();
    let expected = sent.expected();
    let whole: usize = expected.iter().map(Vec::len).sum();
    let (events, buffer) = read(&bytes, &sent.pieces, takes_late);
    events == expected && buffer.is_within_event() == (whole < bytes.len())
}

#[test]
fn streams_are_split_into_their_events() {
    property(STREAMS, SIZE, events_are_those_sent as fn(Sent, bool) -> bool);
}

/// Any bytes: all of them are in the events or behind them, and each event ends with its only separator.
fn any_bytes_are_split(mut bytes: Vec<u8>, line_ends: Vec<u8>, pieces: Vec<u8>) -> bool {
    for position in line_ends {
        if !bytes.is_empty() {
            let position = usize::from(position) % bytes.len();
            bytes[position] = b'\n';
        }
    }
    let mut pieces: Vec<usize> = pieces.into_iter().map(|it| 1 + usize::from(it)).collect();
    pieces.push(1);
    let (events, buffer) = read(&bytes, &pieces, false);
    let taken = events.concat();
    let is_split = |event: &Vec<u8>| {
        let first = event.windows(2).position(|it| it == b"\n\n");
        first == Some(event.len() - 2)
    };
    let rest = &bytes[taken.len()..];
    bytes.starts_with(&taken)
        && events.iter().all(is_split)
        && !rest.windows(2).any(|it| it == b"\n\n")
        && buffer.is_within_event() != rest.is_empty()
}

#[test]
fn any_bytes_are_no_panic() {
    property(
        STREAMS,
        200,
        any_bytes_are_split as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool,
    );
}

/// An event without an end is given up within a bounded size, and the memory that is announced is never exceeded.
fn endless_event_is_bounded(pieces: Vec<u16>) -> bool {
    let mut buffer = EventBuffer::new();
    let mut lengths = pieces.into_iter().map(|it| 1 + usize::from(it) % 16_384).cycle();
    let mut memory = BytesMut::new();
    for _piece in 0..=MAX_EVENT_BYTES / 64 {
        if buffer.is_full() {
            return true;
        }
        let length = lengths.next().unwrap_or(1);
        memory.resize(length, b'x');
        let announced = buffer.capacity_with(length);
        buffer.push(&memory);
        if buffer.capacity() > announced.max(SMALL_BYTES)
            || announced > MAX_CAPACITY_BYTES
            || buffer.take().is_some()
        {
            return false;
        }
    }
    buffer.is_full()
}

#[test]
fn events_without_end_are_bounded() {
    property(100, 20, endless_event_is_bounded as fn(Vec<u16>) -> bool);
}

#[test]
fn separator_in_two_pieces() {
    let (events, buffer) = read(b"id: 1\n\nid: 2\n\nid", &[6, 1], false);
    assert_eq!(events, [b"id: 1\n\n".to_vec(), b"id: 2\n\n".to_vec()]);
    assert!(buffer.is_within_event());
}
