//! One line of a history.

use serde::{Deserialize, Serialize};

use super::{Content, End};

/// Something that happened; times are microseconds since the start of the load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Record {
    /// A caller sent a call to a node.
    Invoke(Invoke),
    /// A node sent the call to a replica.
    Dispatch(Dispatch),
    /// A replica ran it.
    Run(Run),
    /// The caller saw its end.
    Answer(Answer),
    /// A node applied a configuration.
    Generation(Generation),
}

/// A call; a retry by the caller is a call of its own, with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invoke {
    /// Time of the sending.
    pub at_us: u64,
    /// Request id, one a call.
    pub call: String,
    /// Endpoint asked for.
    pub endpoint: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Idempotency key, shared by repeats.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Call before, whose end was not stated and which this one makes good.
    #[serde(rename = "repeats", default, skip_serializing_if = "Option::is_none")]
    pub retry_of: Option<String>,
    /// What the whole answer must hold.
    #[serde(rename = "expects")]
    pub expected: Content,
}

/// A sending of a call to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Request id.
    pub call: String,
    /// Dispatch id.
    pub dispatch: String,
}

/// A run, as the replica recorded it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Replica.
    pub replica: String,
    /// Place among the replica's runs.
    pub number: u64,
    /// Request id, if the replica was told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub call: Option<String>,
    /// Dispatch id, if the replica was told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dispatch: Option<String>,
    /// Idempotency key, if the replica was told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// The end of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Time of the end.
    pub at_us: u64,
    /// Request id.
    pub call: String,
    /// What the caller saw.
    pub end: End,
    /// What the answer held, if it was answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Content>,
    /// Digest of the whole body, to compare the answers to repeats.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

/// A configuration in force at a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Node, the same across its restarts.
    pub node: String,
    /// Generation that it applies.
    pub generation: u64,
}
