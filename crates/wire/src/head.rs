//! Head of the response to a forwarded request.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// An HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: Bytes,
}

/// Status and headers of a response. The body follows in separate frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    #[serde(rename = "fields")]
    pub headers: Vec<Header>,
}
