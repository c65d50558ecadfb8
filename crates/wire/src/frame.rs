//! What travels between nodes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Error, FRAME_LIMIT_BYTES, Head, Request, codec};

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A frame of the membership protocol, encoded by its own crate.
    Gossip(Bytes),
    /// Evidence on a rollout for its controller, encoded by its own crate.
    Evidence(Bytes),
    /// A request for the node that its idempotency key names.
    Forward(Request),
    /// Head of the answer to a forwarded request.
    Head(Head),
    /// A piece of the answer's body.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// Records of idempotency keys that a leaving node hands over.
    Handover(Bytes),
    /// The hand-over was taken in.
    Accepted,
}

impl Frame {
    /// The encoded frame.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = codec::encode(self)?;
        if bytes.len() > FRAME_LIMIT_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Reads an encoded frame; bytes left over are an error.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        codec::decode(bytes)
    }
}
