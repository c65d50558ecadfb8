//! What one dispatch came to.

use http::Response;
use place::{DispatchError, Refusal};

use super::body::Body;
use super::flight::Flight;
use crate::edge::ResponseHead;
use crate::upstream::Sent;

/// An answer whose body is still to come.
#[derive(Debug)]
pub(super) struct Reply {
    pub flight: Flight,
    pub answer: ResponseHead,
    pub sent: Sent,
}

impl Reply {
    /// Whether it is a success that carries the replica's signature.
    pub fn is_signed_success(&self) -> bool {
        self.answer.signed && self.sent.response.status().is_success()
    }
}

/// Why a dispatch brought no answer that can be used.
#[derive(Debug)]
pub(super) struct Miss {
    pub event: DispatchError,
    pub cause: String,
    /// Whether the time of the whole request is up.
    pub timed_out: bool,
    /// The replica's own failure, as it would be passed on.
    pub passed: Option<Box<Response<Body>>>,
}

impl Miss {
    pub fn new<C>(event: DispatchError, cause: C) -> Self
    where
        C: Into<String>,
    {
        Self {
            event,
            cause: cause.into(),
            timed_out: false,
            passed: None,
        }
    }
}

/// Why a dispatch did not get as far as an answer.
#[derive(Debug)]
pub(super) enum Stop {
    /// No replica was chosen.
    Refused(Refusal),
    /// The dispatch failed.
    Miss(Miss),
}
