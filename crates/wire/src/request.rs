//! A caller's request that one node forwards to another.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::head::Field;

/// A request, already admitted by the node that the caller reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Id of the request, the same in every node's log.
    pub request_id: String,
    /// Workspace that the caller belongs to.
    pub workspace: String,
    /// Endpoint asked for.
    pub endpoint: String,
    /// Route taken.
    pub route: String,
    /// HTTP method.
    pub method: String,
    /// Path and query below the endpoint.
    pub path: String,
    /// Header fields that go on to the replica.
    pub fields: Vec<Field>,
    /// Idempotency key.
    #[serde(rename = "key")]
    pub idempotency_key: String,
    /// Whole body.
    pub body: Bytes,
    /// Time left until the caller's deadline, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
}
