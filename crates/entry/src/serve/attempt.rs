//! What one dispatch came to.

use http::Response;
use place::{DispatchError, Refusal};

use super::body::Body;
use super::in_flight::InFlight;
use crate::edge::ResponseHead;
use crate::upstream::PendingResponse;

/// An answer whose body is still to come.
#[derive(Debug)]
pub(super) struct Reply {
    pub flight: InFlight,
    pub answer: ResponseHead,
    pub sent: PendingResponse,
}

impl Reply {
    /// Whether it is a success that carries the replica's signature.
    pub fn is_signed_success(&self) -> bool {
        self.answer.signed && self.sent.response.status().is_success()
    }
}

/// Why a dispatch brought no answer that can be used.
#[derive(Debug)]
pub(super) struct Failure {
    pub error: DispatchError,
    pub cause: String,
    /// Whether the time of the whole request is up.
    pub timed_out: bool,
    /// The replica's own failure, as it would be passed on.
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

/// Why a dispatch did not get as far as an answer.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// No replica was chosen.
    NoReplica(Refusal),
    /// The dispatch failed.
    Failed(Failure),
}
