//! A request that has not ended.

use base::{Millis, Outcome};

use crate::arrival::Arrival;
use crate::key::{DispatchId, ReplicaKey};
use crate::queue::flow::{Constraints, Entry};
use crate::retry::Cause;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// It waits for a slot.
    Waiting,
    /// It waits until it may be sent again.
    Backoff,
    /// A replica has it.
    InFlight(DispatchId),
    /// Its deadline passed; the dispatch's end will say what to tell.
    Expired(DispatchId),
}

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub arrival: Arrival,
    pub state: State,
    /// Number of the arrival.
    pub sequence: u64,
    /// When the answer must have begun; later than the arrival's own after a cut.
    pub deadline: Millis,
    /// Its only timer, if one runs.
    pub timer: Option<Millis>,
    /// Dispatches so far.
    pub attempts: u8,
    /// Dispatches that ended because their replica was lost; they don't count against the endpoint's limit.
    pub lost_attempts: u8,
    /// The replica that held its prefix when it began to wait.
    pub affinity_replica: Option<ReplicaKey>,
    /// Where it failed last.
    pub avoid: Option<ReplicaKey>,
    /// Whether any dispatch may have run.
    pub may_have_run: bool,
    /// Tokens that the caller holds.
    pub delivered: u32,
    /// Why it is sent again.
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

    /// Its place in its workspace's flow.
    pub const fn entry(&self) -> Entry {
        Entry {
            priority: self.arrival.priority,
            sequence: self.sequence,
            call: self.arrival.call,
        }
    }

    /// The versions that it accepts.
    pub const fn constraints(&self) -> Constraints {
        Constraints {
            version: self.arrival.version,
            fallback: self.arrival.fallback,
            affinity_replica: self.affinity_replica,
        }
    }

    /// What may be said when it is refused.
    pub const fn outcome(&self) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}
