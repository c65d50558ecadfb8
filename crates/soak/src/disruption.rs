//! Disruptions that took place during a run.

use base::Millis;

/// Cause of a disruption of a node or of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The process was killed and is absent until the end of the disruption.
    Killed,
    /// The process was sent SIGTERM; once it has exited it is absent until the end of the disruption.
    Terminated,
    /// The process was stopped by SIGSTOP.
    Paused,
    /// The connections from callers were impaired.
    Impaired,
}

/// A disruption of a node. Times are relative to the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    /// Index of the node.
    pub node: usize,
    /// Cause.
    pub cause: Cause,
    /// Start.
    pub from: Millis,
    /// End.
    pub to: Millis,
}

impl Disruption {
    /// Whether it overlaps the given period.
    pub fn overlaps(&self, from: Millis, to: Millis) -> bool {
        self.from <= to && from <= self.to
    }
}

/// A period in which the second API key was certainly revoked.
#[derive(Clone, Copy, Debug)]
pub struct Revocation {
    /// When the store had confirmed the revocation.
    pub from: Millis,
    /// When restoring the key began.
    pub to: Millis,
}
