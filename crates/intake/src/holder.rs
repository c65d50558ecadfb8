//! A request that holds memory.

use base::Millis;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a request that holds memory.
    pub struct Key;
}

/// What a request is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its body arrives. It has not been passed on, so it may be given up.
    Receiving,
    /// It waits for memory.
    Waiting,
    /// It is being given up.
    Evicted,
    /// It is complete and may have been passed on.
    Complete,
}

/// A request that holds memory.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holder {
    pub held: usize,
    /// Size that it announces; 0 if it announces none.
    pub announced: usize,
    /// When a part of its body last arrived.
    pub grown: Millis,
    pub stage: Stage,
}

impl Holder {
    /// Time for which its sender has sent nothing. A request that waits for memory has a sender that would send more.
    pub fn stalled(&self, now: Millis) -> Millis {
        match self.stage {
            Stage::Receiving => now.since(self.grown),
            Stage::Waiting | Stage::Evicted | Stage::Complete => Millis::ZERO,
        }
    }
}
