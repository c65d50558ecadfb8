//! Dispatches of requests to replicas.

use admission::Class;
use base::Millis;

use crate::ReplicaKey;
use crate::pace::{CacheBasis, Measurement};

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The replica answered.
    Answered,
    /// The replica failed: it answered with a server error, its answer was broken or malformed, or none came.
    Failed,
    /// No connection to the replica could be established.
    Unreachable,
    /// The replica reported that it did not run the request.
    NotRun,
    /// The caller disconnected, or the deadline passed.
    Cancelled,
}

/// What a dispatch is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Its answer alone.
    Answer,
    /// It also tests a replica whose answer was expected too late.
    Trial,
}

/// A dispatch in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dispatch {
    pub replica: ReplicaKey,
    pub sent_at: Millis,
    /// Prompt tokens that the replica has to process before the first event.
    pub prefill_tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Why some were taken for cached, and their number.
    pub cached: Option<(CacheBasis, u32)>,
    /// The class that the engine takes it for; `None` if classes don't matter.
    pub class: Option<Class>,
    /// Expected time to the answer or its first event, estimated when the request was sent.
    pub expected_wait: Millis,
    pub answer_began: bool,
    /// When the answer or its first event arrived.
    pub began_at: Millis,
    /// Whether the replica's silence was recorded as a failure.
    pub is_silent: bool,
    /// Whether it was sent through another node.
    pub is_indirect: bool,
    pub purpose: Purpose,
    /// What its first event tells of the replica's speed.
    pub measurement: Measurement,
}
