//! Arrivals of the workload.

use super::Operation;

/// A request that is due at a fixed time, independent of the progress of earlier requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Due time in microseconds since the start.
    pub due_us: u64,
    /// Index of its stream in the settings.
    pub stream: usize,
    /// Operation to perform.
    pub operation: Operation,
}
