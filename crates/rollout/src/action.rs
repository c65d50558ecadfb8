//! What a controller asks its node to do.

use base::Name;

use crate::{Id, Record, Shares, Verdict, Veto};

/// Why a request of an operator was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another rollout of the endpoint runs: wait for it or undo it.
    Conflict {
        /// The rollout that won.
        winner: Id,
        /// Who declared it.
        operator: Name,
    },
    /// No such rollout runs.
    Unknown,
    /// The rollout has ended already.
    Ended(Box<Verdict>),
    /// The role is held elsewhere. The request may have taken effect: the record says so.
    NotController,
    /// Too many requests wait.
    Busy,
    /// The plan can't be carried out: its versions are equal, or its time has passed.
    Invalid,
}

/// An order of a [`crate::Controller`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write the record if the stored generation is `expected` (zero: nothing stored).
    Store {
        /// What to write.
        record: Box<Record>,
        /// The generation it replaces.
        expected: u64,
    },
    /// Read the record back.
    Load,
    /// Send the shares to every node.
    Announce(Box<Shares>),
    /// Spread a veto to every node.
    Veto(Box<Veto>),
    /// A declaration or undo with this id took effect.
    Accept(Id),
    /// A declaration or undo with this id did not take effect.
    Refuse {
        /// The rollout declared or to be undone.
        rollout: Id,
        /// Why.
        refusal: Refusal,
    },
    /// Tell operators how the rollout ended; the record already says so.
    NotifyEnded {
        /// The rollout.
        rollout: Id,
        /// How it ended.
        verdict: Box<Verdict>,
    },
    /// A veto came after the rollout was done: operators should declare the way back.
    NotifyLateVeto(Box<Veto>),
}
