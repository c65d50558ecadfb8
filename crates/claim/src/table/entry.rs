//! One key of this home.

use crate::{Call, Completion, Fingerprint};

/// A key that is running or may have run.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// The request that the key stands for.
    pub fingerprint: Fingerprint,
    /// Whether its run goes on.
    pub state: State,
}

/// Where the run of a key stands.
#[derive(Clone, Debug)]
pub(super) enum State {
    /// The run goes on.
    Running(Run),
    /// The run ended and may have reached the endpoint.
    Ended(Completion),
}

/// A run that goes on.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// The call that was told to run.
    pub call: Call,
    /// Whether bytes may have left.
    pub dispatched: bool,
    /// Calls to answer at its end, the running one first while its caller waits.
    pub waiters: Vec<Call>,
}
