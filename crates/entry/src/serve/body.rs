//! Bodies of answers.

use std::fmt;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, Aborted>;

/// An answer that can't be finished: the connection is closed so that it does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer can't be finished")
    }
}

impl std::error::Error for Aborted {}

/// A body that is there as a whole.
pub(super) fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
