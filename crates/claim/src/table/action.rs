//! What a table asks of its node.

use base::Incarnation;

use crate::{Answer, Call, Key};

/// Outputs of one step, in order.
pub type Actions = Vec<Action>;

/// One output of a [`Table`](crate::Table).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Give this key to the caller.
    Issued {
        /// The call that asked.
        call: Call,
        /// Its key.
        key: Key,
    },
    /// Run the request. Ask with `Dispatch` before the first byte may leave, and report the end with `Finish`.
    Run {
        /// The call whose request runs.
        call: Call,
        /// Its key.
        key: Key,
    },
    /// The key is running here; an [`Action::Answer`] follows when the run ends.
    Join {
        /// The call that waits.
        call: Call,
    },
    /// Send the request on to the node that knows the key. If that fails, the call arrives again with what is known
    /// then.
    Forward {
        /// The call to send on.
        call: Call,
        /// The node that knows the key.
        to: Incarnation,
    },
    /// The run may send, now and once.
    Dispatch {
        /// The call whose request is sent.
        call: Call,
    },
    /// The run must not send: it is not, or no longer, the run of its key. It needs no `Finish`.
    Halt {
        /// The call whose request must not be sent.
        call: Call,
    },
    /// Answer the call.
    Answer {
        /// The call to answer.
        call: Call,
        /// What it is told.
        answer: Answer,
    },
}
