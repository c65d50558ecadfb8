//! Recorded answers.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One header of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The header's name, in lower case.
    pub name: Bytes,
    /// The header's value.
    pub value: Bytes,
}

/// The whole answer of an endpoint, as a repeat of the key receives it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// HTTP status code.
    pub status: u16,
    /// Headers that a repeat must see.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

impl Record {
    /// Memory that headers and body take, in bytes.
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
