//! What the router tells the driver of a request.

use base::{Incarnation, Name};
use route::{DispatchId, Refusal};

use super::Replica;

/// A dispatch to make.
#[derive(Clone, Debug)]
pub struct Target {
    /// Id of the dispatch.
    pub dispatch: DispatchId,
    /// Number of this sending, from one.
    pub attempt: u8,
    /// Tokens that the caller already holds.
    pub delivered: u32,
    /// Base URL of the replica.
    pub url: String,
    /// Name of the replica's VM.
    pub vm: Name,
    /// The VM's run.
    pub incarnation: Incarnation,
    /// The version that it runs.
    pub version: Name,
}

impl Target {
    /// The dispatch of the router to this replica.
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

/// One order to the driver of a request.
#[derive(Clone, Debug)]
pub enum Order {
    /// Send the request.
    Dispatch(Target),
    /// Give the dispatch up.
    Cancel(DispatchId),
    /// The replica of this dispatch leaves: take along what it can give.
    Leaving(DispatchId),
    /// The answer of this dispatch stands; the request has ended.
    Answered(DispatchId),
    /// The request has ended without an answer.
    Refuse(Refusal),
}
