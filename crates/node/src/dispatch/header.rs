//! Names of headers, and the headers that are forwarded.

use base::Incarnation;
use http::{HeaderMap, HeaderName, HeaderValue};
use route::DispatchId;

/// Id of a dispatch; replicas echo it.
pub const DISPATCH: HeaderName = HeaderName::from_static("bilberrylatch-dispatch");

/// Id of a request, the same at all nodes and replicas.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("bilberrylatch-request-id");

/// Whether the request ran, as far as the caller may conclude.
pub const OUTCOME: HeaderName = HeaderName::from_static("bilberrylatch-outcome");

/// Version that answered.
pub const VERSION: HeaderName = HeaderName::from_static("bilberrylatch-version");

/// Workspace of a request, sent to replicas.
pub const WORKSPACE: HeaderName = HeaderName::from_static("bilberrylatch-workspace");

/// Idempotency key, sent to replicas.
pub const KEY: HeaderName = HeaderName::from_static("bilberrylatch-key");

/// Idempotency key, sent by callers.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Timeout requested by the caller, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("bilberrylatch-timeout-ms");

/// Priority: `interactive`, `normal` or `batch`.
pub const PRIORITY: HeaderName = HeaderName::from_static("bilberrylatch-priority");

/// Id of the last event received by a caller that resumes a stream.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Prefix of this system's own headers. Such headers from replicas are not passed on.
const OWN_PREFIX: &str = "bilberrylatch-";

/// Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that are set anew.
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

/// Request headers that are passed on to the replica.
const REPLICA_HEADERS: [&str; 4] = ["accept", "accept-language", "content-type", "if-none-match"];

/// Selects the request headers to pass on to the replica.
pub fn replica_headers(headers: &HeaderMap) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _value)| REPLICA_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Selects the answer headers to pass on to the caller.
pub fn caller_headers(headers: &HeaderMap) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _value)| {
            !HOP_BY_HOP.contains(&name.as_str()) && !name.as_str().starts_with(OWN_PREFIX)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Value of the dispatch header, unique across nodes and incarnations.
pub fn dispatch_id(incarnation: Incarnation, dispatch: DispatchId) -> String {
    format!("{incarnation}-{}", dispatch.0)
}

/// Value of a header as text.
pub fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}

/// Converts text that is known to be a valid header value.
pub fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_invalid| HeaderValue::from_static("invalid"))
}
