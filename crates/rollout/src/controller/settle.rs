//! The one write in flight.

use base::Millis;

use crate::Record;

/// Wait before reading back after a lost or failed call; doubles each time.
const FIRST_WAIT: Millis = Millis(250);
/// The longest such wait.
const LONGEST_WAIT: Millis = Millis(8_000);
/// A call without any answer counts as lost after this time.
const NO_ANSWER: Millis = Millis(10_000);

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
        at: Millis,
        /// Tries so far.
        tries: u32,
    },
    /// The record is being read back.
    Loading {
        /// Since when.
        since: Millis,
        /// Tries so far.
        tries: u32,
    },
}

impl Pending {
    /// The record whose write is awaited.
    pub fn written(&self) -> Option<&Record> {
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
        let tries = match self {
            Self::Idle => return,
            Self::Storing { .. } => 0,
            Self::Unknown { tries, .. } | Self::Loading { tries, .. } => *tries,
        };
        let wait = Millis(FIRST_WAIT.0 << tries.min(10)).min(LONGEST_WAIT);
        *self = Self::Unknown {
            at: now + wait,
            tries: tries + 1,
        };
    }

    /// A call that has gone without an answer for too long counts as lost.
    pub fn expire(&mut self, now: Millis) {
        match self {
            Self::Storing { since, .. } | Self::Loading { since, .. } if now.since(*since) > NO_ANSWER => {
                self.retry(now);
            }
            _ => {}
        }
    }

    /// Whether the record should be read back now; it then is being read.
    pub fn load(&mut self, now: Millis) -> bool {
        let Self::Unknown { at, tries } = *self else {
            return false;
        };
        if now < at {
            return false;
        }
        *self = Self::Loading { since: now, tries };
        true
    }
}
