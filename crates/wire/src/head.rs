//! Head of a forwarded answer.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A header field as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: Bytes,
}

/// Status and fields of an answer; its body follows in frames of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub fields: Vec<Field>,
}
