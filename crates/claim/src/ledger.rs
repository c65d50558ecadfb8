//! Keys that callers chose, claimed in the platform's key-value service before dispatch.

mod action;
mod event;
mod key;
mod shard;

use base::{Incarnation, Millis};

pub use action::{Action, Actions};
pub use event::{Event, ReadDone, WriteDone};
pub use key::Key;
pub use shard::Shard;

pub use crate::table::Finish;
use crate::{Answer, Reason};

/// Claims of chosen keys as one node sees them.
#[derive(Debug)]
pub struct Ledger {
    by: Incarnation,
}

impl Ledger {
    /// An empty ledger of the node `by`, whose number must be new at each start of the process.
    pub const fn new(by: Incarnation) -> Self {
        Self { by }
    }

    /// The node that this ledger belongs to.
    pub const fn by(&self) -> Incarnation {
        self.by
    }

    /// Takes one event in and says what to do. Nothing is claimed yet: every request is refused as in an outage.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "keeps the signature of the finished ledger"
    )]
    pub fn step(&mut self, _now: Millis, event: Event) -> Actions {
        let Event::Want { call, .. } = event else {
            return Actions::new();
        };
        let answer = Answer::Refused(Reason::Outage);
        vec![Action::Answer { call, answer }]
    }
}
