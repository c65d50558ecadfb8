//! What a controller is told.

use base::Name;

use crate::{Id, Plan, Stored, Summary, Veto, WallTime};

/// How a write ended, as far as the writer knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// It took effect and has this generation.
    Ok(u64),
    /// Another write came first; this is what stands now, if anything.
    Conflict(Option<Box<Stored>>),
    /// No answer: it may have taken effect.
    Lost,
    /// The service was not reached.
    Unavailable,
}

/// An event for a [`crate::Controller`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The role was taken up; no event before this one counts.
    Acquired {
        /// Fencing number, above every earlier holder's.
        fence: u64,
        /// What stands in the store.
        stored: Option<Box<Stored>>,
        /// Wall-clock time of this event.
        wall_time: WallTime,
    },
    /// The role has ended.
    Released,
    /// An operator declares a rollout.
    Declared(Box<Plan>),
    /// An operator takes a rollout back.
    Undo {
        /// The rollout.
        rollout: Id,
        /// Who asks.
        operator: Name,
    },
    /// A node's evidence.
    Reported(Box<Summary>),
    /// A veto from a node or a peer.
    Vetoed(Box<Veto>),
    /// The answer to [`crate::Action::Store`].
    Stored(StoreResult),
    /// The answer to [`crate::Action::Load`]: none within if nothing is stored.
    Loaded(Option<Box<Stored>>),
    /// The store was not reached for [`crate::Action::Load`].
    LoadFailed,
    /// Time has passed; expected about once a second.
    Tick,
}
