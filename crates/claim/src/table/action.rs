//! Outputs of a table.

use base::Incarnation;

use crate::{Answer, Call, Key};

/// Outputs of one step, in order.
pub type Actions = Vec<Action>;

/// One output of a [`Table`](crate::Table).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Return this key to the caller.
    Issued {
        /// Call that requested the key.
        call: Call,
        /// Issued key.
        key: Key,
    },
    /// Run the request. Request permission with `Event::Dispatch` before sending any byte to the endpoint, and report
    /// the result with `Event::Finish`.
    Run {
        /// Call whose request runs.
        call: Call,
        /// Its key.
        key: Key,
    },
    /// The key is already running here; an [`Action::Answer`] follows when the run ends.
    Join {
        /// Waiting call.
        call: Call,
    },
    /// Forward the request to the node that holds the state of the key. If forwarding fails, the call arrives again
    /// with an updated [`Home`](super::Home).
    Forward {
        /// Call to forward.
        call: Call,
        /// Node that holds the state of the key.
        to: Incarnation,
    },
    /// Permits the run to send its request once, now.
    DispatchGranted {
        /// Call whose request is sent.
        call: Call,
    },
    /// Denies dispatch: the call does not hold the current run of its key. No `Event::Finish` is needed.
    DispatchDenied {
        /// Call whose request must not be sent.
        call: Call,
    },
    /// Answer the call.
    Answer {
        /// Call to answer.
        call: Call,
        /// Its answer.
        answer: Answer,
    },
}
