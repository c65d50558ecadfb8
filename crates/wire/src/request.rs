//! A caller's request that one node forwards to another.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::head::Header;

/// A request that the node contacted by the caller has already admitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Id of the request, used in the logs of all nodes that handle it.
    pub request_id: String,
    /// Workspace that the caller belongs to.
    pub workspace: String,
    /// Requested endpoint.
    pub endpoint: String,
    /// Route that the request matches.
    pub route: String,
    /// HTTP method.
    pub method: String,
    /// Path and query relative to the endpoint.
    pub path: String,
    /// Headers that are forwarded to the replica.
    #[serde(rename = "fields")]
    pub headers: Vec<Header>,
    /// Idempotency key.
    #[serde(rename = "key")]
    pub idempotency_key: String,
    /// Complete body.
    pub body: Bytes,
    /// Time remaining until the caller's deadline, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
}
