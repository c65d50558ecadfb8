//! How the one run of a key ended.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Answer, Reason, Record};

/// The end of a run that may have reached the endpoint. None of these ever runs again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// The endpoint answered, and the answer is kept.
    Recorded(Arc<Record>),
    /// The endpoint answered, but the answer took too much memory to keep.
    Dropped,
    /// The request may have run; its answer is not known.
    Unknown,
}

impl Completion {
    /// What a repeat of the key is told.
    pub fn answer(&self) -> Answer {
        match self {
            Self::Recorded(record) => Answer::Recorded(Arc::clone(record)),
            Self::Dropped => Answer::Refused(Reason::RecordDropped),
            Self::Unknown => Answer::Refused(Reason::Interrupted),
        }
    }

    /// Upper bound of the encoded size, in bytes.
    pub(crate) fn encoded_bytes(&self) -> usize {
        /// Lengths, status and tags of a record and of one header.
        const OVERHEAD: usize = 24;
        match self {
            Self::Recorded(record) => OVERHEAD * (1 + record.headers.len()) + record.bytes(),
            Self::Dropped | Self::Unknown => OVERHEAD,
        }
    }

    /// Memory that the record takes, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Recorded(record) => record.bytes(),
            Self::Dropped | Self::Unknown => 0,
        }
    }
}
