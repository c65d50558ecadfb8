//! Records of a history.

use serde::{Deserialize, Serialize};

use super::{Content, End};

/// An event in a history. Times are in microseconds since the start of the load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Record {
    /// A caller sent a call to a node.
    Invoke(Invoke),
    /// A node dispatched a call to a replica.
    Dispatch(Dispatch),
    /// A replica ran a request.
    Run(Run),
    /// A call ended for its caller.
    Answer(Answer),
    /// A node applied a configuration.
    Generation(Generation),
}

/// A call. A retry by the caller is a separate call with the same idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invoke {
    /// Time when the call was sent.
    pub at_us: u64,
    /// Request id, unique for each call.
    pub call: String,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key, shared by retries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Previous call that this call retries because its outcome was lost or unknown.
    #[serde(rename = "repeats", default, skip_serializing_if = "Option::is_none")]
    pub retry_of: Option<String>,
    /// Expected content of the complete answer.
    #[serde(rename = "expects")]
    pub expected: Content,
}

/// A dispatch of a call to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Request id.
    pub call: String,
    /// Dispatch id.
    pub dispatch: String,
}

/// A run as recorded by the replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Id of the replica.
    pub replica: String,
    /// Sequence number among the replica's runs.
    pub number: u64,
    /// Request id, if the replica received it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub call: Option<String>,
    /// Dispatch id, if the replica received it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dispatch: Option<String>,
    /// Idempotency key, if the replica received it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Time when the call ended.
    pub at_us: u64,
    /// Request id.
    pub call: String,
    /// Result observed by the caller.
    pub end: End,
    /// Content of the answer, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Content>,
    /// Digest of the response body, to compare the answers for one idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

/// A configuration generation applied by a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// Identity of the node, unchanged across restarts.
    pub node: String,
    /// Generation number.
    pub generation: u64,
}
