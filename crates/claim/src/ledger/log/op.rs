//! The current operation of a log on the key-value service.

use base::Millis;

use crate::ledger::ReadDone;
use crate::ledger::batch::Batch;

/// Current operation. Only one runs at a time, so that a batch is always based on the complete log before it.
#[derive(Debug, Default)]
pub(super) enum Op {
    /// No operation is in progress.
    #[default]
    Idle,
    /// A batch is being written at the next sequence number.
    Write { batch: Batch, started_at: Millis },
    /// Sequence numbers starting at the next one are being read; `results` has one slot for each.
    Read {
        results: Vec<Option<ReadDone>>,
        started_at: Millis,
    },
    /// The base is being read.
    ReadBase { started_at: Millis },
    /// The base is being replaced.
    SwapBase { started_at: Millis },
}

impl Op {
    /// Start time of the operation, if one is in progress.
    pub const fn started_at(&self) -> Option<Millis> {
        match self {
            Self::Idle => None,
            Self::Write { started_at, .. }
            | Self::Read { started_at, .. }
            | Self::ReadBase { started_at }
            | Self::SwapBase { started_at } => Some(*started_at),
        }
    }

    pub const fn is_idle(&self) -> bool {
        matches!(self, Self::Idle)
    }
}
