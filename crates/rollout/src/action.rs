//! Actions that a controller requests from its node.

use base::Name;

use crate::{Id, Record, Shares, Verdict, Veto};

/// Reason for refusing an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another rollout of the endpoint is running; wait for it or undo it.
    Conflict {
        /// Id of the running rollout.
        winner: Id,
        /// Operator who declared the running rollout.
        operator: Name,
    },
    /// No rollout with this id is running.
    Unknown,
    /// The rollout has already ended.
    Ended(Box<Verdict>),
    /// Another node holds the role. The request may have taken effect; the stored record tells.
    NotController,
    /// The queue of requests is full.
    Busy,
    /// The plan is invalid: its versions are equal, its deadline has passed, or its canary share is out of
    /// range.
    Invalid,
}

/// An action requested by a [`crate::Controller`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write the record by compare-and-swap on the stored generation.
    Store {
        /// Record to write.
        record: Box<Record>,
        /// Generation that must be stored now; zero means that nothing is stored.
        expected: u64,
    },
    /// Read the stored record.
    Load,
    /// Send the shares to every node.
    Announce(Box<Shares>),
    /// Send a veto to every node.
    Veto(Box<Veto>),
    /// Report that the declaration or undo of this rollout took effect.
    Accept(Id),
    /// Report that a declaration or undo was refused.
    Refuse {
        /// Rollout that was to be declared or undone.
        rollout: Id,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// Notify operators of the end of the rollout, which is already stored in the record.
    NotifyEnded {
        /// Id of the rollout.
        rollout: Id,
        /// How it ended.
        verdict: Box<Verdict>,
    },
    /// Notify operators of a veto that arrived after the rollout was done. They should declare a rollout back
    /// to the old version.
    NotifyLateVeto(Box<Veto>),
}
