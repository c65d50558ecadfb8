//! State of one key issued by this node.

use crate::{Call, Completion, Fingerprint};

/// A key that is running or may have run.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Fingerprint of the request that the key was first used with.
    pub fingerprint: Fingerprint,
    /// Whether its run is in progress.
    pub state: State,
}

/// Progress of the run of a key.
#[derive(Clone, Debug)]
pub(super) enum State {
    /// The run is in progress.
    Running(Run),
    /// The run ended and may have reached the endpoint.
    Ended(Completion),
}

/// A run in progress.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// Call that runs the request.
    pub call: Call,
    /// Whether dispatch was granted, so that the endpoint may have received bytes.
    pub dispatched: bool,
    /// Calls to answer when the run ends. The running call comes first while its caller is connected.
    pub waiters: Vec<Call>,
}
