//! Messages between nodes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Error, FRAME_LIMIT_BYTES, Head, Request, codec};

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A message of the membership protocol; the `member` crate defines its contents.
    Gossip(Bytes),
    /// Evidence for a rollout's controller; the `rollout` crate defines its contents.
    Evidence(Bytes),
    /// A request forwarded to the node that owns its idempotency key.
    Forward(Request),
    /// Status and headers of the response to a forwarded request.
    Head(Head),
    /// A part of the response body.
    Data(Bytes),
    /// The response is complete.
    End,
    /// Idempotency key records that a leaving node hands over.
    Handover(Bytes),
    /// Acknowledges a handover or a forwarded request; also sent periodically while a forwarded request runs.
    Accepted,
}

impl Frame {
    /// Encodes the frame.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = codec::encode(self)?;
        if bytes.len() > FRAME_LIMIT_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a frame. Trailing bytes are an error.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        codec::decode(bytes)
    }
}
