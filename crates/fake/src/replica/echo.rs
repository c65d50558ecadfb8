//! Headers that a replica echoes.

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::fault::{Corruption, Plan};
use crate::header;

/// Dispatch id of no request.
const UNKNOWN_DISPATCH: &str = "00000000-0000-0000-0000-000000000000";

/// What an answer repeats of its request, and the version that gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Echo {
    /// Dispatch id that the request carried.
    pub dispatch: Option<String>,
    /// Idempotency key that the request carried.
    pub key: Option<String>,
    /// Identity of the request; recorded, not echoed.
    pub request: Option<String>,
    /// Version that serves it.
    pub version: String,
}

impl Echo {
    /// Reads a request's headers.
    pub fn new(headers: &HeaderMap, version: String) -> Self {
        Self {
            dispatch: header_text(headers, header::DISPATCH),
            key: header_text(headers, header::KEY),
            request: header_text(headers, header::REQUEST_ID),
            version,
        }
    }

    /// Adds the headers to an answer.
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
    // Echoed values came from headers, so they are valid.
    if let Some(Ok(value)) = value.map(HeaderValue::from_str) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// A header's value as text.
pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
