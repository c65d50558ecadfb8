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
    Write { batch: Batch, since: Millis },
    /// Sequence numbers from the next one on are being read.
    Read {
        found: Vec<Option<ReadDone>>,
        since: Millis,
    },
    /// The base is being read.
    ReadBase { since: Millis },
    /// The base is being swapped.
    SwapBase { since: Millis },
}

impl Op {
    /// When it was started.
    pub const fn since(&self) -> Option<Millis> {
        match self {
            Self::Idle => None,
            Self::Write { since, .. }
            | Self::Read { since, .. }
            | Self::ReadBase { since }
            | Self::SwapBase { since } => Some(*since),
        }
    }

    pub const fn is_idle(&self) -> bool {
        matches!(self, Self::Idle)
    }
}
