//! Orders from the router to the driver of a request.

use base::{Incarnation, Name};
use route::{DispatchId, Refusal};

use super::Replica;

/// Replica and parameters of a dispatch.
#[derive(Clone, Debug)]
pub struct Target {
    /// Id of the dispatch.
    pub dispatch: DispatchId,
    /// Attempt number, starting from 1.
    pub attempt: u8,
    /// Number of tokens already delivered to the caller.
    pub delivered: u32,
    /// Base URL of the replica.
    pub url: String,
    /// Name of the replica's VM.
    pub vm: Name,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
    /// Version that the replica runs.
    pub version: Name,
}

impl Target {
    /// Combines a dispatch of the router with the address and version of its replica.
    pub fn new(dispatch: route::action::Dispatch, replica: &Replica) -> Self {
        Self {
            dispatch: dispatch.id,
            attempt: dispatch.attempt,
            delivered: dispatch.delivered,
            url: format!("http://{}", replica.address),
            vm: replica.identity.vm.clone(),
            incarnation: replica.identity.incarnation,
            version: replica.version.clone(),
        }
    }
}

/// Order to the driver of a request.
#[derive(Clone, Debug)]
pub enum Order {
    /// Send the request.
    Dispatch(Target),
    /// Cancel the dispatch.
    Cancel(DispatchId),
    /// The dispatch's replica is leaving: export its KV cache if possible.
    Leaving(DispatchId),
    /// The request ended with the answer of this dispatch.
    Answered(DispatchId),
    /// The request ended without an answer.
    Refuse(Refusal),
}
