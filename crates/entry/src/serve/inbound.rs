//! Reads callers' requests.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode, Uri, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use table::Limits;
use tokio::time::timeout;

use super::Reason;

/// Hop-by-hop headers, and others that apply to a single connection.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];
/// Another such header, for which the library has no constant.
const KEEP_ALIVE: &str = "keep-alive";

/// Reads a complete body within the configured limits.
pub(super) async fn read_body(incoming: Incoming, limits: Limits) -> Result<Bytes, Reason> {
    let collected = Limited::new(incoming, limits.body_bytes).collect();
    match timeout(limits.head_timeout.as_duration(), collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Reason::BadBody(StatusCode::PAYLOAD_TOO_LARGE))
        }
        Ok(Err(_broken_off)) => Err(Reason::BadBody(StatusCode::BAD_REQUEST)),
        Err(_elapsed) => Err(Reason::BadBody(StatusCode::REQUEST_TIMEOUT)),
    }
}

/// Removes headers that apply to a single connection, including those listed in the `Connection` header.
pub(super) fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

/// Path and query only, even if the caller sent an absolute URI.
pub(super) fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
