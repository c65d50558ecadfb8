//! What really went wrong when.

use base::Millis;

/// What was done to a node or on the way to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its process was killed, and is not there until the end.
    Killed,
    /// Its process was told to end, and is not there after that until the end.
    Terminated,
    /// Its process did not run.
    Paused,
    /// The way from callers was troubled.
    Impaired,
}

/// One disturbance of a node. Times count from the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    /// The node.
    pub node: usize,
    /// What was done.
    pub cause: Cause,
    /// Its start.
    pub from: Millis,
    /// Its end.
    pub to: Millis,
}

impl Disruption {
    /// Whether it falls into a span.
    pub fn overlaps(&self, from: Millis, to: Millis) -> bool {
        self.from <= to && from <= self.to
    }
}

/// A span for which the second API key was surely taken away.
#[derive(Clone, Copy, Debug)]
pub struct Revocation {
    /// When the store had confirmed the removal.
    pub from: Millis,
    /// When giving it back began.
    pub to: Millis,
}
