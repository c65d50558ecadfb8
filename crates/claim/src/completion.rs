//! Result of the only run of a key.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Answer, Reason, Record};

/// Result of a run that may have reached the endpoint. A key with a completion never runs again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// The endpoint responded, and the response is kept.
    Recorded(Arc<Record>),
    /// The endpoint responded, but the response was not kept, to bound memory.
    Dropped,
    /// The request may have run; its response is unknown.
    Unknown,
}

impl Completion {
    /// Answer to a repeat of the key.
    pub fn answer(&self) -> Answer {
        match self {
            Self::Recorded(record) => Answer::Recorded(Arc::clone(record)),
            Self::Dropped => Answer::Refused(Reason::RecordDropped),
            Self::Unknown => Answer::Refused(Reason::Interrupted),
        }
    }

    /// Upper bound of the encoded size, in bytes.
    pub(crate) fn encoded_bytes(&self) -> usize {
        /// Upper bound for lengths, status and enum tags, per record and per header.
        const OVERHEAD: usize = 24;
        match self {
            Self::Recorded(record) => OVERHEAD * (1 + record.headers.len()) + record.bytes(),
            Self::Dropped | Self::Unknown => OVERHEAD,
        }
    }

    /// Memory used by the record, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Recorded(record) => record.bytes(),
            Self::Dropped | Self::Unknown => 0,
        }
    }
}
