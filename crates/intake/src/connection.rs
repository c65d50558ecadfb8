//! The decision on which connection is closed for a new one.

use base::Millis;

/// Time without a byte of its body after which a request's sender counts as stalled.
const STALL: Millis = Millis(200);
/// Time for which a client has not taken what there is for it, after which it counts as a slow reader. Longer than the time
/// in which a lost packet is sent again.
const READER_STALL: Millis = Millis(500);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It has no request, or an incomplete head of one.
    Idle {
        /// Since when.
        since: Millis,
    },
    /// The body of its request arrives.
    Receiving {
        /// When a byte last arrived.
        progressed: Millis,
    },
    /// Its request is complete and may have been passed on.
    Busy,
    /// Its client does not take the response, or part of it, that there is.
    Sending {
        /// When the client last took something.
        progressed: Millis,
        /// Bytes that the node holds for it, as far as known.
        bytes: usize,
    },
}

/// The connection to be closed for a new one: the one that has been idle for the longest time, else the one whose body has
/// stalled for the longest time, else the slowest reader. None whose request is complete and has no response yet.
///
/// Load pattern: more clients than connections, which send nothing, incomplete heads or incomplete bodies, beside callers
/// that open a connection for each request.
pub fn victim<C, K>(now: Millis, connections: C) -> Option<K>
where
    C: IntoIterator<Item = (K, State)>,
{
    let ranked = connections.into_iter().filter_map(|(key, state)| match state {
        State::Idle { since } => Some(((2, now.since(since)), key)),
        State::Receiving { progressed } => {
            let stalled = now.since(progressed);
            (stalled >= STALL).then_some(((1, stalled), key))
        }
        State::Sending { progressed, .. } => {
            let stalled = now.since(progressed);
            (stalled >= READER_STALL).then_some(((0, stalled), key))
        }
        State::Busy => None,
    });
    ranked.max_by_key(|(rank, _)| *rank).map(|(_, key)| key)
}

/// The slow reader to be closed if there is no memory for further responses: the one for which most is held for the longest
/// time.
///
/// Load pattern: callers that ask for large responses and do not read them, or read a little now and then.
pub fn slow_reader<C, K>(now: Millis, connections: C) -> Option<K>
where
    C: IntoIterator<Item = (K, State)>,
{
    let ranked = connections.into_iter().filter_map(|(key, state)| match state {
        State::Sending { progressed, bytes } if now.since(progressed) >= READER_STALL => {
            let rank = bytes as u128 * u128::from(now.since(progressed).0);
            (bytes > 0).then_some((rank, key))
        }
        State::Sending { .. } | State::Idle { .. } | State::Receiving { .. } | State::Busy => None,
    });
    ranked.max_by_key(|(rank, _)| *rank).map(|(_, key)| key)
}
