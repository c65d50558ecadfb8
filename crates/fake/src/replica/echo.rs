//! Request headers that a replica echoes.

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::fault::{Corruption, Plan};
use crate::header;

/// Dispatch id that belongs to no request.
const UNKNOWN_DISPATCH: &str = "00000000-0000-0000-0000-000000000000";

/// Values of a request that its response echoes, and the version that serves it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Echo {
    /// Dispatch id that the request carried.
    pub dispatch: Option<String>,
    /// Idempotency key that the request carried.
    pub key: Option<String>,
    /// Id of the request; recorded but not echoed.
    pub request: Option<String>,
    /// Version that serves the request.
    pub version: String,
}

impl Echo {
    /// Reads the headers of a request.
    pub fn new(headers: &HeaderMap, version: String) -> Self {
        Self {
            dispatch: header_text(headers, header::DISPATCH),
            key: header_text(headers, header::KEY),
            request: header_text(headers, header::REQUEST_ID),
            version,
        }
    }

    /// Adds the echoed headers to a response.
    pub fn apply(&self, plan: &Plan, headers: &mut HeaderMap) {
        let dispatch = if plan.corruption == Some(Corruption::WrongDispatch) {
            Some(UNKNOWN_DISPATCH)
        } else {
            self.dispatch.as_deref()
        };
        insert(headers, header::VERSION, Some(&self.version));
        insert(headers, header::DISPATCH, dispatch);
        insert(headers, header::KEY, self.key.as_deref());
    }
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: Option<&str>) {
    // Echoed values were read from headers, so they are valid header values.
    if let Some(Ok(value)) = value.map(HeaderValue::from_str) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns the value of a header as text.
pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
