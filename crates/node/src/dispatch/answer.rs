//! A complete answer to a request.

use base::Name;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// Status, headers and body of a complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers that are passed on to the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Version that answered, if known.
    pub version: Option<Name>,
}

impl Answer {
    /// Whether the status is a server error.
    pub fn is_server_error(&self) -> bool {
        self.status.is_server_error()
    }

    /// Converts the answer to the record that is stored under an idempotency key.
    pub fn to_record(&self) -> claim::Record {
        let header = |(name, value): (&HeaderName, &HeaderValue)| claim::record::Header {
            name: Bytes::copy_from_slice(name.as_str().as_bytes()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        };
        claim::Record {
            status: self.status.as_u16(),
            headers: self.headers.iter().map(header).collect(),
            body: self.body.clone(),
        }
    }

    /// Restores the answer from a stored record.
    pub fn from_record(record: &claim::Record) -> Self {
        let to_pair = |header: &claim::record::Header| {
            let name = HeaderName::from_bytes(&header.name).ok()?;
            let value = HeaderValue::from_bytes(&header.value).ok()?;
            Some((name, value))
        };
        Self {
            status: StatusCode::from_u16(record.status).unwrap_or(StatusCode::OK),
            headers: record.headers.iter().filter_map(to_pair).collect(),
            body: record.body.clone(),
            version: None,
        }
    }
}
