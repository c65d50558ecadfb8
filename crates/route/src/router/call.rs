//! A request that has not ended.

use base::{Millis, Outcome};

use crate::arrival::Arrival;
use crate::key::{DispatchId, ReplicaKey};
use crate::queue::flow::{Constraints, Entry};
use crate::retry::Cause;

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Queued for a slot.
    Waiting,
    /// Waiting for the backoff before a retry.
    Backoff,
    /// Dispatched to a replica.
    InFlight(DispatchId),
    /// The deadline passed while dispatched. How the dispatch ends decides the refusal.
    Expired(DispatchId),
}

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub arrival: Arrival,
    pub state: State,
    /// Number of the arrival.
    pub sequence: u64,
    /// Latest time for the first token; later than the arrival's deadline after a stream was interrupted.
    pub deadline: Millis,
    /// Time of the only timer of the request, if set.
    pub timer: Option<Millis>,
    /// Number of dispatches so far.
    pub attempts: u8,
    /// Number of dispatches whose replica was lost; they do not count against the endpoint's maximum.
    pub lost_attempts: u8,
    /// The replica that had the prefix cached when the request was queued.
    pub affinity_replica: Option<ReplicaKey>,
    /// The replica of the last failed dispatch.
    pub avoid: Option<ReplicaKey>,
    /// Whether any dispatch may have run.
    pub may_have_run: bool,
    /// Tokens delivered to the caller.
    pub delivered: u32,
    /// Cause of the last retry.
    pub cause: Option<Cause>,
}

impl Call {
    pub const fn new(arrival: Arrival, sequence: u64) -> Self {
        Self {
            arrival,
            state: State::Waiting,
            sequence,
            deadline: arrival.deadline,
            timer: None,
            attempts: 0,
            lost_attempts: 0,
            affinity_replica: None,
            avoid: None,
            may_have_run: arrival.delivered > 0,
            delivered: arrival.delivered,
            cause: None,
        }
    }

    /// Returns the entry in the workspace's flow.
    pub const fn entry(&self) -> Entry {
        Entry {
            priority: self.arrival.priority,
            sequence: self.sequence,
            call: self.arrival.call,
        }
    }

    /// Returns the constraints by which the request is queued.
    pub const fn constraints(&self) -> Constraints {
        Constraints {
            version: self.arrival.version,
            fallback: self.arrival.fallback,
            affinity_replica: self.affinity_replica,
        }
    }

    /// Returns the outcome to report on a refusal.
    pub const fn outcome(&self) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}
