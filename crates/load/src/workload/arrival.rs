//! One caller's coming.

use super::Operation;

/// A request that is due at a time, whatever became of those before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Due time in microseconds since the start.
    pub due_us: u64,
    /// Place of its stream in the settings.
    pub stream: usize,
    /// What is asked.
    pub operation: Operation,
}
