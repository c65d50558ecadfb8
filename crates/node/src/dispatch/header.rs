//! Names of header fields, and which fields cross the system.

use base::Incarnation;
use http::{HeaderMap, HeaderName, HeaderValue};
use route::DispatchId;

/// Id of one sending; replicas echo it.
pub const DISPATCH: HeaderName = HeaderName::from_static("bilberrylatch-dispatch");

/// Id of a request, the same at every node and replica.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("bilberrylatch-request-id");

/// What the caller may conclude.
pub const OUTCOME: HeaderName = HeaderName::from_static("bilberrylatch-outcome");

/// The version that answered.
pub const VERSION: HeaderName = HeaderName::from_static("bilberrylatch-version");

/// Workspace that a request belongs to, towards replicas.
pub const WORKSPACE: HeaderName = HeaderName::from_static("bilberrylatch-workspace");

/// Idempotency key, towards replicas.
pub const KEY: HeaderName = HeaderName::from_static("bilberrylatch-key");

/// Idempotency key, from callers.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The caller's own time limit, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("bilberrylatch-timeout-ms");

/// `interactive`, `normal` or `batch`.
pub const PRIORITY: HeaderName = HeaderName::from_static("bilberrylatch-priority");

/// Id of the last event that a resuming caller holds.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Prefix of this system's own fields; replicas' fields with it are not passed on.
const OWN_PREFIX: &str = "bilberrylatch-";

/// Fields that belong to one connection (RFC 9110, section 7.6.1) or are set anew.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Fields of a caller that go on to the replica.
const REPLICA_FIELDS: [&str; 4] = ["accept", "accept-language", "content-type", "if-none-match"];

/// The fields of a caller's request that go on to the replica.
pub fn replica_fields(fields: &HeaderMap) -> HeaderMap {
    fields
        .iter()
        .filter(|(name, _value)| REPLICA_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// The fields of a replica's answer that go on to the caller.
pub fn caller_fields(fields: &HeaderMap) -> HeaderMap {
    fields
        .iter()
        .filter(|(name, _value)| {
            !HOP_BY_HOP.contains(&name.as_str()) && !name.as_str().starts_with(OWN_PREFIX)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Value of the dispatch field: unique among all nodes and their runs.
pub fn dispatch(incarnation: Incarnation, dispatch: DispatchId) -> String {
    format!("{incarnation}-{}", dispatch.0)
}

/// A field as text.
pub fn text(fields: &HeaderMap, name: &HeaderName) -> Option<String> {
    fields
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}

/// A value from text that is known to be plain.
pub fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_invalid| HeaderValue::from_static("invalid"))
}
