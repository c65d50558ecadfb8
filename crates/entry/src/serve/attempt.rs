//! Result of one dispatch of a request to a replica.

use http::Response;
use place::{DispatchError, Refusal};

use super::body::Body;
use super::in_flight::InFlight;
use crate::edge::ResponseHead;
use crate::upstream::PendingResponse;

/// A response whose body has not been read yet.
#[derive(Debug)]
pub(super) struct Reply {
    pub in_flight: InFlight,
    pub response_head: ResponseHead,
    pub pending: PendingResponse,
}

impl Reply {
    /// Whether the response is a success with the replica's signature.
    pub fn is_signed_success(&self) -> bool {
        self.response_head.signed && self.pending.response.status().is_success()
    }
}

/// Why a dispatch produced no usable response.
#[derive(Debug)]
pub(super) struct Failure {
    pub error: DispatchError,
    pub cause: String,
    /// Whether the deadline of the whole request passed.
    pub timed_out: bool,
    /// The replica's own error response, to be forwarded if no other replica responds.
    pub response: Option<Box<Response<Body>>>,
}

impl Failure {
    pub fn new<C>(error: DispatchError, cause: C) -> Self
    where
        C: Into<String>,
    {
        Self {
            error,
            cause: cause.into(),
            timed_out: false,
            response: None,
        }
    }
}

/// Why a dispatch produced no response.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// No replica could be selected.
    NoReplica(Refusal),
    /// The dispatch failed.
    Failed(Failure),
}
