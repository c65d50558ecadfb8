//! The one write in flight.

use base::Millis;

use crate::Record;

/// Wait before reading back after a lost or failed call; doubles each time.
const MIN_BACKOFF: Millis = Millis(250);
/// The longest such wait.
const MAX_BACKOFF: Millis = Millis(8_000);
/// A call without any answer counts as lost after this time.
const CALL_TIMEOUT: Millis = Millis(10_000);

/// Where the write stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Pending {
    /// None is in flight.
    #[default]
    Idle,
    /// Sent; the answer is awaited.
    Storing {
        /// What was written.
        record: Box<Record>,
        /// When.
        since: Millis,
    },
    /// Its fate is unknown; the record is to be read back.
    Unknown {
        /// Not before this.
        retry_at: Millis,
        /// Tries so far.
        attempts: u32,
    },
    /// The record is being read back.
    Loading {
        /// Since when.
        since: Millis,
        /// Tries so far.
        attempts: u32,
    },
}

impl Pending {
    /// The record whose write is awaited.
    pub fn record_in_flight(&self) -> Option<&Record> {
        match self {
            Self::Storing { record, .. } => Some(record),
            Self::Idle | Self::Unknown { .. } | Self::Loading { .. } => None,
        }
    }

    /// The fate of the write is known.
    pub fn clear(&mut self) {
        *self = Self::Idle;
    }

    /// The last call came to nothing: read back later.
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

    /// A call that has gone without an answer for too long counts as lost.
    pub fn expire(&mut self, now: Millis) {
        match self {
            Self::Storing { since, .. } | Self::Loading { since, .. } if now.since(*since) > CALL_TIMEOUT => {
                self.retry(now);
            }
            _ => {}
        }
    }

    /// Whether the record should be read back now; it then is being read.
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
