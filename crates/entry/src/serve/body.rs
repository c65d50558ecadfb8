//! Bodies of answers.

use std::fmt;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// An answer that can't be finished: the connection is closed so that it does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer can't be finished")
    }
}

impl std::error::Error for Broken {}

/// A body that is there as a whole.
pub(super) fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
