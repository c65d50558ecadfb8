//! The one operation on the key-value service that a log has under way.

use base::Millis;

use crate::ledger::ReadDone;
use crate::ledger::batch::Batch;

/// What is under way. One at a time, so that a batch is always composed on the whole log before it.
#[derive(Debug, Default)]
pub(super) enum Op {
    /// Nothing.
    #[default]
    Idle,
    /// A batch is being created at the next sequence number.
    Write { batch: Batch, started_at: Millis },
    /// Sequence numbers from the next one on are being read.
    Read {
        results: Vec<Option<ReadDone>>,
        started_at: Millis,
    },
    /// The base is being read.
    ReadBase { started_at: Millis },
    /// The base is being swapped.
    SwapBase { started_at: Millis },
}

impl Op {
    /// When it was started.
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
