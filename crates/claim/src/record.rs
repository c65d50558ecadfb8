//! Recorded responses.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One header of a recorded response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Header name in lower case.
    pub name: Bytes,
    /// Header value.
    pub value: Bytes,
}

/// Complete response of an endpoint, as it is replayed to repeats of the key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// HTTP status code.
    pub status: u16,
    /// Headers to replay.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

impl Record {
    /// Memory used by headers and body, in bytes.
    pub fn bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(Header::bytes).sum();
        headers + self.body.len()
    }
}

impl Header {
    fn bytes(&self) -> usize {
        self.name.len() + self.value.len()
    }
}
