//! Response bodies.

use std::fmt;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use crate::upstream::Blocks;

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, Aborted>;

/// A response that cannot be completed. The connection is closed so that the response does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response cannot be completed")
    }
}

impl std::error::Error for Aborted {}

/// A body whose bytes are all available.
pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body whose bytes are all available, in blocks.
pub(super) fn blocks(blocks: Blocks) -> Body {
    blocks.map_err(|never| match never {}).boxed_unsync()
}
