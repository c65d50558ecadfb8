//! State of the controller's write to the store, of which at most one is in flight.

use base::Millis;

use crate::Record;

/// Delay before reading the record back after a lost or failed call; doubles with each attempt.
const MIN_BACKOFF: Millis = Millis(250);
/// Upper limit of that delay.
const MAX_BACKOFF: Millis = Millis(8_000);
/// Time after which a call without an answer counts as lost.
const CALL_TIMEOUT: Millis = Millis(10_000);

/// State of the pending write.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Pending {
    /// No write is in flight.
    #[default]
    Idle,
    /// The write was sent and its answer is awaited.
    Storing {
        /// Record being written.
        record: Box<Record>,
        /// Time at which it was sent.
        since: Millis,
    },
    /// The outcome of the write is unknown; the record must be read back.
    Unknown {
        /// Earliest time of the next attempt.
        retry_at: Millis,
        /// Attempts so far.
        attempts: u32,
    },
    /// The record is being read back.
    Loading {
        /// Time at which the read was sent.
        since: Millis,
        /// Attempts so far.
        attempts: u32,
    },
}

impl Pending {
    /// Record of a write whose answer is awaited.
    pub fn record_in_flight(&self) -> Option<&Record> {
        match self {
            Self::Storing { record, .. } => Some(record),
            Self::Idle | Self::Unknown { .. } | Self::Loading { .. } => None,
        }
    }

    /// Ends the pending state: the outcome of the write is known.
    pub fn clear(&mut self) {
        *self = Self::Idle;
    }

    /// Schedules a read after a call that failed or was lost.
    pub fn retry(&mut self, now: Millis) {
        let attempts = match self {
            Self::Idle => return,
            Self::Storing { .. } => 0,
            Self::Unknown { attempts, .. } | Self::Loading { attempts, .. } => *attempts,
        };
        let backoff = Millis(MIN_BACKOFF.0 << attempts.min(10)).min(MAX_BACKOFF);
        *self = Self::Unknown {
            retry_at: now + backoff,
            attempts: attempts + 1,
        };
    }

    /// Treats a call that has been without an answer for too long as lost.
    pub fn expire(&mut self, now: Millis) {
        match self {
            Self::Storing { since, .. } | Self::Loading { since, .. } if now.since(*since) > CALL_TIMEOUT => {
                self.retry(now);
            }
            _ => {}
        }
    }

    /// Starts reading the record back if that is due, and returns whether it did.
    pub fn begin_load(&mut self, now: Millis) -> bool {
        let Self::Unknown { retry_at, attempts } = *self else {
            return false;
        };
        if now < retry_at {
            return false;
        }
        *self = Self::Loading { since: now, attempts };
        true
    }
}
