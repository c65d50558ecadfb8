//! Events that a controller reacts to.

use base::Name;

use crate::{Id, Plan, Stored, Summary, Veto, WallTime};

/// Outcome of a write, as far as the writer knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// The write took effect and produced this generation.
    Ok(u64),
    /// The stored generation was not the expected one; holds the stored record, if any.
    Conflict(Option<Box<Stored>>),
    /// No answer was received; the write may have taken effect.
    Lost,
    /// The store was unreachable.
    Unavailable,
}

/// An event for a [`crate::Controller`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The role was acquired. Events received before this one are ignored.
    Acquired {
        /// Fencing token, greater than that of every earlier holder.
        fence: u64,
        /// Record in the store, if any.
        stored: Option<Box<Stored>>,
        /// Wall-clock time at which the role was acquired.
        wall_time: WallTime,
    },
    /// The role was lost or given up.
    Released,
    /// An operator declares a rollout.
    Declared(Box<Plan>),
    /// An operator undoes a rollout.
    Undo {
        /// Id of the rollout.
        rollout: Id,
        /// Operator who undoes it.
        operator: Name,
    },
    /// A node reported its evidence.
    Reported(Box<Summary>),
    /// A node or a peer sent a veto.
    Vetoed(Box<Veto>),
    /// Result of [`crate::Action::Store`].
    Stored(StoreResult),
    /// Result of [`crate::Action::Load`]; `None` if nothing is stored.
    Loaded(Option<Box<Stored>>),
    /// [`crate::Action::Load`] failed because the store was unreachable.
    LoadFailed,
    /// Periodic timer, expected about once a second.
    Tick,
}
